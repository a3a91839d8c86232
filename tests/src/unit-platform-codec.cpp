#include <platform/config_codec.hpp>
#include <platform/duty_codec.hpp>
#include <platform/request_codec.hpp>
#include <platform/run_move_codec.hpp>
#include <platform/upstream_codec.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace gypsumdale::platform;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view configText = R"({"version":7,"routes":[
{"name":"r1","hostname":"h.example","path-prefix":"/p/","kind":"streaming","timeout-ms":3000,
 "target-latency-ms":500,"priority":0,"service":"s1","max-attempts":2,"public":false,
 "session-affinity":true,"stream-resume":true,"gap-aim-ms":400},
{"name":"r2","hostname":"h.example","path-prefix":"/q/","kind":"non_idempotent","timeout-ms":1000,
 "traffic-split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"public":true}],
"services":[{"name":"s1","max-connections":620,"engine":{"slots":128,"moves":true},
 "scaling":{"min-replicas":1,"max-replicas":8,"boot-time-s":4.0,"spot-price":0.18,
 "zone-prices":{"a":0.85}}},{"name":"s2","max-connections":100}],
"limits":{"max-header-bytes":16384,"idle-timeout-ms":15000},
"tenants":[{"name":"t1","api-keys":["k1","k2"],"priority":1,"unit":"tokens","plain-tokens":200,
 "rate-per-s":1000,"burst":500}]})";

HttpHeaders headersOf(std::vector<std::pair<std::string, std::string>> fields)
{
    HttpHeaders headers;
    for (auto &[name, value] : fields)
        headers.add(name, value);
    return headers;
}

} // namespace

TEST_CASE("a stored configuration")
{
    const auto decoded = decodeConfig(configText);
    REQUIRE(succeeded(decoded));
    const ServingConfig &config = valueOf(decoded);
    CHECK(config.m_version == 7);
    REQUIRE(config.m_routes.size() == 2);
    CHECK(config.m_routes[0].m_kind == RouteRepeatSafety::Stream);
    CHECK(config.m_routes[0].isRetryable());
    CHECK(config.m_routes[0].m_timeout == 3s);
    CHECK(config.m_routes[1].m_kind == RouteRepeatSafety::AtMostOnce);
    CHECK_FALSE(config.m_routes[1].isRetryable());
    CHECK(config.m_routes[1].m_services.size() == 2);
    const ServingService &service = config.m_services.at(ServiceId("s1"));
    CHECK(service.m_engine->m_canMoveRuns);
    CHECK(service.m_scaling->m_most == 8);
    CHECK(service.m_scaling->m_bootTime == 4s);
    CHECK_FALSE(config.m_services.at(ServiceId("s2")).m_engine);
    CHECK(config.m_accounts[0].m_countsTokens);
    CHECK(config.m_accounts[0].m_keys.size() == 2);
    CHECK(config.m_limits.m_idleTimeout == 15s);

    SECTION("of an unknown kind of route is handled with the most care")
    {
        const auto odd = decodeConfig(R"({"version":1,"routes":[{"name":"r","kind":"new"}]})");
        REQUIRE(succeeded(odd));
        CHECK(valueOf(odd).m_routes[0].m_kind == RouteRepeatSafety::AtMostOnce);
    }
    SECTION("that is none is refused")
    {
        CHECK_FALSE(succeeded(decodeConfig("")));
        CHECK_FALSE(succeeded(decodeConfig("[1]")));
        CHECK_FALSE(succeeded(decodeConfig(R"({"routes":[]})")));
    }
}

