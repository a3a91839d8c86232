#include <runtime/detail/fiber_scheduler.hpp>

#include <utility> // exchange

#include <boost/asio/post.hpp>

namespace gypsumdale::detail {

namespace {

/// Number of fibers that run in a row before the event loop is polled.
constexpr std::size_t maxPicksBetweenPolls = 64;

} // namespace

FiberScheduler::FiberScheduler(boost::asio::io_context &context)
    : m_context(context)
    , m_wakeUp(context)
{}

void FiberScheduler::awakened(boost::fibers::context *fiber) noexcept
{
    fiber->ready_link(m_ready);
}

boost::fibers::context *FiberScheduler::pick_next() noexcept
{
    if (m_parkedMain && ++m_picksSincePoll > maxPicksBetweenPolls) {
        m_picksSincePoll = 0;
        return std::exchange(m_parkedMain, nullptr);
    }
    if (m_ready.empty())
        return nullptr;
    boost::fibers::context *fiber = &m_ready.front();
    m_ready.pop_front();
    return fiber;
}

bool FiberScheduler::has_ready_fibers() const noexcept
{
    return !m_ready.empty();
}

void FiberScheduler::suspend_until(const std::chrono::steady_clock::time_point &until) noexcept
{
    m_picksSincePoll = 0;
    // Moving the timer aborts its earlier wait, and the aborted handler wakes the loop once more.
    // Therefore the timer is moved only if the time differs.
    if (until != m_wakeUpAt) {
        m_wakeUpAt = until;
        m_wakeUp.expires_at(until);
        if (until != std::chrono::steady_clock::time_point::max())
            m_wakeUp.async_wait([](const boost::system::error_code &) {});
    }
    m_context.run_one();
}

void FiberScheduler::notify() noexcept
{
    // One queued handler is enough to make run_one() return.
    if (m_notified.exchange(true))
        return;
    boost::asio::post(m_context, [this] { m_notified = false; });
}

void FiberScheduler::parkMainFiber()
{
    m_parkedMain = boost::fibers::context::active();
    m_parkedMain->suspend();
}

void FiberScheduler::wakeMainFiber()
{
    if (!m_parkedMain)
        return;
    awakened(std::exchange(m_parkedMain, nullptr));
}

} // namespace gypsumdale::detail
