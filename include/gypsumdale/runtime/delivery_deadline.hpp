#pragma once

#include <gypsumdale/core/clock.hpp>

#include <functional> // function

namespace gypsumdale {

namespace detail {
class DeadlineWatch;
}

/// Delivery deadline of a call: the time after which its request must no longer reach the other
/// side. It is queried before the first byte is written and while bytes may still be in transit, so
/// it may change during the call. Used on the thread of the client's loop.
class DeliveryDeadline
{
public:
    DeliveryDeadline() = default;
    virtual ~DeliveryDeadline() = default;
    DeliveryDeadline(const DeliveryDeadline &) = delete;
    DeliveryDeadline &operator=(const DeliveryDeadline &) = delete;

    /// Returns the time until the deadline; zero or negative once it has passed.
    virtual Duration left() const = 0;
    /// Returns whether the first byte may be written on a connection that took `connecting` to
    /// open.
    virtual bool maySend(Duration connecting) const = 0;

protected:
    /// Makes the call check the deadline at once, because it moved to an earlier time. Ends a call
    /// that is still connecting and may no longer send.
    void notifyShortened();

private:
    friend class HttpClient;
    friend class detail::DeadlineWatch;
    std::function<void()> m_onShortened;
};

} // namespace gypsumdale
