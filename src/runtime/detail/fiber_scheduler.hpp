#pragma once

#include <atomic> // atomic
#include <chrono> // steady_clock
#include <cstddef> // size_t

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

namespace gypsumdale::detail {

/// Round-robin scheduling of the fibers of one thread over an Asio event loop: while no fiber is
/// ready, the thread blocks in the event loop, whose handlers make fibers ready.
///
/// Handlers never run inside pick_next(). A suspending fiber calls pick_next() while it still holds
/// the spinlock of the promise it waits on, so a handler that fulfils that promise would spin
/// forever. Handlers run in suspend_until(), on the dispatcher's own context, and in poll() on the
/// thread's main fiber. pick_next() resumes the main fiber regularly, so that fibers that keep each
/// other busy can't starve the sockets.
class FiberScheduler : public boost::fibers::algo::algorithm
{
public:
    explicit FiberScheduler(boost::asio::io_context &context);

    void awakened(boost::fibers::context *fiber) noexcept override;
    boost::fibers::context *pick_next() noexcept override;
    bool has_ready_fibers() const noexcept override;
    void suspend_until(const std::chrono::steady_clock::time_point &until) noexcept override;
    void notify() noexcept override;

    /// Suspends the main fiber until it is due to poll or wakeMainFiber() is called.
    void parkMainFiber();
    /// Makes the main fiber ready. Called on the loop's thread.
    void wakeMainFiber();

private:
    boost::asio::io_context &m_context;
    boost::asio::steady_timer m_wakeUp;
    std::chrono::steady_clock::time_point m_wakeUpAt = std::chrono::steady_clock::time_point::max();
    boost::fibers::scheduler::ready_queue_type m_ready;
    boost::fibers::context *m_parkedMain = nullptr;
    std::size_t m_picksSincePoll = 0;
    std::atomic<bool> m_notified = false;
};

} // namespace gypsumdale::detail
