#include <gypsumdale/serving/order_book.hpp>

#include <catch2/catch.hpp>

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

const TimePoint start{1h};
constexpr Duration effectTime = 8s;

ScaleOrder order(int count)
{
    ScaleOrder order;
    order.m_service = ServiceId("llm");
    order.m_dataCentre = DataCentreId("a");
    order.m_count = count;
    return order;
}

OrderSituation present(int count)
{
    OrderSituation situation;
    situation.m_present = count;
    return situation;
}

} // namespace

TEST_CASE("an order is sent once, and again if it has no effect")
{
    OrderBook book;
    CHECK(book.mustSend(order(5), present(3), effectTime, start));
    book.recordSent(order(5), start);
    CHECK_FALSE(book.mustSend(order(5), present(3), effectTime, start + 8s));
    CHECK(book.mustSend(order(5), present(3), effectTime, start + 9s));
    CHECK_FALSE(book.mustSend(order(5), present(5), effectTime, start + 9s));
    CHECK(book.mustSend(order(6), present(5), effectTime, start + 1s));
}

// Guards against an order that takes away the upstreams of a version while it is rolled out.
TEST_CASE("a surplus is not taken away while a version is being rolled out")
{
    OrderBook book;
    book.recordSent(order(1), start);
    OrderSituation situation = present(2);
    CHECK(book.mustSend(order(1), situation, effectTime, start + 9s));
    situation.m_hasUndecidedVersion = true;
    CHECK_FALSE(book.mustSend(order(1), situation, effectTime, start + 9s));
    CHECK_FALSE(book.mustSend(order(0), situation, effectTime, start + 9s));
    situation.m_present = 0;
    CHECK(book.mustSend(order(1), situation, effectTime, start + 9s));
}

// Guards against an order that takes away all that serves after a roll-out.
TEST_CASE("what a roll-out has put in place of others stays until the others are back")
{
    OrderBook book;
    book.recordSent(order(1), start);
    OrderSituation situation = present(30);
    situation.m_wasReplaced = true;
    situation.m_isServiceShort = true;
    CHECK_FALSE(book.mustSend(order(1), situation, effectTime, start + 9s));
    situation.m_isServiceShort = false;
    CHECK(book.mustSend(order(1), situation, effectTime, start + 9s));
}