TEST_CASE("an upstream's entry")
{
    const StoreObject object{"i-1", 4,
                             R"({"service":"s","address":"10.0.0.9:8080","zone":"a","slots":128,)"
                             R"("state":"draining","spot":true,"leaves_ms":2500,"sequence":4})"};
    const auto record = decodeUpstream(object);
    REQUIRE(succeeded(record));
    CHECK(valueOf(record).m_id == UpstreamId("i-1"));
    CHECK(valueOf(record).m_port == 8080);
    CHECK(valueOf(record).m_isDraining);
    CHECK(valueOf(record).m_isReclaimable);
    CHECK(valueOf(record).m_timeUntilRemoval == 2500ms);

    SECTION("survives the way to a peer")
    {
        const auto list =
                decodeUpstreamText(encodeUpstreams({{UpstreamId("i-1"), valueOf(record)}})).value();
        REQUIRE(list.contains(UpstreamId("i-1")));
        CHECK(list.at(UpstreamId("i-1")).m_isDraining);
        CHECK(list.at(UpstreamId("i-1")).m_ip == "10.0.0.9");
    }
    SECTION("without an address is refused")
    {
        CHECK_FALSE(succeeded(decodeUpstream({"i-1", 1, R"({"service":"s"})"})));
        CHECK_FALSE(succeeded(decodeUpstream({"i-1", 1, "no json"})));
        for (const char *text : {"no json", "", "{}", "null", "[", "7"})
            CHECK_FALSE(decodeUpstreamText(text));
        CHECK(decodeUpstreamText("[]")->empty());
    }
    SECTION("names the software's version, or leaves it unknown")
    {
        const auto versionIn = [](const std::string &field) {
            const auto decoded = decodeUpstream(
                    {"i-1", 1,
                     R"({"service":"s","address":"10.0.0.9:80","zone":"a","slots":1,)" + field
                             + R"("state":"ready"})"});
            REQUIRE(succeeded(decoded));
            return valueOf(decoded);
        };
        const UpstreamRecord known = versionIn(R"("version":"v1.2",)");
        CHECK(known.m_softwareVersion == SoftwareVersion("v1.2"));
        const auto copy = decodeUpstreamText(encodeUpstreams({{UpstreamId("i-1"), known}})).value();
        CHECK(copy.at(UpstreamId("i-1")).m_softwareVersion == SoftwareVersion("v1.2"));

        CHECK(versionIn("").m_softwareVersion.isEmpty());
        CHECK(versionIn(R"("version":12,)").m_softwareVersion.isEmpty());
        CHECK(versionIn(R"("version":null,)").m_softwareVersion.isEmpty());
        const auto unknown =
                decodeUpstreamText(encodeUpstreams({{UpstreamId("i-1"), versionIn("")}})).value();
        CHECK(unknown.at(UpstreamId("i-1")).m_softwareVersion.isEmpty());
    }
    SECTION("that was removed needs only its name")
    {
        const auto changes = decodeChanges({5, {{{"i-2", 5, "null"}, true}}});
        REQUIRE(changes.size() == 1);
        CHECK(changes[0].m_kind == UpstreamChangeKind::Removed);
        CHECK(changes[0].m_record.m_id == UpstreamId("i-2"));
    }
}

TEST_CASE("a caller's request")
{
    HttpRequest request;
    request.m_headers = headersOf({{"Host", "h.example"},
                                   {"Gypsumdale-Request-Id", "9c41"},
                                   {"Gypsumdale-Token-Usage", "1460,80"},
                                   {"Gypsumdale-Prompt-Prefix", "5c1e:800,91bd:410,e440:250"},
                                   {"Gypsumdale-Deadline-Ms", "15000"},
                                   {"Authorization", "Bearer key"}});
    const CallerRequest decoded = decodeRequest(request);
    CHECK(decoded.m_id == RequestId("9c41"));
    CHECK(decoded.m_key == "key");
    CHECK(decoded.m_timeLeft == Duration(15s));
    CHECK(decoded.m_promptTokens == 1460);
    CHECK(decoded.m_outputTokens == 80);
    CHECK(decoded.m_sharedTokens == 1210);
    CHECK(decoded.m_lastSharedPart == "91bd");
    CHECK(decoded.m_promptParts == std::vector<std::string>{"5c1e", "91bd", "e440"});
}

TEST_CASE("the header that an upstream gets")
{
    Forwarding forwarding;
    forwarding.m_timeLeft = 900ms;
    forwarding.m_upstream = UpstreamId("i-1");
    forwarding.m_account = AccountId("t1");
    forwarding.m_priority = 4;

    SECTION("has the caller's fields and the system's")
    {
        const HttpHeaders headers = upstreamHeaders(
                headersOf({{"Gypsumdale-Request-Id", "9c41"}, {"X-Own", "1"}}), forwarding);
        CHECK(headers.value("Gypsumdale-Request-Id") == "9c41");
        CHECK(headers.value("X-Own") == "1");
        CHECK(headers.value("Gypsumdale-Deadline-Ms") == "900");
        CHECK(headers.value("Gypsumdale-Expect-Instance") == "i-1");
        CHECK(headers.value("Gypsumdale-Tenant") == "t1");
        CHECK(headers.value("Gypsumdale-Request-Priority") == "4");
    }
    SECTION("never has what a caller may not set")
    {
        // A caller sets the fields that name another member's account, reserve an engine's memory
        // or continue another request's run. If they were forwarded, the upstream would trust them
        // as set by the system.
        for (const char *name :
             {"Gypsumdale-Tenant", "gypsumdale-hold", "Gypsumdale-Pin-Ms", "Gypsumdale-Kv-Backup",
              "Kv-From", "kv-fetch", "Authorization", "Gypsumdale-Expect-Version"}) {
            forwarding.m_account = {};
            const HttpHeaders headers = upstreamHeaders(headersOf({{name, "forged"}}), forwarding);
            CHECK(headers.value(name).empty());
        }
    }
    SECTION("leaves out the fields of one connection")
    {
        const HttpHeaders headers = upstreamHeaders(
                headersOf({{"Connection", "close, X-Hop"}, {"X-Hop", "1"}, {"TE", "trailers"}}),
                forwarding);
        CHECK(headers.value("X-Hop").empty());
        CHECK(headers.value("TE").empty());
        CHECK(headers.value("Connection").empty());
    }
    SECTION("resumes after the event that was passed on last, whatever the caller named")
    {
        forwarding.m_resumeAfter = "12";
        const HttpHeaders headers =
                upstreamHeaders(headersOf({{"Last-Event-Id", "3"}}), forwarding);
        CHECK(headers.value("Last-Event-Id") == "12");
    }
}

