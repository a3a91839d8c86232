#pragma once

#include <gypsumdale/serving/upstream_pool.hpp>

#include <cstdint> // int64_t
#include <functional> // function

namespace gypsumdale {

/// Counts a request as in flight at an upstream for as long as it lives.
class InFlightGuard
{
public:
    InFlightGuard(PooledUpstreamPointer upstream, std::int64_t pendingTokens);
    ~InFlightGuard();
    InFlightGuard(InFlightGuard &&other) noexcept;
    InFlightGuard &operator=(InFlightGuard &&) = delete;
    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;

    PooledUpstream &upstream() { return *m_upstream; }
    const PooledUpstreamPointer &pointer() const { return m_upstream; }
    /// Its prompt has been read: the first event is here.
    void onPromptRead();
    /// Asks to be told when the upstream has started again, with the time of that.
    void onReplaced(std::function<void(std::int64_t startedAt)> listener);
    /// Asks to be told when the upstream begins to leave, or is gone.
    void onLeaving(std::function<void()> listener);

private:
    PooledUpstreamPointer m_upstream;
    std::int64_t m_pendingTokens;
};

} // namespace gypsumdale
