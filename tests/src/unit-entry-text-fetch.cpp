#include <gypsumdale/entry/text_fetch.hpp>

#include <catch2/catch.hpp>

#include <set> // set
#include <string> // string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 7;

/// A fetch on a paused clock.
struct Fetch
{
    Fetch() { m_clock.pause(); }

    TimePoint now() const { return m_clock.now(); }
    std::optional<std::string> begin() { return m_fetch.begin(m_need, m_sources, now()); }
    /// Returns the time, in steps of 10 ms, until a peer is asked; a minute if none is.
    Duration untilBegin()
    {
        for (Duration waited{}; waited < 1min; waited += 10ms) {
            if (begin())
                return waited;
            m_clock.advance(10ms);
        }
        return 1min;
    }

    Clock m_clock;
    TextFetch m_fetch{seed};
    TextFetchState m_need;
    std::vector<TextSource> m_sources{{"a", 5}, {"b", 5}, {"c", 4}};
};

} // namespace

TEST_CASE("who may ask a peer for a text")
{
    Fetch fetch;
    SECTION("not a VM that has just started, whose store has not failed it")
    {
        CHECK_FALSE(fetch.begin());
        fetch.m_clock.advance(10s);
        CHECK_FALSE(fetch.begin());
    }
    SECTION("a VM that the store doesn't answer")
    {
        fetch.m_need.m_isStoreLost = true;
        CHECK(fetch.begin());
    }
    SECTION("not one that holds what its peers hold")
    {
        fetch.m_need = {5, true, {}};
        CHECK_FALSE(fetch.begin());
    }
    SECTION("one that is behind, after the store has had its time")
    {
        fetch.m_need = {4, false, 300ms};
        CHECK(fetch.untilBegin() == 300ms);
    }
    SECTION("the store's time begins anew with each version that is adopted")
    {
        fetch.m_need = {3, false, 300ms};
        CHECK_FALSE(fetch.begin());
        fetch.m_clock.advance(290ms);
        fetch.m_need.m_ownVersion = 4;
        CHECK(fetch.untilBegin() == 300ms);
    }
}

TEST_CASE("one peer is asked at a time")
{
    Fetch fetch;
    fetch.m_need.m_isStoreLost = true;
    REQUIRE(fetch.begin());
    CHECK(fetch.m_fetch.isUnderWay());
    fetch.m_clock.advance(10s);
    CHECK_FALSE(fetch.begin());
    fetch.m_fetch.onFetched();
    CHECK_FALSE(fetch.m_fetch.isUnderWay());
}

TEST_CASE("only peers that are ahead are asked")
{
    Fetch fetch;
    fetch.m_need = {4, true, {}};
    for (int asked = 0; asked < 50; ++asked) {
        const auto source = fetch.begin();
        REQUIRE(source);
        CHECK(*source != "c");
        fetch.m_fetch.onFetched();
    }
}

TEST_CASE("after a failure another peer is asked")
{
    Fetch fetch;
    fetch.m_need.m_isStoreLost = true;
    std::string last;
    std::set<std::string> all;
    for (int asked = 0; asked < 50; ++asked) {
        const auto source = fetch.begin();
        REQUIRE(source);
        CHECK(*source != last);
        last = *source;
        all.insert(last);
        fetch.m_fetch.onFailed(fetch.now());
        fetch.m_clock.advance(2s);
    }
    CHECK(all.size() == 3);
    SECTION("the same one if there is no other")
    {
        fetch.m_sources = {{last, 5}};
        CHECK(fetch.begin() == last);
    }
}

TEST_CASE("pauses after failures")
{
    Fetch fetch;
    fetch.m_need.m_isStoreLost = true;
    REQUIRE(fetch.begin());
    Duration whole = TextFetch::initialBackoff;
    for (int failure = 0; failure < 8; ++failure) {
        fetch.m_fetch.onFailed(fetch.now());
        const Duration paused = fetch.untilBegin();
        CHECK(paused >= whole / 2);
        CHECK(paused <= whole * 3 / 2 + 10ms);
        whole = std::min(whole * 2, TextFetch::maxBackoff);
    }
    SECTION("begin small again after a text that came")
    {
        fetch.m_fetch.onFetched();
        REQUIRE(fetch.begin());
        fetch.m_fetch.onFailed(fetch.now());
        CHECK(fetch.untilBegin() <= TextFetch::initialBackoff * 3 / 2 + 10ms);
    }
}

TEST_CASE("a VM sends only a few texts at a time")
{
    TextSendLimiter serving;
    for (int begun = 0; begun < TextSendLimiter::maxConcurrentSends; ++begun)
        CHECK(serving.tryBegin());
    CHECK_FALSE(serving.tryBegin());
    serving.end();
    CHECK(serving.tryBegin());
    CHECK_FALSE(serving.tryBegin());
}
