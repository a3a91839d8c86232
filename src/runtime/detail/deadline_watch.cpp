#include <runtime/detail/deadline_watch.hpp>

#include <utility> // move

namespace gypsumdale {

void DeliveryDeadline::notifyShortened()
{
    // The callback may unregister itself, so a copy is called.
    if (const std::function<void()> onShortened = m_onShortened)
        onShortened();
}

namespace detail {

DeadlineWatch::DeadlineWatch(LoopCore &core, std::shared_ptr<DeliveryDeadline> term,
                             std::shared_ptr<Stream> stream)
    : m_term(std::move(term))
    , m_stream(std::move(stream))
    , m_timer(core.m_context)
{}

DeadlineWatch::~DeadlineWatch()
{
    end();
}

void DeadlineWatch::begin()
{
    m_term->m_onShortened = [weak = weak_from_this()] {
        if (const std::shared_ptr<DeadlineWatch> self = weak.lock())
            self->checkDeadline();
    };
    scheduleCheck(m_term->left());
}

void DeadlineWatch::end()
{
    if (!m_term)
        return;
    m_term->m_onShortened = nullptr;
    m_term = nullptr;
    m_timer.cancel();
}

void DeadlineWatch::scheduleCheck(Duration time)
{
    m_timer.expires_after(time);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        if (error)
            return;
        if (const std::shared_ptr<DeadlineWatch> self = weak.lock())
            self->checkDeadline();
    });
}

/// Returns whether the other side has received the whole request, or this is unknown.
bool DeadlineWatch::hasArrived() const
{
    return m_isWritten && m_stream->unacknowledged().value_or(0) == 0;
}

void DeadlineWatch::checkDeadline()
{
    if (!m_term)
        return;
    if (hasArrived()) {
        end();
        return;
    }
    const Duration left = m_term->left();
    if (left > Duration::zero()) {
        scheduleCheck(left);
        return;
    }
    m_hasAborted = true;
    m_unacknowledgedBytes = m_stream->unacknowledged().value_or(0);
    end();
    m_stream->close();
}

} // namespace detail

} // namespace gypsumdale
