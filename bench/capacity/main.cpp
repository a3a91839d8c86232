#include "bench/capacity/measure.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <string> // string
#include <utility> // pair
#include <vector> // vector

int main(int argc, char **argv)
{
    using namespace gypsumdale::bench;
    cxxopts::Options options("bench-capacity", "Costs by size, with a line fitted through each");
    options.add_options()("only", "one of the parts",
                          cxxopts::value<std::string>()->default_value(""))("help", "print this");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        fmt::print("{}\n", options.help());
        return 0;
    }
    const std::vector<std::pair<std::string, void (*)()>> parts = {
            {"decisions", measureDecisions},
            {"tokens", measureTokens},
            {"claims", measureClaims},
            {"checkpoints", measureCheckpoints},
            {"configuration", measureConfiguration},
            {"members", measureMembers},
            {"peers", measurePeers},
            {"runners", measureRunners},
    };
    const std::string only = parsed["only"].as<std::string>();
    fmt::print("| cost | line of least squares | largest residual | points |\n"
               "| --- | --- | --- | --- |\n");
    for (const auto &[name, measure] : parts) {
        if (!only.empty() && only != name)
            continue;
        fmt::print("| **{}** | | | |\n", name);
        measure();
    }
    return 0;
}
