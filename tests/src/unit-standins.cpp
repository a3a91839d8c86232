#include "standins/answer.hpp"
#include "standins/buffered_responder.hpp"
#include "standins/cloud.hpp"
#include "standins/engine.hpp"
#include "standins/engine_server.hpp"
#include "standins/fault_plan.hpp"
#include "standins/instance_settings.hpp"
#include "standins/object_store.hpp"
#include "standins/platform_server.hpp"
#include "standins/prefix_cache.hpp"
#include "standins/rate_limiter.hpp"
#include "standins/run_log.hpp"

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::standins;

namespace {

constexpr TimePoint start{std::chrono::hours(1)};

GenerationRequest ask(const std::string &prompt, int target)
{
    GenerationRequest request;
    request.m_prompt = prompt;
    request.m_attempt = "attempt of " + prompt;
    request.m_targetTokens = target;
    return request;
}

std::string drain(Engine &engine, SequenceId id, int atMost = 100000)
{
    std::string text;
    while (atMost-- > 0) {
        const auto token = engine.generate(id);
        if (!token)
            break;
        text += token->m_text;
    }
    return text;
}

std::string words(int count)
{
    std::string text;
    for (int word = 0; word < count; ++word)
        text += "w" + std::to_string(word) + " ";
    return text;
}

HttpRequest request(std::string method, std::string target, std::string body = {})
{
    HttpRequest result;
    result.m_method = std::move(method);
    result.m_target = std::move(target);
    result.m_body = std::move(body);
    return result;
}

Version versionOf(const WriteOutcome &outcome)
{
    return std::get<Written>(outcome).m_version;
}

} // namespace

TEST_CASE("answers")
{
    SECTION("differ between prompts and are cut at the caller's limit")
    {
        CHECK(expectedAnswer("one", 20) != expectedAnswer("two", 20));
        CHECK(splitWords(expectedAnswer("one", 5)).size() == 5);
        CHECK(expectedAnswer("one", 20).starts_with(expectedAnswer("one", 5)));
        CHECK(splitWords(expectedAnswer("one", 100, 40)).size() == 40);
    }
}

