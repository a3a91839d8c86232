#pragma once

#include <gypsumdale/runtime/delivery_deadline.hpp>

#include <runtime/detail/stream.hpp>

#include <cstddef> // size_t
#include <memory> // enable_shared_from_this, shared_ptr
#include <optional> // optional

#include <boost/asio/steady_timer.hpp>

namespace gypsumdale::detail {

/// Aborts a request whose delivery deadline passes before the other side has acknowledged all of
/// it. The connection is reset, so that data still held by the kernel or by a path that stopped
/// delivering can't arrive later. A request that was acknowledged completely is not aborted.
class DeadlineWatch : public std::enable_shared_from_this<DeadlineWatch>
{
public:
    DeadlineWatch(LoopCore &core, std::shared_ptr<DeliveryDeadline> term,
                  std::shared_ptr<Stream> stream);
    ~DeadlineWatch();
    DeadlineWatch(const DeadlineWatch &) = delete;
    DeadlineWatch &operator=(const DeadlineWatch &) = delete;

    /// Starts watching the deadline; called before the first byte is written.
    void begin();
    /// Records that the kernel has accepted the whole request.
    void markWritten() { m_isWritten = true; }
    /// Stops watching, as the answer has begun and so the request has arrived.
    void end();

    bool hasAborted() const { return m_hasAborted; }
    /// Returns the number of bytes that were unacknowledged when the request was aborted.
    std::size_t unacknowledged() const { return m_unacknowledgedBytes; }

private:
    void checkDeadline();
    void scheduleCheck(Duration time);
    bool hasArrived() const;

    std::shared_ptr<DeliveryDeadline> m_term;
    std::shared_ptr<Stream> m_stream;
    boost::asio::steady_timer m_timer;
    std::size_t m_unacknowledgedBytes = 0;
    bool m_isWritten = false;
    bool m_hasAborted = false;
};

} // namespace gypsumdale::detail
