#include <runtime/detail/loop_core.hpp>

#include <runtime/detail/fiber_scheduler.hpp>

#include <memory> // allocator_arg
#include <utility> // move

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

namespace gypsumdale::detail {

namespace {

thread_local LoopCore *currentCore = nullptr;

/// Number of rounds of ready work that a stopping loop still runs.
constexpr int maxFinalRounds = 1000;

/// Runs the work that is ready when the loop stops, so that fibers whose connections were closed
/// just before end by themselves and need not be abandoned. Bounded, because some fibers are always
/// ready.
void finishReadyWork(LoopCore &core)
{
    for (int round = 0; round < maxFinalRounds; ++round) {
        const std::size_t handlersRun = core.m_context.poll();
        boost::this_fiber::yield();
        if (handlersRun == 0 && core.m_context.poll() == 0)
            return;
    }
}

} // namespace

// The concurrency hint states that one thread runs the event loop; other threads may still post to
// it.
LoopCore::LoopCore()
    : m_context(1)
    , m_work(boost::asio::make_work_guard(m_context))
    , m_stacks(fiberStackBytes)
{}

LoopCore::~LoopCore()
{
    m_closables.clear();
}

LoopCore *LoopCore::current()
{
    return currentCore;
}

void LoopCore::startFiber(std::function<void()> work)
{
    ++m_liveFibers;
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, m_stacks,
                         [this, work = std::move(work)]() mutable {
                             work();
                             work = nullptr;
                             --m_liveFibers;
                         })
            .detach();
}

void runLoop(LoopCore &core)
{
    currentCore = &core;
    core.m_scheduler = new FiberScheduler(core.m_context);
    boost::fibers::context::active()->get_scheduler()->set_algo(core.m_scheduler);
    while (!core.m_stopping) {
        core.m_scheduler->parkMainFiber();
        if (!core.m_stopping)
            core.m_context.poll();
    }
    finishReadyWork(core);
    for (Closable &closable : core.m_closables)
        closable.close();
}

} // namespace gypsumdale::detail
