#include <gypsumdale/serving/reported_evidence.hpp>

#include <catch2/catch.hpp>

#include <string> // to_string

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};

/// Returns what a process has counted once it has given this many answers.
CanaryEvidence answers(int count)
{
    CanaryEvidence evidence;
    for (int number = 0; number < count; ++number)
        evidence[{"draft", {}}].add(false, 100ms);
    return evidence;
}

} // namespace

TEST_CASE("a process's evidence counts once, whatever it reports again")
{
    ReportedEvidence reported;
    CHECK(answersIn(reported.add("a", 1, answers(5), start)) == 5);
    CHECK(answersIn(reported.add("a", 1, answers(5), start + 400ms)) == 0);
    CHECK(answersIn(reported.add("a", 1, answers(8), start + 800ms)) == 3);
    CHECK(answersIn(reported.add("a", 2, answers(2), start + 900ms)) == 2);
}

// Guards against a share that is planned by a rate many times too low: answers that a VM counted
// before its first report are of an unknown time, and VMs that have not reported twice are missing.
TEST_CASE("the rate is that of all VMs, each over the time in which it reported")
{
    ReportedEvidence reported;
    for (int vm = 0; vm < 10; ++vm)
        reported.add(std::to_string(vm), 1, answers(50), start + vm * 40ms);
    CHECK(reported.rate(start + 400ms) == 0);
    for (int vm = 0; vm < 6; ++vm)
        reported.add(std::to_string(vm), 1, answers(54), start + vm * 40ms + 400ms);
    CHECK(reported.rate(start + 650ms) == Approx(100));
}

// Guards against a rate that counts VMs which have been killed or cut off.
TEST_CASE("a process that is silent for two seconds no longer counts")
{
    ReportedEvidence reported;
    for (const char *vm : {"a", "b"}) {
        reported.add(vm, 1, answers(0), start);
        reported.add(vm, 1, answers(10), start + 1s);
    }
    CHECK(reported.rate(start + 1s) == Approx(20));
    reported.add("a", 1, answers(30), start + 3100ms);
    CHECK(reported.rate(start + 3100ms) == Approx(30 / 3.1));
}