TEST_CASE("engine")
{
    EngineSettings settings;
    settings.m_slots = 2;
    settings.m_loadLag = std::chrono::seconds(1);
    settings.m_cacheEventLag = std::chrono::seconds(1);
    Engine engine(settings);

    SECTION("generates the expected answer and names why it ended")
    {
        const SequenceId id = engine.submit(ask("quote for bolts", 30), start);
        CHECK(drain(engine, id) == expectedAnswer("quote for bolts", 512, 30));
        CHECK(engine.finishReason(id) == "stop");
        CHECK(engine.usage(id).m_completionTokens == 30);
        GenerationRequest limited = ask("quote for nuts", 30);
        limited.m_maxTokens = 10;
        CHECK(engine.finishReason(engine.submit(limited, start)) == "length");
    }

    SECTION("a resumed answer goes on exactly where the first attempt stopped")
    {
        const SequenceId first = engine.submit(ask("quote", 30), start);
        const std::string begun = drain(engine, first, 12);
        GenerationRequest resumed = ask("quote", 30);
        resumed.m_resumeText = begun;
        resumed.m_resumeTokens = 12;
        const SequenceId second = engine.submit(resumed, start);
        CHECK(begun + drain(engine, second) == expectedAnswer("quote", 512, 30));
        CHECK(engine.counters().m_resumeMismatches == 0);
    }

    SECTION("a resume with another answer's text is counted")
    {
        GenerationRequest resumed = ask("quote", 30);
        resumed.m_resumeText = expectedAnswer("report", 3, 3);
        resumed.m_resumeTokens = 3;
        engine.submit(resumed, start);
        CHECK(engine.counters().m_resumeMismatches == 1);
    }

    SECTION("queues by priority, then arrival, and admits when a slot is free")
    {
        const SequenceId first = engine.submit(ask("a", 5), start);
        const SequenceId second = engine.submit(ask("b", 5), start);
        GenerationRequest patient = ask("c", 5);
        patient.m_priority = 1;
        const SequenceId third = engine.submit(patient, start);
        const SequenceId urgent = engine.submit(ask("d", 5), start);
        CHECK_FALSE(engine.isAdmitted(urgent));
        engine.finish(first, start);
        CHECK(engine.isAdmitted(urgent));
        CHECK_FALSE(engine.isAdmitted(third));
        engine.cancel(second, start);
        CHECK(engine.isAdmitted(third));
        CHECK(engine.counters().m_finished == 1);
        CHECK(engine.counters().m_cancelled == 1);
    }

    SECTION("gets slower with the size of its batch")
    {
        engine.submit(ask("a", 5), start);
        const Duration alone = engine.tokenTime();
        engine.submit(ask("b", 5), start);
        CHECK(engine.tokenTime() - alone == settings.m_tokenTimeGrowth);
    }

    SECTION("reads a cached prefix only once")
    {
        const SequenceId first = engine.submit(ask(words(40), 5), start);
        CHECK(engine.prefill(first, start) == std::chrono::milliseconds(5));
        engine.finish(first, start);
        const SequenceId second = engine.submit(ask(words(48), 5), start);
        engine.prefill(second, start);
        CHECK(engine.usage(second).m_cachedTokens == 32);
        CHECK(engine.counters().m_prefilledTokens == 40 + 16);
    }

    SECTION("an imported session saves the prefill of a resume")
    {
        const SequenceId first = engine.submit(ask(words(40), 30), start);
        const std::string begun = drain(engine, first, 20);
        const auto document = engine.exportSession("attempt of " + words(40));
        REQUIRE(document.has_value());
        Engine other(settings);
        REQUIRE(other.importSession("moved", *document));
        GenerationRequest resumed = ask(words(40), 30);
        resumed.m_resumeText = begun;
        resumed.m_resumeTokens = 20;
        resumed.m_kvSession = "moved";
        const SequenceId second = other.submit(resumed, start);
        CHECK(other.prefill(second, start) == Duration::zero());
        CHECK(other.usage(second).m_cachedTokens == 60);
    }

    SECTION("reports its load late")
    {
        engine.submit(ask("a", 5), start);
        CHECK(engine.load(start).m_running == 0);
        CHECK(engine.load(start + std::chrono::seconds(1)).m_running == 1);
    }

    SECTION("publishes cache events late and with gaps")
    {
        settings.m_cacheEventGap = 2;
        Engine gappy(settings);
        gappy.prefill(gappy.submit(ask(words(64), 5), start), start);
        CHECK(gappy.cacheEvents(0, start)["events"].empty());
        const Json late = gappy.cacheEvents(0, start + std::chrono::seconds(1));
        REQUIRE(late["events"].size() == 2);
        CHECK(late["events"][0]["sequence"] == 1);
        CHECK(late["events"][1]["sequence"] == 3);
        CHECK(late["last"] == 3);
    }

    SECTION("refuses an order with an old fence only if it checks fences")
    {
        CHECK(engine.order(7, {{"model", "next"}}) == OrderOutcome::Applied);
        CHECK(engine.order(6, {{"model", "old"}}) == OrderOutcome::OldFence);
        CHECK(engine.settings().m_model == "next");
        settings.m_checksFences = false;
        Engine careless(settings);
        careless.order(7, {{"model", "next"}});
        CHECK(careless.order(6, {{"model", "old"}}) == OrderOutcome::Applied);
        CHECK(careless.settings().m_model == "old");
    }
}

TEST_CASE("engine server")
{
    const Clock clock;
    EngineSettings settings;
    settings.m_tokenTime = {};
    settings.m_tokenTimeGrowth = {};
    settings.m_prefillTokensPerSecond = 1e15;
    EngineServer server(settings, clock);
    HttpRequest chat = request("POST", "/v1/chat/completions",
                               R"({"stream":true,"target_tokens":4,
                                   "messages":[{"role":"user","content":"hello"}]})");
    chat.m_headers.add("X-Attempt-Id", "attempt-1");
    BufferedResponder responder;
    const auto strike = [&](FaultKind kind) {
        Fault fault;
        fault.m_kind = kind;
        fault.m_count = 1;
        fault.m_afterTokens = 2;
        server.faults().add(fault);
    };
    const auto answered = [&] {
        server.handle(chat, responder);
        return responder.reply().m_body;
    };
    const auto counters = [&] {
        BufferedResponder counted;
        server.handle(request("GET", "/admin/counters"), counted);
        return parseJson(counted.reply().m_body);
    };

    SECTION("streams one event per token under the attempt's id, then the end marker")
    {
        const std::string body = answered();
        const Json first = parseJson(body.substr(6, body.find('\n') - 6));
        CHECK(first["id"] == "attempt-1");
        CHECK(first["token_index"] == 0);
        CHECK(first["choices"][0]["delta"]["content"] == expectedAnswer("hello", 1));
        CHECK(body.ends_with("data: [DONE]\n\n"));
        CHECK(responder.isWhole());
    }

    SECTION("a cut stream never ends and its work is cancelled")
    {
        strike(FaultKind::CutStream);
        CHECK(answered().find("\"token_index\":2") == std::string::npos);
        CHECK_FALSE(responder.isWhole());
        CHECK(counters()["cancelled"] == 1);
    }

    SECTION("a stream that ends early lacks the end marker")
    {
        strike(FaultKind::EndEarly);
        CHECK(answered().find("[DONE]") == std::string::npos);
        CHECK(responder.isWhole());
    }

    SECTION("a crossed answer carries an event of another attempt")
    {
        strike(FaultKind::CrossedAnswer);
        CHECK(answered().find("attempt-of-another-caller") != std::string::npos);
    }

    SECTION("a caller who leaves cancels the work")
    {
        responder.leave();
        answered();
        CHECK(counters()["cancelled"] == 1);
        CHECK(counters()["generated_tokens"] == 0);
    }
}

