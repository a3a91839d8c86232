#include "support/entry_stand_ins.hpp"

#include <gypsumdale/runtime/fiber_loop.hpp>
#include <gypsumdale/runtime/http_client.hpp>

#include <platform/store_client.hpp>

#include <catch2/catch.hpp>

#include <algorithm> // min
#include <atomic> // atomic
#include <cstddef> // size_t
#include <cstdint> // int64_t, uint16_t
#include <set> // set
#include <string> // string
#include <utility> // move
#include <vector> // vector

using namespace gypsumdale;
using namespace gypsumdale::platform;
using gypsumdale::testing::freePort;
using gypsumdale::testing::Json;
using gypsumdale::testing::StoreStandIn;

namespace {

const std::string kind = "servers";

/// Client of a store at a port, on a loop of its own.
class Reader
{
public:
    Reader(FiberLoop &loop, std::uint16_t port)
        : m_loop(loop)
        , m_client(loop)
        , m_store(m_client, m_clock, {"127.0.0.1", port})
    {}

    Result<StoreListing> list()
    {
        return m_loop.call([this] { return m_store.list(kind, ReadFreshness::Linearizable); });
    }
    Result<StoreChanges> watch(std::int64_t revision)
    {
        return m_loop.call(
                [&] { return m_store.watch(kind, revision, std::chrono::milliseconds(1)); });
    }
    /// Makes a call on the client's loop.
    template <typename Call>
    auto call(Call call)
    {
        return m_loop.call([&] { return call(m_store); });
    }

private:
    FiberLoop &m_loop;
    Clock m_clock;
    HttpClient m_client;
    StoreClient m_store;
};

/// Store whose answers a test gives one after the other; the last one is repeated.
class ScriptedStore
{
public:
    ScriptedStore(FiberLoop &loop, std::vector<std::string> answers)
        : m_answers(std::move(answers))
        , m_port(freePort())
        , m_server(valueOf(
                  HttpServerBuilder()
                          .listenOn("127.0.0.1", m_port)
                          .runOn({&loop})
                          .handleWith([this](const HttpRequest &, HttpResponder &responder) {
                              const std::size_t last = m_answers.size() - 1;
                              responder.send({200, {}, m_answers[std::min(m_calls++, last)]});
                          })
                          .build()))
    {}

    std::uint16_t port() const { return m_port; }
    std::size_t calls() const { return m_calls; }

private:
    std::vector<std::string> m_answers;
    std::atomic<std::size_t> m_calls = 0;
    std::uint16_t m_port;
    HttpServer m_server;
};

std::string item(const std::string &name)
{
    return R"({"metadata":{"name":")" + name + R"("}})";
}

std::string page(const std::string &items, bool hasMore)
{
    return R"({"items":[)" + items + R"(],"has-more":)" + (hasMore ? "true" : "false")
           + R"(,"current-rev":9})";
}

std::multiset<std::string> namesOf(const StoreListing &listing)
{
    std::multiset<std::string> names;
    for (const StoreObject &object : listing.m_objects)
        names.insert(object.m_name);
    return names;
}

} // namespace

// Guards against a list that ends, or never does, behind a name that a query can't hold as it is.
TEST_CASE("a list goes on behind any name")
{
    FiberLoop loop("test");
    loop.start();
    StoreStandIn store(loop);
    store.setPageItems(1);
    const std::multiset<std::string> names = {
            "a&b", "a&watch=1", "a+b",   "a#b", "a%b", "a%41", "a%",  "a b", "a\tb",     "a\r\nb",
            "a=b", "a;b",       "a\x7f", "a/b", "a?b", "..",   "a\"", "a\\", "\xc3\xa9", "a"};
    for (const std::string &name : names)
        store.put(kind, name, Json::object());
    store.put(kind, std::string("a\0b", 3), Json::object());
    Reader reader(loop, store.port());
    const auto listing = reader.list();
    REQUIRE(succeeded(listing));
    std::multiset<std::string> expected = names;
    expected.insert(std::string("a\0b", 3));
    CHECK(namesOf(valueOf(listing)) == expected);
}

// Guards against a list that ends because of one item whose name can't be told.
TEST_CASE("a list goes on behind an item without a name")
{
    const std::string odd =
            GENERATE(as<std::string>{}, R"({"metadata":{"name":""}})", R"({"metadata":{"name":7}})",
                     R"({"metadata":{"name":1e400}})", R"({"metadata":"c"})", R"({"spec":{}})",
                     "null", R"("text")", "[1]", "{\"metadata\":{\"name\":\"c\xff\"}}",
                     R"({"metadata":{"name":"c\ud800"}})");
    INFO(odd);
    FiberLoop loop("test");
    loop.start();
    StoreStandIn store(loop);
    store.setPageItems(2);
    for (const char *name : {"a", "d", "e", "f"})
        store.put(kind, name, Json::object());
    store.putRawItem(kind, "c", odd);
    store.putRawItem(kind, "d2", odd);
    Reader reader(loop, store.port());
    const auto listing = reader.list();
    REQUIRE(succeeded(listing));
    for (const char *name : {"a", "d", "e", "f"})
        CHECK(namesOf(valueOf(listing)).count(name) == 1);
}

// Guards against the last item of a page taking the place of another one.
TEST_CASE("a name whose bytes can't be read is no other entry's name")
{
    FiberLoop loop("test");
    loop.start();
    StoreStandIn store(loop);
    store.put(kind, "c?", Json{{"service", "sound"}});
    store.putRawItem(kind, "b", "{\"metadata\":{\"name\":\"c\xff\"},\"spec\":{}}");
    store.putRawItem(kind, "d", R"({"metadata":{"name":1e400},"spec":{}})");
    Reader reader(loop, store.port());
    const auto listing = reader.list();
    REQUIRE(succeeded(listing));
    CHECK(namesOf(valueOf(listing)) == std::multiset<std::string>{"", "", "c?"});
}

