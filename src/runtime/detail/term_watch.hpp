#pragma once

#include <gypsumdale/runtime/call_term.hpp>

#include <runtime/detail/stream.hpp>

#include <cstddef> // size_t
#include <memory> // enable_shared_from_this, shared_ptr
#include <optional> // optional

#include <boost/asio/steady_timer.hpp>

namespace gypsumdale::detail {

/// Takes a request back whose term ends before the other side has acknowledged all of it: its
/// connection is reset, so that what the kernel or a silent path still holds can't arrive later. A
/// request that was acknowledged whole is left alone.
class TermWatch : public std::enable_shared_from_this<TermWatch>
{
public:
    TermWatch(LoopCore &core, std::shared_ptr<CallTerm> term, std::shared_ptr<Stream> stream);
    ~TermWatch();
    TermWatch(const TermWatch &) = delete;
    TermWatch &operator=(const TermWatch &) = delete;

    /// Begins to watch; called before the first byte is handed over.
    void begin();
    /// All of the request is with the kernel.
    void noteHandedOver() { m_isHandedOver = true; }
    /// The answer has begun: the request has arrived.
    void end();

    bool hasTakenBack() const { return m_hasTakenBack; }
    /// Returns the bytes that the kernel held as the request was taken back.
    std::size_t unacknowledged() const { return m_unacknowledged; }

private:
    void look();
    void lookIn(Duration time);
    bool hasArrived() const;

    std::shared_ptr<CallTerm> m_term;
    std::shared_ptr<Stream> m_stream;
    boost::asio::steady_timer m_timer;
    std::size_t m_unacknowledged = 0;
    bool m_isHandedOver = false;
    bool m_hasTakenBack = false;
};

} // namespace gypsumdale::detail
