#include "bench/policy/experiments.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio> // stderr
#include <map> // map
#include <string> // string

using namespace gypsumdale::bench;

int main(int argc, char **argv)
{
    cxxopts::Options options("bench-policy", "Experiments with queueing, routing and limits");
    options.add_options()("table",
                          "fairness, gap, classes, routing, overload, retries, slots, cost",
                          cxxopts::value<std::string>()->default_value("fairness"))(
            "seeds", "how many seeds, from 1 on",
            cxxopts::value<int>()->default_value("5"))("help", "print this");
    options.parse_positional({"table"});
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        fmt::print("{}\n", options.help());
        return 0;
    }
    const std::map<std::string, void (*)(int)> tables = {
            {"fairness", fairnessTable}, {"gap", gapTable},           {"classes", classesTable},
            {"routing", routingTable},   {"overload", overloadTable}, {"retries", retriesTable},
            {"slots", slotsTable},       {"cost", costTable},
    };
    const std::string name = parsed["table"].as<std::string>();
    const auto found = tables.find(name);
    if (found == tables.end()) {
        fmt::print(stderr, "no table named {}\n{}\n", name, options.help());
        return 2;
    }
    found->second(parsed["seeds"].as<int>());
    return 0;
}