TEST_CASE("a client that takes a stream up")
{
    const auto decoded = [](std::initializer_list<std::pair<const char *, const char *>> fields) {
        HttpRequest request;
        for (const auto &[name, value] : fields)
            request.m_headers.add(name, value);
        return decodeRequest(request);
    };
    CHECK_FALSE(decoded({{"Gypsumdale-Request-Id", "9c41"}}).m_isTakeUp);
    const CallerRequest named = decoded({{"Last-Event-Id", "7"}, {"resumes", "9c40"}});
    CHECK(named.m_isTakeUp);
    CHECK(named.m_resumed == RequestId("9c40"));
    const CallerRequest unnamed = decoded({{"Last-Event-Id", "7"}});
    CHECK(unnamed.m_isTakeUp);
    CHECK(unnamed.m_resumed.isEmpty());
    CHECK(decoded({{"Resumes", "9c40"}}).m_isTakeUp);
}

TEST_CASE("where a stream began travels between VMs only")
{
    const StreamOrigin origin{ServiceId("s"), SoftwareVersion("v1")};
    const HttpHeaders forged = headersOf(
            {{"Relay-Origin-Service", "s"}, {"Relay-Origin-Version", "v9"}, {"Accept", "a"}});
    CHECK_FALSE(relayedOrigin(relayHeaders(forged, 1500ms, std::nullopt, 12)));
    CHECK(relayedOrigin(relayHeaders(forged, 1500ms, std::nullopt, 12, origin)) == origin);
    CHECK_FALSE(relayedOrigin(callerHeaders(forged)));
    CHECK_FALSE(relayedOrigin(upstreamHeaders(forged, Forwarding())));

    HttpHeaders answer;
    addRelayedOrigin(answer, {ServiceId("s"), SoftwareVersion()});
    CHECK(relayedOrigin(answer) == StreamOrigin{ServiceId("s"), SoftwareVersion()});
}

TEST_CASE("which upstream gave a relayed answer travels between VMs only")
{
    const UpstreamProcess process{UpstreamId("u-1"), 1000};
    const HttpHeaders forged =
            headersOf({{"Relay-Upstream", "u-1"}, {"Relay-Upstream-Start", "1"}});
    CHECK_FALSE(relayedUpstream(callerHeaders(forged)));
    CHECK_FALSE(relayedUpstream(upstreamHeaders(forged, Forwarding())));
    CHECK_FALSE(relayedUpstream(relayHeaders(forged, 1500ms, std::nullopt, 12)));

    HttpHeaders answer;
    addRelayedUpstream(answer, process);
    CHECK(relayedUpstream(answer) == process);
    CHECK_FALSE(relayedUpstream(headersOf({{"Relay-Upstream", "u-1"}})));
    CHECK_FALSE(relayedUpstream(
            headersOf({{"Relay-Upstream", "u-1"}, {"Relay-Upstream-Start", "soon"}})));
}

