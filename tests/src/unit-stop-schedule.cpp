#include <gypsumdale/serving/stop_schedule.hpp>

#include <catch2/catch.hpp>

#include <chrono> // milliseconds, seconds
#include <optional> // nullopt

using namespace gypsumdale;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint signalAt{seconds(100)};
/// Requests are cancelled 7.3 s after the signal.
constexpr Duration grace = seconds(8);

TimePoint after(milliseconds time)
{
    return signalAt + time;
}

ExpectedEnd unbounded(Duration likely, Duration longest)
{
    return {signalAt + seconds(60), DurationForecast{likely, longest}};
}

ExpectedEnd unknown()
{
    return {signalAt + seconds(60), std::nullopt};
}

} // namespace

TEST_CASE("a stop leaves time to answer and to end within the grace time")
{
    const StopSchedule stop = scheduleStop(signalAt, grace);
    CHECK(stop.m_acceptUntil == after(milliseconds(2600)));
    CHECK(stop.m_cancelAt == after(milliseconds(7300)));
    const StopSchedule brief = scheduleStop(signalAt, seconds(2));
    CHECK(brief.m_acceptUntil == after(milliseconds(650)));
    CHECK(brief.m_cancelAt == after(milliseconds(1300)));
}

// Guards against requests that are begun by a process that stops and cut at its end.
TEST_CASE("a process that stops begins what is expected to end before it")
{
    const StopSchedule stop = scheduleStop(signalAt, grace);
    SECTION("if it is likely while connections are accepted")
    {
        CHECK(mayBegin(stop, unbounded(seconds(4), seconds(9)), after(milliseconds(0))));
        CHECK(mayBegin(stop, unbounded(seconds(4), seconds(9)), after(milliseconds(2500))));
        CHECK_FALSE(mayBegin(stop, unbounded(seconds(5), seconds(9)), after(milliseconds(2500))));
    }
    SECTION("with time to spare once they aren't")
    {
        CHECK_FALSE(mayBegin(stop, unbounded(seconds(1), seconds(4)), after(milliseconds(2600))));
        CHECK(mayBegin(stop, unbounded(seconds(1), seconds(3)), after(milliseconds(2700))));
        CHECK_FALSE(mayBegin(stop, unbounded(seconds(1), seconds(3)), after(milliseconds(2900))));
    }
    SECTION("of unknown duration only while connections are accepted")
    {
        CHECK(mayBegin(stop, unknown(), after(milliseconds(2500))));
        CHECK_FALSE(mayBegin(stop, unknown(), after(milliseconds(2600))));
    }
    SECTION("always if the deadline is sooner")
    {
        const ExpectedEnd bounded{after(milliseconds(7300)),
                                  DurationForecast{seconds(9), seconds(9)}};
        CHECK(mayBegin(stop, bounded, after(milliseconds(6000))));
    }
    SECTION("and nothing once requests are cancelled")
    {
        CHECK_FALSE(mayBegin(stop, unbounded({}, {}), after(milliseconds(7400))));
    }
}

// Guards against streams that are begun late as earlier ones were shorter, and are cut.
TEST_CASE("late in a stop only its deadline bounds a request whose cut loses its answer")
{
    const StopSchedule stop = scheduleStop(signalAt, grace);
    ExpectedEnd end = unbounded(milliseconds(100), milliseconds(200));
    end.m_cutLoss = CutLoss::Answer;
    SECTION("not the length of others")
    {
        const BeginDecision decision = decideBegin(stop, end, after(milliseconds(2600)));
        CHECK_FALSE(decision.m_mayBegin);
        CHECK(decision.m_basis == BeginBasis::Deadline);
        CHECK(decision.m_needed == milliseconds(57400));
    }
    SECTION("which lets it begin if it is sooner than the end")
    {
        end.m_deadline = after(milliseconds(7300));
        CHECK(mayBegin(stop, end, after(milliseconds(7000))));
    }
    SECTION("while connections are accepted it is begun by its forecast")
    {
        CHECK(mayBegin(stop, end, after(milliseconds(2500))));
        end.m_forecast = DurationForecast{seconds(5), seconds(5)};
        const BeginDecision decision = decideBegin(stop, end, after(milliseconds(2500)));
        CHECK_FALSE(decision.m_mayBegin);
        CHECK(decision.m_basis == BeginBasis::Forecast);
        CHECK(decision.m_needed == seconds(5));
    }
}
