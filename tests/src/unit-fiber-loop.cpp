#include <gypsumdale/runtime/fiber_loop.hpp>

#include <atomic> // atomic
#include <chrono> // milliseconds
#include <future> // promise
#include <memory> // make_shared

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/future/promise.hpp>
#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

using namespace gypsumdale;

TEST_CASE("a loop runs fibers handed to it by other threads")
{
    FiberLoop loop("test");
    loop.start();

    SECTION("call returns the value of work that ran on the loop")
    {
        REQUIRE_FALSE(loop.isCurrent());
        REQUIRE(loop.call([&loop] { return loop.isCurrent(); }));
    }

    SECTION("fibers of two loops call each other")
    {
        FiberLoop other("other");
        other.start();
        int sum = 0;
        loop.call([&] {
            for (int turn = 0; turn < 1000; ++turn)
                sum += other.call([turn] { return turn; });
        });
        REQUIRE(sum == 499500);
    }

    SECTION("a sleeping fiber leaves the loop to others")
    {
        std::promise<void> slept;
        loop.spawn([&] {
            sleepFiber(std::chrono::milliseconds(5));
            slept.set_value();
        });
        REQUIRE(loop.call([] { return 7; }) == 7);
        slept.get_future().wait();
    }

    SECTION("the loop's thread reports its processor time")
    {
        loop.call([] {});
        REQUIRE(loop.processorTime() > Duration::zero());
    }
}

TEST_CASE("fibers that keep each other busy do not starve the event loop")
{
    // Two fibers yield to each other forever, so some fiber is always ready and the thread never
    // blocks in the event loop. Without regular polling, a posted handler would never run: a
    // connection would be accepted and never answered.
    FiberLoop loop("test");
    loop.start();
    std::atomic<bool> handlerRan = false;
    std::promise<void> ended[2];
    for (std::promise<void> &end : ended) {
        loop.spawn([&] {
            while (!handlerRan)
                boost::this_fiber::yield();
            end.set_value();
        });
    }
    boost::asio::post(loop.context(), [&] { handlerRan = true; });
    for (std::promise<void> &end : ended)
        end.get_future().wait();
}

TEST_CASE("stop returns although a fiber waits for something that never comes")
{
    // A fiber waits for an answer whose sender is gone. If the end of the thread waited for the
    // fiber, the process would hang at exit. Fulfilling the promise afterwards must be harmless.
    auto never = std::make_shared<boost::fibers::promise<void>>();
    std::atomic<bool> resumed = false;
    FiberLoop loop("test");
    loop.start();
    std::promise<void> waiting;
    loop.spawn([&] {
        auto future = never->get_future();
        waiting.set_value();
        future.wait();
        resumed = true;
    });
    waiting.get_future().wait();
    loop.call([] {});
    loop.stop();
    never->set_value();
    REQUIRE_FALSE(resumed);
}