TEST_CASE("the header of a request that a peer relays")
{
    const HttpHeaders caller = headersOf({{"Authorization", "Bearer key"},
                                          {"Gypsumdale-Request-Id", "9c41"},
                                          {"Gypsumdale-Deadline-Ms", "9000"},
                                          {"Connection", "X-Hop"},
                                          {"X-Hop", "1"},
                                          {"Last-Event-Id", "3"},
                                          {"Relay-Config-Version", "99"}});
    const HttpHeaders relayed = relayHeaders(caller, 1500ms, std::string("7"), 12);

    SECTION("has the key, the time left, the last event and the configuration")
    {
        CHECK(relayed.value("Authorization") == "Bearer key");
        CHECK(relayed.value("Gypsumdale-Request-Id") == "9c41");
        CHECK(relayed.value("Gypsumdale-Deadline-Ms") == "1500");
        CHECK(relayed.value("Last-Event-Id") == "7");
        CHECK(relayedConfigVersion(relayed) == 12);
        CHECK_FALSE(relayed.find("X-Hop"));
    }
    SECTION("keeps the caller's last event where the stream has not begun")
    {
        CHECK(relayHeaders(caller, 1500ms, std::nullopt, 12).value("Last-Event-Id") == "3");
    }
    SECTION("is not passed on to an upstream")
    {
        Forwarding forwarding;
        forwarding.m_upstream = UpstreamId("i-1");
        const HttpHeaders headers = upstreamHeaders(relayed, forwarding);
        CHECK_FALSE(headers.find("Relay-Config-Version"));
        CHECK_FALSE(headers.find("Authorization"));
    }
    SECTION("and its refusal is not taken from an upstream, nor passed on to a caller")
    {
        const HttpReply refusal = relayRefusal(RequestId("9c41"), "full", 0);
        CHECK(refusal.m_status == 503);
        CHECK(refusal.m_headers.value("Relay-Refused") == "full");
        CHECK_FALSE(callerHeaders(refusal.m_headers).find("Relay-Refused"));
        CHECK_FALSE(callerHeaders(refusal.m_headers).find("Relay-Arrived"));
    }
    SECTION("and its refusal says how many attempts arrived")
    {
        CHECK(relayedArrivals(relayRefusal(RequestId("r"), "not-placed", 2).m_headers) == 2);
        CHECK_FALSE(relayedArrivals(headersOf({})));
        CHECK_FALSE(relayedArrivals(headersOf({{"Relay-Arrived", "-1"}})));
        CHECK_FALSE(relayedArrivals(headersOf({{"Relay-Arrived", "many"}})));
        CHECK(relayedArrivals(headersOf({{"Relay-Arrived", "99999999999"}})) == 2147483647);
    }
}

TEST_CASE("what an upstream's answer says of itself")
{
    const RequestId id("9c41");
    const auto signedAnswer =
            headersOf({{"Gypsumdale-Request-Id", "9c41"}, {"Gypsumdale-Response-Signature", "s"}});
    CHECK(decodeAnswer(200, signedAnswer, id).m_isSigned);
    CHECK(decodeAnswer(200, signedAnswer, id).m_answersThisRequest);

    SECTION("it is to another request")
    {
        // A runner sends a late answer where the answer to the next request is expected. If it were
        // forwarded, a buyer would get another buyer's quote.
        CHECK_FALSE(decodeAnswer(200, signedAnswer, RequestId("other")).m_answersThisRequest);
        CHECK_FALSE(decodeAnswer(200, headersOf({}), id).m_answersThisRequest);
    }
    SECTION("the request was not run")
    {
        CHECK(decodeAnswer(503, headersOf({{"Gypsumdale-Not-Executed", "1"}}), id)
                      .m_wasNotExecuted);
        CHECK(decodeAnswer(421, headersOf({}), id).m_wasNotExecuted);
        CHECK(decodeAnswer(421, headersOf({}), id).m_isOtherUpstream);
    }
    SECTION("a failure without that word may have run")
    {
        CHECK_FALSE(decodeAnswer(503, signedAnswer, id).m_wasNotExecuted);
        CHECK_FALSE(decodeAnswer(500, signedAnswer, id).m_wasNotExecuted);
    }
}

TEST_CASE("an answer of the system's own")
{
    const HttpReply reply = ownReply(503, RequestId("9c41"), "no-upstream", 250ms);
    CHECK(reply.m_status == 503);
    CHECK(reply.m_headers.value("Retry-After") == "0.250");
    CHECK(reply.m_headers.value("Gypsumdale-Response-Signature").empty());
    CHECK(ownReply(404, {}, "no-route", {}).m_headers.value("Retry-After").empty());
}

