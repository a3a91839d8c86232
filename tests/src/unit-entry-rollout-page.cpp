#include <entry/rollout_page.hpp>

#include <gypsumdale/runtime/http_target.hpp>

#include <catch2/catch.hpp>

#include <string> // string
#include <utility> // pair
#include <vector> // vector

using namespace gypsumdale;

namespace {

/// Orders a pause with the target's last segment, of a roll-out of the name. Returns the status,
/// and the names that were passed on.
std::pair<int, std::vector<std::string>> pause(const std::string &segment, const std::string &name)
{
    std::vector<std::string> ordered;
    RolloutView view;
    view.m_rollout = name;
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/-/rollouts/pause/" + segment;
    const auto order = [&ordered](const RolloutOrder &taken) {
        ordered.push_back(taken.m_rollout);
    };
    const HttpReply reply = answerRolloutPage(request, true, {{view}, order});
    return {reply.m_status, ordered};
}

} // namespace

// Guards against a roll-out that no operator can stop, as its name is encoded on the way.
TEST_CASE("a roll-out of any name can be paused")
{
    for (const std::string name : {"llm", "a b", "a/b", "a?b", "a#b", "a%41", "a+b", "\xc3\xa9"}) {
        INFO(name);
        const auto [status, ordered] = pause(percentEncoded(name), name);
        CHECK(status == 200);
        CHECK(ordered == std::vector{name});
    }
}

TEST_CASE("a malformed name of a roll-out is refused")
{
    for (const char *segment : {"a%4", "a%zz", "%"}) {
        const auto [status, ordered] = pause(segment, segment);
        CHECK(status == 404);
        CHECK(ordered.empty());
    }
}
