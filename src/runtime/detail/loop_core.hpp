#pragma once

#include <runtime/detail/fiber_stack.hpp>

#include <cstddef> // size_t
#include <functional> // function
#include <future> // promise

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>

namespace gypsumdale::detail {

class FiberScheduler;

/// An object that a loop closes when it stops, so that peers see their connections closed although
/// the fibers that hold them never run again.
class Closable
    : public boost::intrusive::list_base_hook<
              boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    Closable() = default;
    Closable(const Closable &) = delete;
    Closable &operator=(const Closable &) = delete;
    virtual ~Closable() = default;

    /// Closes the socket. Called on the loop's thread, possibly twice.
    virtual void close() = 0;
};

/// State of one loop's thread. Shared with a thread that stays parked for abandoned fibers, which
/// may outlive the FiberLoop.
struct LoopCore
{
    using Closables = boost::intrusive::list<Closable, boost::intrusive::constant_time_size<false>>;

    LoopCore();
    ~LoopCore();
    LoopCore(const LoopCore &) = delete;
    LoopCore &operator=(const LoopCore &) = delete;

    /// Returns the core of the calling thread's loop, or nullptr on other threads. Complexity:
    /// constant.
    static LoopCore *current();

    /// Starts a fiber of this loop. Called on the loop's thread.
    void startFiber(std::function<void()> work);

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    FiberStack m_stacks;
    boost::intrusive_ptr<FiberScheduler> m_scheduler;
    Closables m_closables;
    std::size_t m_liveFibers = 0;
    bool m_stopping = false;
    /// Fulfilled when the thread has run its last fiber. It is a member of the core, which outlives
    /// the thread, because set_value() may still access the promise after its waiter has continued.
    std::promise<void> m_finished;
};

/// Runs the loop on the calling thread until it is stopped.
void runLoop(LoopCore &core);

} // namespace gypsumdale::detail