// Guards against two records of one entry that changed while the list was read.
TEST_CASE("an entry that is listed twice counts once, as it was last")
{
    FiberLoop loop("test");
    loop.start();
    const std::string before = R"({"metadata":{"name":"b","revision":3},"spec":{"x":1}})";
    const std::string after = R"({"metadata":{"name":"b","revision":8},"spec":{"x":2}})";
    ScriptedStore store(loop, {page(item("a") + "," + before, true), page(after, false)});
    Reader reader(loop, store.port());
    const auto listing = reader.list();
    REQUIRE(succeeded(listing));
    REQUIRE(valueOf(listing).m_objects.size() == 2);
    CHECK(valueOf(listing).m_objects[1].m_revision == 8);
    CHECK(valueOf(listing).m_revision == 9);
}

// Guards against calls that repeat the same pages until a limit of time or size ends them.
TEST_CASE("a list whose pages repeat is given up")
{
    FiberLoop loop("test");
    loop.start();
    ScriptedStore store(loop, {page(item("a"), true), page(item("b"), true), page(item("a"), true),
                               page(item("b"), true)});
    Reader reader(loop, store.port());
    CHECK_FALSE(succeeded(reader.list()));
    CHECK(store.calls() == 3);
}

// Guards against upstreams that count as gone as they are missing from a list that isn't whole.
TEST_CASE("an answer that isn't a whole list is an error")
{
    const std::string answer = GENERATE(as<std::string>{}, R"({"events":[],"current-rev":9})",
                                        R"({"items":null,"has-more":false,"current-rev":9})",
                                        R"({"items":{},"has-more":false,"current-rev":9})",
                                        R"({"items":[],"has-more":"true","current-rev":9})",
                                        R"({"items":[],"has-more":true,"current-rev":9})",
                                        R"({"items":[null],"has-more":true,"current-rev":9})",
                                        R"({"items":[],"has-more":false})", "{}", "[]", "null", "");
    INFO(answer);
    FiberLoop loop("test");
    loop.start();
    const bool isFirst = GENERATE(true, false);
    ScriptedStore store(loop,
                        isFirst ? std::vector{answer} : std::vector{page(item("a"), true), answer});
    Reader reader(loop, store.port());
    CHECK_FALSE(succeeded(reader.list()));
    CHECK(store.calls() == (isFirst ? 1 : 2));
}

// Guards against a list that counts as confirmed by an answer that tells nothing of changes.
TEST_CASE("an answer without events doesn't say that nothing changed")
{
    const std::string answer =
            GENERATE(as<std::string>{}, R"({"items":[],"has-more":false,"current-rev":9})",
                     R"({"events":null,"current-rev":9})", R"({"events":[]})", "{}");
    INFO(answer);
    FiberLoop loop("test");
    loop.start();
    ScriptedStore store(loop, {answer});
    Reader reader(loop, store.port());
    CHECK_FALSE(succeeded(reader.watch(4)));
}

// Guards against a call that reaches another object than the one that it names.
TEST_CASE("calls on an object with an odd name reach that object alone")
{
    FiberLoop loop("test");
    loop.start();
    StoreStandIn store(loop);
    Reader reader(loop, store.port());
    store.put(kind, "a", Json{{"sound", true}});
    for (const std::string name : {"a?b", "a/b", "a#b", "a/status", "a b", "a\r\nb", "a%62", "%"}) {
        INFO(name);
        const StoreObject object{name, 0, R"({"odd":true})", R"({"state":"x"})"};
        CHECK(succeeded(reader.call([&](auto &client) { return client.create(kind, object); })));
        CHECK(store.has(kind, name));
        const auto read = reader.call([&](auto &client) { return client.get(kind, name); });
        REQUIRE(succeeded(read));
        CHECK(valueOf(read).m_name == name);
        CHECK(succeeded(reader.call([&](auto &client) { return client.replace(kind, object); })));
        CHECK(succeeded(
                reader.call([&](auto &client) { return client.replaceStatus(kind, object); })));
        CHECK(store.status(kind, name) == Json{{"state", "x"}});
        CHECK(succeeded(reader.call([&](auto &client) { return client.remove(kind, name); })));
        CHECK_FALSE(store.has(kind, name));
        const auto sound = reader.call([&](auto &client) { return client.get(kind, "a"); });
        REQUIRE(succeeded(sound));
        CHECK(valueOf(sound).m_specText == R"({"sound":true})");
        CHECK(valueOf(sound).m_statusText.empty());
    }
}

// Guards against a call on a whole kind, or on what a server makes of "..", in place of an object.
TEST_CASE("a call on an object without a usable name isn't sent")
{
    FiberLoop loop("test");
    loop.start();
    ScriptedStore store(loop, {R"({"metadata":{"name":"a"}})"});
    Reader reader(loop, store.port());
    for (const std::string name : {"", ".", ".."}) {
        INFO(name);
        const StoreObject object{name, 0, "{}", "{}"};
        CHECK_FALSE(succeeded(reader.call([&](auto &client) { return client.get(kind, name); })));
        CHECK_FALSE(
                succeeded(reader.call([&](auto &client) { return client.replace(kind, object); })));
        CHECK_FALSE(succeeded(
                reader.call([&](auto &client) { return client.replaceStatus(kind, object); })));
        CHECK_FALSE(
                succeeded(reader.call([&](auto &client) { return client.remove(kind, name); })));
    }
    CHECK(store.calls() == 0);
}
