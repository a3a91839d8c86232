#include <gypsumdale/serving/crash_quarantine.hpp>

#include <entry/quarantine_page.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <chrono> // hours, seconds
#include <string> // string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

constexpr TimePoint now{2h};

struct Page
{
    Page()
    {
        m_quarantine.add(ServiceId("llm"), {CrashElement("part:m:x")}, false, now - 20s);
        m_id = idOf(m_quarantine.entries().front());
    }

    HttpReply send(const std::string &method, const std::string &target, bool isLocal = true)
    {
        HttpRequest request;
        request.m_method = method;
        request.m_target = target;
        const auto lift = [this](std::string_view id) {
            return m_quarantine.liftById(id) != nullptr;
        };
        return answerQuarantinePage(request, isLocal, {m_quarantine.entries(), lift, now});
    }

    CrashQuarantine m_quarantine;
    std::string m_id;
};

} // namespace

TEST_CASE("the page of what is rejected lists it")
{
    Page page;
    const HttpReply reply = page.send("GET", "/-/quarantine", false);
    CHECK(reply.m_status == 200);
    const Json entry = Json::parse(reply.m_body)["entries"][0];
    CHECK(entry["id"] == page.m_id);
    CHECK(entry["service"] == "llm");
    CHECK(entry["elements"] == "part:m:x");
    CHECK(entry["state"] == "rejected");
    CHECK(entry["remainingMillis"] == 40000);
    CHECK(entry["known"] == "everywhere");
}

// Guards against an entry being lifted by somebody who isn't on the machine.
TEST_CASE("an entry is lifted by its id, from the machine itself only")
{
    Page page;
    CHECK(page.send("POST", "/-/quarantine/lift/" + page.m_id, false).m_status == 403);
    CHECK(page.send("GET", "/-/quarantine/lift/" + page.m_id).m_status == 404);
    CHECK(page.send("POST", "/-/quarantine/lift/other").m_status == 404);
    CHECK(page.m_quarantine.causes(ServiceId("llm")).size() == 1);
    CHECK(page.send("POST", "/-/quarantine/lift/" + page.m_id).m_status == 200);
    CHECK(page.m_quarantine.causes(ServiceId("llm")).empty());
    CHECK(page.send("POST", "/-/quarantine/lift/" + page.m_id).m_status == 404);
    const HttpReply reply = page.send("GET", "/-/quarantine");
    CHECK(Json::parse(reply.m_body)["entries"][0]["state"] == "lifted");
}

TEST_CASE("a machine's own addresses for itself")
{
    CHECK(isLoopback("127.0.0.1"));
    CHECK(isLoopback("::1"));
    CHECK_FALSE(isLoopback("10.0.1.4"));
}
