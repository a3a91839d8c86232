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

/// A thread that runs fibers over an event loop. Fibers of one loop never run at the same time, so
/// state that belongs to one loop needs no lock. Other threads pass work to it through spawn() and
/// call().
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

    /// Stops the thread: starts no further fibers, abandons fibers that wait, and closes the
    /// sockets of the loop's servers and clients. Returns when no fiber runs any more. Must not be
    /// called from the loop itself.
    void stop();

    /// Starts a fiber on this loop that runs the work, which must not throw. Every fiber of a loop
    /// must be started with this function: stop() would hang on a waiting fiber that it does not
    /// know of. Safe from any thread. Complexity: constant.
    void spawn(std::function<void()> work);

    /// Runs the work in a fiber of this loop, waits for it and returns its result. Waiting suspends
    /// the calling fiber, or blocks a thread that runs no fibers. The work must not throw.
    template <typename Work>
    auto call(Work work) -> std::invoke_result_t<Work>;

    /// Returns whether the caller runs on this loop's thread.
    bool isCurrent() const;

    /// Returns the event loop, for sockets and timers that live on this thread.
    boost::asio::io_context &context();

    /// Returns the processor time that the loop's thread has used so far.
    Duration processorTime() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Suspends the calling fiber of a FiberLoop for the duration; other fibers of the loop continue.
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
