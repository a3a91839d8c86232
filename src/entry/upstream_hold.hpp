#pragma once

#include <gypsumdale/serving/upstream_pool.hpp>

#include <cstdint> // int64_t
#include <functional> // function

namespace gypsumdale {

/// Counts a request as in flight at an upstream for as long as it lives.
class UpstreamHold
{
public:
    UpstreamHold(PooledUpstreamPointer upstream, std::int64_t pendingTokens);
    ~UpstreamHold();
    UpstreamHold(UpstreamHold &&other) noexcept;
    UpstreamHold &operator=(UpstreamHold &&) = delete;
    UpstreamHold(const UpstreamHold &) = delete;
    UpstreamHold &operator=(const UpstreamHold &) = delete;

    PooledUpstream &upstream() { return *m_upstream; }
    const PooledUpstreamPointer &pointer() const { return m_upstream; }
    /// Its prompt has been read: the first event is here.
    void promptIsRead();
    /// Asks to be told when the upstream has started again, with the time of that.
    void onReplaced(std::function<void(std::int64_t startedAt)> listener);
    /// Asks to be told when the upstream begins to leave, or is gone.
    void onLeaving(std::function<void()> listener);

private:
    PooledUpstreamPointer m_upstream;
    std::int64_t m_pendingTokens;
};

} // namespace gypsumdale
