#include <entry/in_flight_guard.hpp>

#include <algorithm> // min
#include <utility> // exchange, move

namespace gypsumdale {

namespace {

/// Moves a listener to the guard that replaces another.
template <typename Listeners>
void moveListener(Listeners &listeners, const void *from, const void *to)
{
    auto listener = listeners.extract(from);
    if (listener.empty())
        return;
    listener.key() = to;
    listeners.insert(std::move(listener));
}

} // namespace

InFlightGuard::InFlightGuard(PooledUpstreamPointer upstream, std::int64_t pendingTokens)
    : m_upstream(std::move(upstream))
    , m_pendingTokens(pendingTokens)
{
    ++m_upstream->m_own.m_running;
    m_upstream->m_own.m_pendingTokens += m_pendingTokens;
}

InFlightGuard::InFlightGuard(InFlightGuard &&other) noexcept
    : m_pendingTokens(0)
{
    takeFrom(other);
}

InFlightGuard &InFlightGuard::operator=(InFlightGuard &&other) noexcept
{
    if (this == &other)
        return *this;
    release();
    takeFrom(other);
    return *this;
}

InFlightGuard::~InFlightGuard()
{
    release();
}

void InFlightGuard::takeFrom(InFlightGuard &other)
{
    m_upstream = std::exchange(other.m_upstream, nullptr);
    m_pendingTokens = std::exchange(other.m_pendingTokens, 0);
    if (!m_upstream)
        return;
    moveListener(m_upstream->m_onReplaced, &other, this);
    moveListener(m_upstream->m_onLeaving, &other, this);
}

void InFlightGuard::release()
{
    if (!m_upstream)
        return;
    onPromptRead();
    m_upstream->m_onReplaced.erase(this);
    m_upstream->m_onLeaving.erase(this);
    --m_upstream->m_own.m_running;
    m_upstream->m_ownLowest = std::min(m_upstream->m_ownLowest, m_upstream->m_own.m_running);
    if (m_upstream->m_onRequestEnded)
        m_upstream->m_onRequestEnded();
    m_upstream = nullptr;
}

void InFlightGuard::onReplaced(std::function<void(std::int64_t startedAt)> listener)
{
    m_upstream->m_onReplaced[this] = std::move(listener);
}

void InFlightGuard::onLeaving(std::function<void()> listener)
{
    m_upstream->m_onLeaving[this] = std::move(listener);
}

void InFlightGuard::onPromptRead()
{
    m_upstream->m_own.m_pendingTokens -= std::exchange(m_pendingTokens, 0);
}

} // namespace gypsumdale