TEST_CASE("what the product keeps in the store")
{
    SECTION("the lease")
    {
        StoreObject object = encodeLease({NodeId("a"), 9, 4, 12});
        CHECK(object.m_revision == 12);
        object.m_revision = 13;
        const LeaseRecord lease = decodeLease(object);
        CHECK(lease.m_holder == NodeId("a"));
        CHECK(lease.m_fence == 4);
        CHECK(lease.m_revision == 13);
    }
    SECTION("a renewal changes the object, so that its revision rises")
    {
        CHECK(encodeLease({NodeId("a"), 9, 4, 12}).m_specText
              != encodeLease({NodeId("a"), 9, 4, 13}).m_specText);
    }
    SECTION("usage windows")
    {
        const UsageLedger ledger{{{355408421, {{AccountId("t1"), 412}}}, {355408422, {}}},
                                 {{355408423, {{AccountId("t1"), 40}, {AccountId("t2"), 2}}}}};
        CHECK(decodeUsage(encodeUsage(ledger, 3)) == ledger);
        CHECK(decodeUsage({"usage", 1, "no json"}) == UsageLedger());
        // A ledger of a process that has noted nothing.
        const UsageLedger fixedOnly{{{7, {{AccountId("t1"), 4}}}}, {}};
        CHECK(decodeUsage({"usage", 1, R"({"windows":{"7":{"t1":4}}})"}) == fixedOnly);
    }
    SECTION("where a VM is")
    {
        const NodeRecord node = valueOf(decodeNode(encodeNode({NodeId("a-1"), "10.0.0.1:8367"})));
        CHECK(node.m_node == NodeId("a-1"));
        CHECK(node.m_address == "10.0.0.1:8367");
    }
}

TEST_CASE("the order to move a run")
{
    UpstreamRecord source;
    source.m_ip = "10.0.0.1";
    source.m_port = 80;
    UpstreamRecord target;
    target.m_ip = "10.0.0.2";
    target.m_port = 81;
    for (const MoveStep step : {MoveStep::Copy, MoveStep::Stop}) {
        const HttpCall call = moveCall(source, target, RequestId("9c41"), step);
        CHECK(call.m_endpoint == Endpoint{"10.0.0.1", 80});
        CHECK(call.m_body.find("10.0.0.2:81") != std::string::npos);
        CHECK(call.m_body.find("9c41") != std::string::npos);
        const bool isLast = call.m_body.find(R"("last":true)") != std::string::npos;
        CHECK(isLast == (step == MoveStep::Stop));
    }
    const HttpCall release = releaseCall(source, "10.0.0.1:80/h7");
    CHECK(release.m_method == "DELETE");
    CHECK(release.m_target == "/-/kv-handle/h7");

    SECTION("was carried out")
    {
        const MoveAnswer answer =
                decodeMove(source, {200, {}, R"({"handle":"h7","create-rev":3})"});
        CHECK(answer.m_isCopied);
        CHECK(answer.m_memory == "10.0.0.1:80/h7");
    }
    SECTION("found no room, but stopped the run")
    {
        const MoveAnswer answer = decodeMove(source, {503, {}, R"({"handle":"h7"})"});
        CHECK_FALSE(answer.m_isCopied);
        CHECK(answer.m_memory == "10.0.0.1:80/h7");
    }
    SECTION("found no such run")
    {
        CHECK(decodeMove(source, {404, {}, "{}"}).m_memory.empty());
        CHECK(decodeMove(source, {200, {}, "no json"}).m_memory.empty());
    }
    SECTION("names the memory to whoever goes on from it")
    {
        Forwarding forwarding;
        forwarding.m_memory = "10.0.0.1:80/h7";
        forwarding.m_resumeAfter = "12";
        const HttpHeaders headers = upstreamHeaders(headersOf({}), forwarding);
        CHECK(headers.value("Kv-From") == "10.0.0.1:80/h7");
        CHECK(headers.value("Last-Event-Id") == "12");
    }
}

// Guards against a handle that ends the target, or the call, and reaches something else.
TEST_CASE("a handle of any bytes stays one segment of the path")
{
    UpstreamRecord source;
    source.m_ip = "10.0.0.1";
    source.m_port = 80;
    const auto targetFor = [&source](const std::string &handle) {
        return releaseCall(source, "10.0.0.1:80/" + handle).m_target;
    };
    CHECK(targetFor("h/../x") == "/-/kv-handle/h%2F..%2Fx");
    CHECK(targetFor("h?x#y&z") == "/-/kv-handle/h%3Fx%23y%26z");
    CHECK(targetFor("h HTTP/1.1\r\nHost: x") == "/-/kv-handle/h%20HTTP%2F1.1%0D%0AHost%3A%20x");
    CHECK(targetFor("h%41") == "/-/kv-handle/h%2541");
}
