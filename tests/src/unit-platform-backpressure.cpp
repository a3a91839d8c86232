#include <platform/backpressure_codec.hpp>

#include <catch2/catch.hpp>

#include <string> // string
#include <utility> // pair
#include <vector> // vector

using namespace gypsumdale;
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
    return decodeBackpressure(headersOf({{"Server-Limit", value}}));
}

} // namespace

TEST_CASE("an answer without a limit names none")
{
    const BackpressureSignal signal = decodeBackpressure(headersOf({{"Content-Type", "a/b"}}));
    CHECK_FALSE(signal.m_rateLimit);
    CHECK(signal.m_invalidValues == 0);
}

TEST_CASE("a limit is a decimal number")
{
    CHECK(limitOf("1.4").m_rateLimit == 1.4);
    CHECK(limitOf("  12 ").m_rateLimit == 12.0);
    CHECK(limitOf("0").m_rateLimit == 0.0);
    CHECK(limitOf("1e3").m_rateLimit == 1000.0);
    CHECK(decodeBackpressure(headersOf({{"server-limit", "2"}})).m_rateLimit == 2.0);
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
            headersOf({{"Server-Limit", "3"}, {"Server-Limit", "2"}, {"Server-Limit", "x"}}));
    CHECK(signal.m_rateLimit == 2.0);
    CHECK(signal.m_invalidValues == 1);
}

TEST_CASE("an answer says whether its upstream leaves")
{
    const auto isLeaving = [](const std::string &value) {
        return decodeBackpressure(headersOf({{"Server-Leaving", value}})).m_isLeaving;
    };
    CHECK(isLeaving("1"));
    CHECK_FALSE(isLeaving("0"));
    CHECK_FALSE(isLeaving("soon"));
    CHECK_FALSE(decodeBackpressure({}).m_isLeaving);
    CHECK(decodeBackpressure(headersOf({{"Server-Leaving", "soon"}})).m_invalidValues == 1);
}
