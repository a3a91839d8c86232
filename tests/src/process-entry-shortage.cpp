#include "support/entry_world.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic> // atomic
#include <cstddef> // size_t
#include <sstream> // istringstream
#include <string> // string
#include <thread> // thread
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::testing;

namespace {

/// Slots of the two upstreams together.
constexpr std::size_t slots = 16;

/// Lets requests wait for the longest time that there is.
Json withPatience(Json config)
{
    for (Json &route : config["routes"])
        route["target-latency-ms"] = route["timeout-ms"];
    return config;
}

/// One entry process whose upstreams answer when they are told to.
struct ShortWorld
{
    ShortWorld()
    {
        m_world.behave(
                [this](const HttpRequest &, HttpResponder &responder, const HttpHeaders &headers) {
                    while (!m_mayAnswer)
                        sleepFiber(std::chrono::milliseconds(5));
                    responder.send({200, headers, "whole"});
                });
        for (std::size_t caller = 0; caller < slots; ++caller) {
            m_callers.emplace_back([this, caller] {
                const std::string id = "r-" + std::to_string(caller);
                if (m_world.call(m_world.node(), "/once/x", id).m_status == 200)
                    ++m_whole;
            });
        }
    }

    void awaitFullSlots()
    {
        m_world.waitUntil("the slots are in use", [this] { return runs() == slots; });
    }

    ~ShortWorld() { release(); }

    void release()
    {
        m_mayAnswer = true;
        for (std::thread &caller : m_callers)
            caller.join();
        m_callers.clear();
    }

    std::size_t runs()
    {
        std::size_t count = 0;
        for (std::size_t index = 0; index < m_world.upstreamCount(); ++index)
            count += m_world.upstream(index).seen().size();
        return count;
    }

    /// Puts a configuration in force.
    void apply(const Json &config)
    {
        m_world.store().put("config", "main", config);
        const std::string text = fmt::format("\"config_version\":{}", config["version"].get<int>());
        m_world.waitUntil("it is in force", [&] {
            return m_world.fullLog(m_world.node()).find(text) != std::string::npos;
        });
    }

    /// Lets a request wait that alone uses its configuration, and puts one without its route in
    /// force.
    std::thread waitWithoutRoute(EntryAnswer &answer)
    {
        apply(withPatience(EntryWorld::configuration(2, {"key"})));
        std::thread late([&] { answer = m_world.call(m_world.node(), "/once/x", "late"); });
        m_world.waitUntil("it waits", [this] { return queue()["waiting"] == 1; });
        Json config = EntryWorld::configuration(3, {"key"});
        config["routes"].erase(1);
        apply(config);
        return late;
    }

    /// Returns what is logged about the end of a request; null if nothing.
    Json endOf(const std::string &request)
    {
        std::istringstream log(m_world.fullLog(m_world.node()));
        for (std::string line; std::getline(log, line);) {
            Json entry = Json::parse(line, nullptr, false);
            if (entry.is_object() && entry.value("request", "") == request
                && entry.contains("outcome"))
                return entry;
        }
        return nullptr;
    }

    Json queue()
    {
        const auto answer = m_world.get(m_world.node().m_metricsPort, "/-/queues");
        REQUIRE(answer.m_status == 200);
        return Json::parse(answer.m_body)["queues"][0];
    }

    EntryWorld m_world;
    std::atomic<bool> m_mayAnswer = false;
    std::atomic<std::size_t> m_whole = 0;
    std::vector<std::thread> m_callers;
};

} // namespace

TEST_CASE("requests beyond the slots of a service")
{
    ShortWorld world;
    world.awaitFullSlots();

    SECTION("are rejected as not run after half of their latency target")
    {
        // Guards against requests that wait at full upstreams until their deadline.
        const EntryAnswer answer = world.m_world.call(world.m_world.node(), "/once/x", "late");
        CHECK(answer.m_status == 503);
        CHECK_FALSE(answer.m_headers.value("Retry-After").empty());
        CHECK(world.runs() == slots);
        const Json queue = world.queue();
        CHECK(queue["state"] == "short");
        CHECK(queue["slots"] == slots);
        CHECK(queue["inFlight"] == slots);
        CHECK(queue["waiting"] == 0);
        CHECK(queue["rejections"].get<std::string>() == "waited-too-long=1");
        world.release();
        CHECK(world.m_whole == slots);
    }
    SECTION("are served as soon as others end")
    {
        EntryAnswer answer;
        std::thread late(
                [&] { answer = world.m_world.call(world.m_world.node(), "/once/x", "late"); });
        world.m_world.waitUntil("it waits", [&] { return world.queue()["waiting"] == 1; });
        CHECK(world.queue()["order"] == "huber");
        world.release();
        late.join();
        CHECK(answer.m_status == 200);
        CHECK(world.m_whole == slots);
    }
    SECTION("are judged by a new configuration without their account")
    {
        EntryAnswer answer;
        std::thread late([&] {
            answer = world.m_world.call(world.m_world.node(), "/once/x", "late", "limited-key");
        });
        world.m_world.waitUntil("it waits", [&] { return world.queue()["waiting"] == 1; });
        Json config = EntryWorld::configuration(2, {"key"});
        config["tenants"].erase(1);
        world.m_world.store().put("config", "main", config);
        late.join();
        // It may have been rejected before the configuration was in force.
        CHECK((answer.m_status == 401 || answer.m_status == 503));
        CHECK(world.runs() == slots);
    }
    SECTION("are rejected by a new configuration without their route")
    {
        // Guards against a process that ends, with all its requests, as it rejects one whose
        // configuration nobody else uses any more.
        EntryAnswer answer;
        std::thread late = world.waitWithoutRoute(answer);
        world.release();
        late.join();
        // On a busy machine its wait may have been over before.
        CHECK((answer.m_status == 404 || answer.m_status == 503));
        CHECK(world.m_whole == slots);
        CHECK(world.runs() == slots);
        CHECK(world.m_world.call(world.m_world.node(), "/again/x", "next").m_status == 200);
        CHECK(world.endOf("late")["account"] == "huber");
    }
    SECTION("are rejected as soon as a new configuration lacks their route")
    {
        // Guards against requests that are held although it is known that they can't be served.
        EntryAnswer answer;
        std::thread late = world.waitWithoutRoute(answer);
        late.join();
        const std::string log = world.m_world.fullLog(world.m_world.node());
        // On a busy machine its wait may have been over before.
        const bool hasWaitedOut = log.find("\"turn-refused\"") < log.find("\"config_version\":3");
        CHECK(answer.m_status == (hasWaitedOut ? 503 : 404));
        CHECK(world.runs() == slots);
        world.release();
        CHECK(world.m_whole == slots);
    }
}
