#pragma once

#include <gypsumdale/core/clock.hpp>

#include <functional> // function
#include <memory> // unique_ptr
#include <string> // string
#include <type_traits> // invoke_result_t, is_void_v

#include <boost/fiber/future/promise.hpp>

namespace boost::asio {
class io_context;
}

namespace gypsumdale {

/// One thread that runs fibers over an event loop. Fibers of a loop never run at the same time, so
/// what belongs to one loop needs no lock; other threads hand it work through spawn() and call().
class FiberLoop
{
public:
    explicit FiberLoop(std::string name);
    /// Stops the loop and joins its thread.
    ~FiberLoop();
    FiberLoop(const FiberLoop &) = delete;
    FiberLoop &operator=(const FiberLoop &) = delete;

    /// Starts the thread. Call once.
    void start();

    /// Stops the thread: no further fiber is started, fibers that wait are abandoned, and the
    /// sockets of the loop's servers and clients are closed. Returns when no fiber runs any more.
    /// Not to be called from the loop itself.
    void stop();

    /// Starts a fiber on this loop that runs the work, which must not throw. Fibers of a loop are
    /// started in no other way, as stop() waits for those it doesn't know of. Safe from any thread;
    /// constant.
    void spawn(std::function<void()> work);

    /// Runs the work in a fiber of this loop, waits for it (suspending the calling fiber, or
    /// blocking a thread that has none) and returns what it returned. The work must not throw.
    template <typename Work>
    auto call(Work work) -> std::invoke_result_t<Work>;

    /// Tells whether the caller runs on this loop's thread.
    bool isCurrent() const;

    /// Returns the event loop, for sockets and timers that live on this thread.
    boost::asio::io_context &context();

    /// Returns the processor time that the loop's thread has spent so far.
    Duration processorTime() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Suspends the calling fiber of a FiberLoop for a time; other fibers of the loop run on.
void sleepFiber(Duration duration);

template <typename Work>
auto FiberLoop::call(Work work) -> std::invoke_result_t<Work>
{
    using Value = std::invoke_result_t<Work>;
    if (isCurrent())
        return work();
    auto promise = std::make_shared<boost::fibers::promise<Value>>();
    auto future = promise->get_future();
    spawn([promise, work = std::move(work)]() mutable {
        if constexpr (std::is_void_v<Value>) {
            work();
            promise->set_value();
        } else {
            promise->set_value(work());
        }
    });
    return future.get();
}

} // namespace gypsumdale
