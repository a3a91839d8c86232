#include <gypsumdale/runtime/fiber_loop.hpp>

#include <runtime/detail/async_wait.hpp>
#include <runtime/detail/fiber_scheduler.hpp>
#include <runtime/detail/loop_core.hpp>

#include <atomic> // atomic
#include <chrono> // seconds
#include <ctime> // clock_gettime, clockid_t
#include <memory> // make_shared, shared_ptr
#include <thread> // thread
#include <utility> // move

#include <pthread.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace gypsumdale {

namespace {

Duration readClock(clockid_t clock)
{
    timespec spent{};
    if (clock_gettime(clock, &spent) != 0)
        return Duration::zero();
    return std::chrono::seconds(spent.tv_sec) + std::chrono::nanoseconds(spent.tv_nsec);
}

/// Keeps a thread with abandoned fibers asleep until the process ends. When a thread ends,
/// Boost.Fiber waits for each of its fibers to return, so stop() would hang on a fiber that waits
/// forever. In addition, another thread that fulfils the promise of an abandoned fiber would access
/// a destroyed scheduler. Objects that such fibers refer to stay alive with the thread.
[[noreturn]] void sleepForever()
{
    for (;;)
        pause();
}

} // namespace

struct FiberLoop::State
{
    std::string m_name;
    std::shared_ptr<detail::LoopCore> m_core = std::make_shared<detail::LoopCore>();
    std::thread m_thread;
    std::atomic<bool> m_running = false;
    clockid_t m_processorClock{};
    std::atomic<Duration> m_finalProcessorTime = Duration::zero();

    /// Body of the thread. The thread's function object holds the core, because the thread may
    /// outlive this state.
    void run(const std::shared_ptr<detail::LoopCore> &core)
    {
        runLoop(*core);
        m_finalProcessorTime = readClock(CLOCK_THREAD_CPUTIME_ID);
        const bool hasAbandonedFibers = core->m_liveFibers > 0;
        core->m_finished.set_value();
        if (hasAbandonedFibers)
            sleepForever();
    }
};

FiberLoop::FiberLoop(std::string name)
    : m_state(std::make_unique<State>())
{
    m_state->m_name = std::move(name);
}

FiberLoop::~FiberLoop()
{
    stop();
}

void FiberLoop::start()
{
    State *state = m_state.get();
    state->m_running = true;
    state->m_thread = std::thread([state, core = state->m_core] { state->run(core); });
    pthread_getcpuclockid(state->m_thread.native_handle(), &state->m_processorClock);
    // The kernel stores at most 15 characters of a thread's name.
    pthread_setname_np(state->m_thread.native_handle(), state->m_name.substr(0, 15).c_str());
}

void FiberLoop::stop()
{
    if (!m_state->m_running.exchange(false))
        return;
    detail::LoopCore *core = m_state->m_core.get();
    boost::asio::post(core->m_context, [core] {
        core->m_stopping = true;
        core->m_scheduler->wakeMainFiber();
    });
    core->m_finished.get_future().wait();
    if (core->m_liveFibers > 0)
        m_state->m_thread.detach();
    else
        m_state->m_thread.join();
}

void FiberLoop::spawn(std::function<void()> work)
{
    detail::LoopCore *core = m_state->m_core.get();
    if (isCurrent()) {
        core->startFiber(std::move(work));
        return;
    }
    boost::asio::post(core->m_context, [core, work = std::move(work)]() mutable {
        core->startFiber(std::move(work));
    });
}

bool FiberLoop::isCurrent() const
{
    return detail::LoopCore::current() == m_state->m_core.get();
}

boost::asio::io_context &FiberLoop::context()
{
    return m_state->m_core->m_context;
}

Duration FiberLoop::processorTime() const
{
    if (!m_state->m_running)
        return m_state->m_finalProcessorTime;
    return readClock(m_state->m_processorClock);
}

void sleepFiber(Duration duration)
{
    boost::asio::steady_timer timer(detail::LoopCore::current()->m_context, duration);
    detail::AsyncWait wait;
    timer.async_wait(wait.handler());
    wait.wait();
}

} // namespace gypsumdale
