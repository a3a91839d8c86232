#include <entry/upstream_hold.hpp>

#include <utility> // exchange, move

namespace gypsumdale {

UpstreamHold::UpstreamHold(PooledUpstreamPointer upstream, std::int64_t pendingTokens)
    : m_upstream(std::move(upstream))
    , m_pendingTokens(pendingTokens)
{
    ++m_upstream->m_own.m_running;
    m_upstream->m_own.m_pendingTokens += m_pendingTokens;
}

UpstreamHold::UpstreamHold(UpstreamHold &&other) noexcept
    : m_upstream(std::exchange(other.m_upstream, nullptr))
    , m_pendingTokens(std::exchange(other.m_pendingTokens, 0))
{
    if (!m_upstream)
        return;
    auto listener = m_upstream->m_onReplaced.extract(&other);
    if (listener.empty())
        return;
    listener.key() = this;
    m_upstream->m_onReplaced.insert(std::move(listener));
}

UpstreamHold::~UpstreamHold()
{
    if (!m_upstream)
        return;
    promptIsRead();
    m_upstream->m_onReplaced.erase(this);
    --m_upstream->m_own.m_running;
}

void UpstreamHold::onReplaced(std::function<void(std::int64_t startedAt)> listener)
{
    m_upstream->m_onReplaced[this] = std::move(listener);
}

void UpstreamHold::promptIsRead()
{
    m_upstream->m_own.m_pendingTokens -= std::exchange(m_pendingTokens, 0);
}

} // namespace gypsumdale