TEST_CASE("prefix cache")
{
    SECTION("evicts the least recently used block")
    {
        PrefixCache cache(2);
        cache.store({1, 2});
        CHECK(cache.match({1}) == 1);
        const auto changes = cache.store({3});
        REQUIRE(changes.size() == 2);
        CHECK(changes[1].m_block == 2);
        CHECK_FALSE(changes[1].m_stored);
        CHECK(cache.match({1}) == 1);
        CHECK(cache.match({2}) == 0);
    }
}

TEST_CASE("run log")
{
    SECTION("counts runs by attempt and by path and business key")
    {
        RunLog runs;
        runs.record("first", "/orders", "bolt-7");
        const RunCount count = runs.record("second", "/orders", "bolt-7");
        CHECK(count.m_ofAttempt == 1);
        CHECK(count.m_ofKey == 2);
        runs.record("third", "/orders", "nut-8");
        CHECK(runs.describe("bolt-7")["keys"] == Json::object({{"/orders bolt-7", 2}}));
        CHECK(runs.describe()["total"] == 3);
    }
}

TEST_CASE("object store")
{
    ObjectStore store;

    SECTION("one counter gives all versions")
    {
        const Version first = versionOf(store.create("profile", "a", "1"));
        const Version second = versionOf(store.create("fleet", "b", "1"));
        const Version third = versionOf(store.update("profile", "a", first, "2"));
        CHECK(first < second);
        CHECK(second < third);
        CHECK(*store.read("profile", "a")->m_body == "2");
    }

    SECTION("a failed condition changes nothing and names the present version")
    {
        const Version version = versionOf(store.create("profile", "a", "1"));
        CHECK(std::get<ConditionFailed>(store.create("profile", "a", "x")).m_current == version);
        CHECK(std::get<ConditionFailed>(store.update("profile", "a", version + 1, "x")).m_current
              == version);
        CHECK_FALSE(std::get<ConditionFailed>(store.update("profile", "none", 1, "x")).m_current);
        CHECK(std::get<ConditionFailed>(store.remove("profile", "a", version + 1)).m_current
              == version);
        CHECK(store.version() == version);
    }

    SECTION("a list holds one kind's names with the prefix, in order")
    {
        store.create("claims", "7/2", "");
        store.create("claims", "7/10", "");
        store.create("claims", "8/1", "");
        store.create("clams", "7/1", "");
        const auto list = store.list("claims", "7/");
        REQUIRE(list.size() == 2);
        CHECK(list[0].m_name == "7/10");
        CHECK(list[1].m_name == "7/2");
    }

    SECTION("a watch sees each change of its kind, deletions too, until they are forgotten")
    {
        ObjectStore small(StoreLimits{1024, 3, 1024});
        const Version first = versionOf(small.create("profile", "a", "1"));
        small.create("fleet", "b", "1");
        small.remove("profile", "a", first);
        const auto events = std::get<std::vector<ObjectEvent>>(small.changes("profile", first));
        REQUIRE(events.size() == 1);
        CHECK(events[0].m_deleted);
        small.create("fleet", "c", "1");
        CHECK(std::holds_alternative<VersionTooOld>(small.changes("profile", 0)));
        CHECK(std::holds_alternative<std::vector<ObjectEvent>>(small.changes("profile", first)));
    }

    SECTION("a body over a mebibyte is refused")
    {
        CHECK(std::holds_alternative<Written>(
                store.create("jobs", "a", std::string(std::size_t{1024} * 1024, 'x'))));
        CHECK(std::holds_alternative<BodyTooLarge>(
                store.create("jobs", "b", std::string(std::size_t{1024} * 1024 + 1, 'x'))));
    }
}

