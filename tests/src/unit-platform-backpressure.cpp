#include <platform/backpressure_codec.hpp>

#include <catch2/catch.hpp>

#include <string> // string
#include <utility> // pair
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;
using platform::decodeBackpressure;

namespace {

HttpHeaders headersOf(const std::vector<std::pair<std::string, std::string>> &fields)
{
    HttpHeaders headers;
    for (const auto &[name, value] : fields)
        headers.add(name, value);
    return headers;
}

BackpressureSignal limitOf(const std::string &value)
{
    return decodeBackpressure(200, headersOf({{"Server-Limit", value}}));
}

} // namespace

TEST_CASE("an answer without a limit names none")
{
    const BackpressureSignal signal = decodeBackpressure(200, headersOf({{"Content-Type", "a/b"}}));
    CHECK_FALSE(signal.m_rateLimit);
    CHECK(signal.m_invalidValues == 0);
}

TEST_CASE("a limit is a decimal number")
{
    CHECK(limitOf("1.4").m_rateLimit == 1.4);
    CHECK(limitOf("  12 ").m_rateLimit == 12.0);
    CHECK(limitOf("0").m_rateLimit == 0.0);
    CHECK(limitOf("1e3").m_rateLimit == 1000.0);
    CHECK(decodeBackpressure(200, headersOf({{"server-limit", "2"}})).m_rateLimit == 2.0);
}

// Guards against a value that can't be meant closing an upstream for good, or opening it.
TEST_CASE("a limit that can't be meant is told apart from none")
{
    for (const std::string value : {"", "-1", "nan", "inf", "1.4x", "one", "1,4", "1e999"}) {
        CAPTURE(value);
        CHECK_FALSE(limitOf(value).m_rateLimit);
        CHECK(limitOf(value).m_invalidValues == 1);
    }
}

TEST_CASE("of several limits the lowest counts")
{
    const BackpressureSignal signal = decodeBackpressure(
            200, headersOf({{"Server-Limit", "3"}, {"Server-Limit", "2"}, {"Server-Limit", "x"}}));
    CHECK(signal.m_rateLimit == 2.0);
    CHECK(signal.m_invalidValues == 1);
}

TEST_CASE("an answer says whether its upstream leaves")
{
    const auto isLeaving = [](const std::string &value) {
        return decodeBackpressure(200, headersOf({{"Server-Leaving", value}})).m_isLeaving;
    };
    CHECK(isLeaving("1"));
    CHECK_FALSE(isLeaving("0"));
    CHECK_FALSE(isLeaving("soon"));
    CHECK_FALSE(decodeBackpressure(200, {}).m_isLeaving);
    CHECK(decodeBackpressure(200, headersOf({{"Server-Leaving", "soon"}})).m_invalidValues == 1);
}

TEST_CASE("a rejection says for how long its upstream wants nothing")
{
    const auto restOf = [](int status, const std::string &value) {
        return decodeBackpressure(status, headersOf({{"Retry-After", value}})).m_rest;
    };
    CHECK(restOf(503, "3") == 3s);
    CHECK(restOf(503, "0.5") == 500ms);
    CHECK(restOf(503, "0") == 0s);
    CHECK(restOf(503, "1e12") == 10min);
    CHECK_FALSE(restOf(503, "-1"));
    CHECK_FALSE(restOf(503, "Fri, 04 Dec 2026 10:00:00 GMT"));
    CHECK_FALSE(restOf(429, "3"));
    CHECK_FALSE(restOf(200, "3"));
}

TEST_CASE("of several rests the longest counts")
{
    const HttpHeaders headers = headersOf({{"Retry-After", "1"}, {"Retry-After", "2"}});
    CHECK(decodeBackpressure(503, headers).m_rest == 2s);
}
