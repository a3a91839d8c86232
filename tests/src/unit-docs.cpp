#include <gypsumdale/core/error.hpp>
#include <gypsumdale/observe/metrics.hpp>

#include <catch2/catch.hpp>

#include <cstdlib> // getenv
#include <fstream> // ifstream
#include <iterator> // istreambuf_iterator
#include <regex> // regex, sregex_iterator
#include <set> // set
#include <string> // string, to_string

using namespace gypsumdale;

namespace {

std::string readPage(const std::string &name)
{
    const char *samples = std::getenv("GYPSUMDALE_SAMPLES");
    if (samples == nullptr)
        return {};
    std::ifstream file(std::string(samples) + "/../docs/" + name);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/// Returns the first capture groups of all matches.
std::set<std::string> matches(const std::string &text, const std::string &pattern)
{
    std::set<std::string> result;
    const std::regex expression(pattern);
    for (std::sregex_iterator match(text.begin(), text.end(), expression), end; match != end;
         ++match)
        result.insert((*match)[1].str());
    return result;
}

std::set<std::string> errorRows()
{
    constexpr int numbersEnd = 1000;
    std::set<std::string> rows;
    for (int number = 0; number < numbersEnd; ++number) {
        const std::string name(errorName(static_cast<ErrorId>(number)));
        if (name != "unknown")
            rows.insert("| " + std::to_string(number) + " | `" + name + "` |");
    }
    return rows;
}

} // namespace

TEST_CASE("the operators' page")
{
    // Guards against an error that was added without an entry in the operations page, and against
    // alerts on a metric that no longer exists.
    const std::string page = readPage("OPERATIONS.md");
    REQUIRE_FALSE(page.empty());

    SECTION("lists every error and no other")
    {
        CHECK(matches(page, "(\\| [0-9]+ \\| `[a-z-]+` \\|)") == errorRows());
    }

    SECTION("names only metrics that exist")
    {
        Metrics metrics;
        for (std::size_t gauge = 0; gauge < gaugeCount; ++gauge)
            metrics.set(static_cast<Gauge>(gauge), 1);
        const auto known = matches(metrics.expose(), "# TYPE (gypsumdale_[a-z_]+) ");
        const auto named = matches(page, "`(gypsumdale_[a-z_]+)`");
        CHECK(named.size() > 10);
        for (const std::string &name : named) {
            CAPTURE(name);
            CHECK(known.contains(name));
        }
    }
}