TEST_CASE("platform server")
{
    Clock clock;
    clock.pause();
    PlatformSettings settings;
    settings.m_latency = {};
    settings.m_writesPerSecond = 2;
    PlatformServer server(settings, clock);
    const auto call = [&](const HttpRequest &sent) {
        BufferedResponder responder;
        server.handle(sent, responder);
        return responder;
    };
    HttpRequest create = request("PUT", "/v1/objects/profile/phone", "body");
    create.m_headers.add("If-None-Match", "*");

    SECTION("creates, reads and refuses a second creation")
    {
        CHECK(call(create).reply().m_status == 201);
        const HttpReply read = call(request("GET", "/v1/objects/profile/phone")).reply();
        CHECK(read.m_body == "body");
        CHECK(read.m_headers.value("ETag") == "\"1\"");
        const HttpReply again = call(create).reply();
        CHECK(again.m_status == 412);
        CHECK(again.m_headers.value("ETag") == "\"1\"");
    }

    SECTION("a lost answer's write has taken effect")
    {
        Fault lost;
        lost.m_kind = FaultKind::CloseAfter;
        lost.m_count = 1;
        lost.m_match = "PUT";
        server.faults().add(lost);
        CHECK_FALSE(call(create).isWhole());
        CHECK(call(request("GET", "/v1/objects/profile/phone")).reply().m_status == 200);
    }

    SECTION("writes beyond the rate are refused and do nothing")
    {
        call(create);
        call(create);
        const HttpReply limited = call(create).reply();
        CHECK(limited.m_status == 429);
        CHECK(limited.m_headers.value("Retry-After") == "1");
        clock.advance(std::chrono::seconds(1));
        CHECK(call(create).reply().m_status == 412);
    }

    SECTION("a watch answers at once with what it has missed")
    {
        call(create);
        const HttpReply reply =
                call(request("GET", "/v1/watch/profile?after=0&timeoutMs=60000")).reply();
        const Json body = parseJson(reply.m_body);
        REQUIRE(body["events"].size() == 1);
        CHECK(body["events"][0]["name"] == "phone");
        CHECK(body["events"][0]["body"] == "body");
        CHECK(body["version"] == 1);
    }
}

TEST_CASE("cloud")
{
    Cloud cloud(std::chrono::seconds(2));
    Vm vm;
    vm.m_zone = "olten-a";
    const std::string id = cloud.add(vm, start);

    SECTION("its list lags behind")
    {
        CHECK(cloud.list(start + std::chrono::seconds(1)).empty());
        CHECK(cloud.list(start + std::chrono::seconds(2)).size() == 1);
        cloud.remove(id, start + std::chrono::seconds(3));
        CHECK(cloud.list(start + std::chrono::seconds(4)).size() == 1);
        CHECK(cloud.list(start + std::chrono::seconds(5)).empty());
    }

    SECTION("a rented VM is listed only once it has started")
    {
        const std::string rented = cloud.add(vm, TimePoint::max());
        CHECK(cloud.list(start + std::chrono::seconds(9)).size() == 1);
        cloud.start(rented, 9100, start + std::chrono::seconds(9));
        CHECK(cloud.list(start + std::chrono::seconds(10)).size() == 1);
        CHECK(cloud.list(start + std::chrono::seconds(11)).size() == 2);
    }

    SECTION("a zone's reclaim strikes its VMs and gives one notice")
    {
        const std::string second = cloud.add(vm, start);
        vm.m_zone = "olten-b";
        cloud.add(vm, start);
        CHECK(cloud.reclaim("", "olten-a", 1000, start) == std::vector<std::string>{id, second});
        REQUIRE(cloud.noticesAfter(0).size() == 1);
        CHECK(cloud.noticesAfter(0)[0].m_vm.empty());
        CHECK(cloud.noticesAfter(1).empty());
        CHECK(cloud.list(start + std::chrono::seconds(2))[0].m_leaving);
    }
}

TEST_CASE("fault plan")
{
    SECTION("strikes the matching requests, as often as asked")
    {
        FaultPlan plan;
        plan.add(valueOf(
                readFault({{"fault", "not-run"}, {"count", 2}, {"match", "POST /orders"}})));
        CHECK_FALSE(plan.take(FaultKind::NotRun, "GET /stock"));
        CHECK(plan.take(FaultKind::NotRun, "POST /orders"));
        CHECK(plan.take(FaultKind::NotRun, "POST /orders"));
        CHECK_FALSE(plan.take(FaultKind::NotRun, "POST /orders"));
    }

    SECTION("an unknown fault is refused")
    {
        CHECK_FALSE(succeeded(readFault({{"fault", "gremlins"}})));
    }
}

TEST_CASE("settings of stand-ins")
{
    SECTION("a count multiplies an instance")
    {
        const auto read = readInstances({{"role", "engine"},
                                         {"name", "runner"},
                                         {"listen", "127.0.0.1:9000"},
                                         {"count", 2},
                                         {"slots", 4}});
        REQUIRE(succeeded(read));
        REQUIRE(valueOf(read).size() == 2);
        CHECK(valueOf(read)[1].m_name == "runner-2");
        CHECK(valueOf(read)[1].m_listen.m_port == 9001);
        CHECK(std::get<EngineSettings>(valueOf(read)[1].m_role).m_slots == 4);
    }

    SECTION("a misspelt key is refused")
    {
        CHECK_FALSE(succeeded(readInstances({{"role", "engine"}, {"slotz", 4}})));
    }
}
