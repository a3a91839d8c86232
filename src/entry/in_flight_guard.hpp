#pragma once

#include <gypsumdale/serving/upstream_pool.hpp>

#include <cstdint> // int64_t
#include <functional> // function

namespace gypsumdale {

/// Counts a request as in flight at an upstream for the lifetime of the object.
class InFlightGuard
{
public:
    InFlightGuard(PooledUpstreamPointer upstream, std::int64_t pendingTokens);
    ~InFlightGuard();
    InFlightGuard(InFlightGuard &&other) noexcept;
    InFlightGuard &operator=(InFlightGuard &&other) noexcept;
    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;

    PooledUpstream &upstream() { return *m_upstream; }
    const PooledUpstream &upstream() const { return *m_upstream; }
    const PooledUpstreamPointer &pointer() const { return m_upstream; }
    /// Records that the prompt was read: the first event was received.
    void onPromptRead();
    /// Sets a listener that is called when the upstream has restarted, with the time of the start.
    void onReplaced(std::function<void(std::int64_t startedAt)> listener);
    /// Sets a listener that is called when the upstream begins to leave or is removed.
    void onLeaving(std::function<void()> listener);

private:
    void takeFrom(InFlightGuard &other);
    void release();

    PooledUpstreamPointer m_upstream;
    std::int64_t m_pendingTokens;
};

} // namespace gypsumdale
