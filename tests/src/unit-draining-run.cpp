#include <gypsumdale/fleet/drain.hpp>
#include <gypsumdale/kernel/draining_run.hpp>

#include <catch2/catch.hpp>

#include <chrono> // milliseconds, seconds
#include <memory> // make_shared
#include <optional> // nullopt

using namespace gypsumdale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint noticeAt{seconds(1000)};
constexpr Duration notice = seconds(6);

StopSchedule shortStop()
{
    Drain drain{DrainSettings()};
    drain.begin(DrainCause::VmReclaim, noticeAt + notice, noticeAt);
    return *drain.schedule();
}

RequestContext request(ServiceKind kind, RepeatSafety repeatSafety, Duration deadline)
{
    auto profile = std::make_shared<Profile>();
    profile->m_latency = {milliseconds(500), milliseconds(50), deadline};
    profile->m_repeatSafety = repeatSafety;
    RequestContext context;
    context.m_profile = profile;
    context.m_kind = kind;
    context.m_arrivedAt = noticeAt;
    context.m_deadline = noticeAt + deadline;
    return context;
}

RequestContext stream()
{
    return request(ServiceKind::Model, RepeatSafety::Repeatable, seconds(40));
}

bool begins(const RequestContext &context, const DrainingRun &run,
            const std::optional<DurationForecast> &recent, Duration after)
{
    return mayBegin(shortStop(), expectedEndOf(context, run, recent), noticeAt + after);
}

} // namespace

TEST_CASE("The times of a stop follow from its deadline")
{
    Drain drain{DrainSettings()};
    CHECK_FALSE(drain.schedule());
    drain.begin(DrainCause::Signal, std::nullopt, noticeAt);
    REQUIRE(drain.schedule());
    CHECK(drain.schedule()->m_signalAt == noticeAt);
    CHECK(drain.schedule()->m_acceptUntil == noticeAt + seconds(5));
    CHECK(drain.schedule()->m_cancelAt == noticeAt + milliseconds(59500));

    drain.begin(DrainCause::VmReclaim, noticeAt + seconds(7), noticeAt + seconds(1));
    CHECK(drain.schedule()->m_acceptUntil == noticeAt + Duration(seconds(7)) / 3);
    CHECK(drain.schedule()->m_cancelAt == noticeAt + milliseconds(6500));
}

// Guards against streams that are begun after a reclaim notice of seconds and cut at its end.
TEST_CASE("A process that drains begins a stream that will probably end before it")
{
    const DrainingRun brief{20};
    const DrainingRun longer{120};
    SECTION("as far as its request says, if no earlier ones are known")
    {
        CHECK(begins(stream(), brief, std::nullopt, milliseconds(1000)));
        CHECK_FALSE(begins(stream(), longer, std::nullopt, milliseconds(0)));
    }
    SECTION("as far as earlier ones say")
    {
        const DurationForecast recent{seconds(4), seconds(9)};
        CHECK(begins(stream(), longer, recent, milliseconds(1000)));
        CHECK_FALSE(begins(stream(), longer, recent, milliseconds(1600)));
    }
    SECTION("or whose deadline is before the end")
    {
        const auto context = request(ServiceKind::Model, RepeatSafety::Repeatable, seconds(5));
        CHECK(begins(context, longer, std::nullopt, milliseconds(0)));
    }
}

// Guards against a caller that doesn't know whether its request has run, because a stop cut it.
TEST_CASE("A process that drains begins a request that may run once only if all of them fit")
{
    const auto context = request(ServiceKind::Plain, RepeatSafety::Once, seconds(8));
    CHECK_FALSE(begins(context, {}, std::nullopt, milliseconds(0)));
    CHECK(begins(context, {}, DurationForecast{seconds(1), seconds(3)}, milliseconds(1000)));
    CHECK_FALSE(begins(context, {}, DurationForecast{seconds(1), seconds(5)}, milliseconds(1000)));
    const auto urgent = request(ServiceKind::Plain, RepeatSafety::Once, seconds(5));
    CHECK(begins(urgent, {}, std::nullopt, milliseconds(0)));
}

TEST_CASE("A process that drains takes a repeatable request to last twice its target")
{
    const auto context = request(ServiceKind::Plain, RepeatSafety::Repeatable, seconds(8));
    CHECK(begins(context, {}, std::nullopt, milliseconds(1900)));
    CHECK_FALSE(begins(context, {}, std::nullopt, milliseconds(4600)));
}

// Guards against streams that are begun late in a stop as earlier ones were shorter, and are cut.
TEST_CASE("A process that drains begins late only what its deadline or a repeat covers")
{
    const DurationForecast recent{milliseconds(100), milliseconds(200)};
    CHECK_FALSE(begins(stream(), {}, recent, milliseconds(2100)));
    const auto once = request(ServiceKind::Plain, RepeatSafety::Once, seconds(8));
    CHECK_FALSE(begins(once, {}, recent, milliseconds(2100)));
    const auto repeatable = request(ServiceKind::Plain, RepeatSafety::Repeatable, seconds(8));
    CHECK(begins(repeatable, {}, recent, milliseconds(2100)));
}
