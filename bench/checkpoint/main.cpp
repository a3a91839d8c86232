#include <gypsumdale/jobs/checkpoint_policy.hpp>
#include <gypsumdale/jobs/sse_parser.hpp>

#include <fmt/format.h>
#include <pcg_random.hpp>

#include <chrono> // steady_clock
#include <cmath> // log
#include <string> // string
#include <vector> // vector

// Compares recomputed tokens with checkpoint writes for each checkpoint policy. The jobs of one
// node run for some hours of model time; their owner process is lost at random times, and a share
// of the losses is announced in time for a hand-over. The policies are those of the daemon. A
// second table shows the processor time of reading an engine's events.

namespace gypsumdale {
namespace {

constexpr double stepSeconds = 0.1;
constexpr double simulatedHours = 200;
constexpr double secondsPerHour = 3600;
constexpr double bytesPerToken = 5;
constexpr int seedCount = 5;

struct User
{
    std::string m_name;
    int m_jobs = 0;
    std::int64_t m_answerTokens = 0;
    double m_tokensPerSecond = 0;
    /// Cost of one recomputed token, where one checkpoint write costs 20.
    double m_tokenCost = 0;
};

struct Tally
{
    double m_generated = 0;
    double m_recomputed = 0;
    double m_writes = 0;
    double m_bytes = 0;
    double m_losses = 0;
};

struct Run
{
    double m_done = 0;
    double m_saved = 0;
};

double uniform(pcg32 &random)
{
    return (static_cast<double>(random()) + 0.5) / 4294967296.0;
}

void restart(std::vector<Run> &runs, bool isAnnounced, bool fromScratch, Tally &tally)
{
    for (Run &run : runs) {
        // A hand-over transfers the answer up to the last token; only requests served without
        // durability start again.
        const double kept = fromScratch ? 0 : isAnnounced ? run.m_done : run.m_saved;
        tally.m_recomputed += run.m_done - kept;
        run.m_done = kept;
        run.m_saved = kept;
    }
}

void advance(const User &user, std::vector<Run> &runs, Tally &tally, bool isSaving)
{
    for (Run &run : runs) {
        run.m_done += user.m_tokensPerSecond * stepSeconds;
        tally.m_generated += user.m_tokensPerSecond * stepSeconds;
        if (run.m_done < static_cast<double>(user.m_answerTokens))
            continue;
        if (isSaving) {
            ++tally.m_writes;
            tally.m_bytes += (run.m_done - run.m_saved) * bytesPerToken;
        }
        run = Run{};
    }
}

Tally simulate(const User &user, const CheckpointPolicy *policy, double lossesPerHour,
               double announcedShare, std::uint64_t seed)
{
    pcg32 random(seed);
    Tally tally;
    std::vector<Run> runs(static_cast<std::size_t>(user.m_jobs));
    for (Run &run : runs)
        run.m_done = run.m_saved = uniform(random) * static_cast<double>(user.m_answerTokens);
    double sinceWrite = 0;
    double nextLoss = -std::log(uniform(random)) * secondsPerHour / lossesPerHour;
    for (double time = 0; time < simulatedHours * secondsPerHour; time += stepSeconds) {
        advance(user, runs, tally, policy != nullptr);
        sinceWrite += stepSeconds;
        if (time >= nextLoss) {
            nextLoss = time - std::log(uniform(random)) * secondsPerHour / lossesPerHour;
            ++tally.m_losses;
            restart(runs, uniform(random) < announcedShare, policy == nullptr, tally);
        }
        if (policy == nullptr)
            continue;
        double unsaved = 0;
        for (const Run &run : runs)
            unsaved += run.m_done - run.m_saved;
        const CheckpointLoad load{
                static_cast<std::int64_t>(unsaved), user.m_jobs,
                user.m_tokensPerSecond * user.m_jobs,
                std::chrono::duration_cast<Duration>(std::chrono::duration<double>(sinceWrite))};
        if (!isCheckpointDue(*policy, load))
            continue;
        sinceWrite = 0;
        ++tally.m_writes;
        tally.m_bytes += unsaved * bytesPerToken;
        for (Run &run : runs)
            run.m_saved = run.m_done;
    }
    return tally;
}

void printRow(const User &user, const std::string &name, const CheckpointPolicy *policy,
              double lossesPerHour, double announcedShare)
{
    Tally sum;
    double least = 1e9;
    double most = 0;
    for (int seed = 1; seed <= seedCount; ++seed) {
        const Tally one = simulate(user, policy, lossesPerHour, announcedShare,
                                   static_cast<std::uint64_t>(seed));
        const double share = one.m_recomputed / one.m_generated;
        least = std::min(least, share);
        most = std::max(most, share);
        sum.m_generated += one.m_generated;
        sum.m_recomputed += one.m_recomputed;
        sum.m_writes += one.m_writes;
        sum.m_bytes += one.m_bytes;
    }
    const double seconds = seedCount * simulatedHours * secondsPerHour;
    const double cost = (sum.m_writes * 20 + sum.m_recomputed * user.m_tokenCost) / seconds;
    fmt::print("| {} | {:.0f}% | {} | {:.3f} ({:.3f}-{:.3f}) | {:.3f} | {:.0f} | {:.2f} |\n",
               user.m_name, announcedShare * 100, name, 1000 * sum.m_recomputed / sum.m_generated,
               1000 * least, 1000 * most, sum.m_writes / seconds, sum.m_bytes / seconds, cost);
}

void checkpoints(double lossesPerHour)
{
    const std::vector<User> users{{"wholesale", 8, 600, 20, 1}, {"swap shops", 8, 4000, 20, 4}};
    fmt::print("{} losses of an owner per hour, {} seeds of {} h\n\n", lossesPerHour, seedCount,
               simulatedHours);
    fmt::print("| user | announced | policy | tokens done again per 1000 (range) | writes/s | "
               "bytes/s | cost/s |\n| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const User &user : users) {
        for (const double announced : {0.0, 0.9, 1.0}) {
            printRow(user, "restart from scratch", nullptr, lossesPerHour, announced);
            for (const char *name : {"at-end", "every-tokens", "every-interval", "cost-aware"}) {
                CheckpointSettings settings;
                settings.m_lossesPerHour = lossesPerHour * (1 - announced);
                settings.m_tokenCost = user.m_tokenCost;
                const auto policy = CheckpointPolicies::instance().make(name, settings);
                printRow(user, name, &*policy, lossesPerHour, announced);
            }
        }
    }
}

void timeEvents(const std::string &name, const std::string &content)
{
    constexpr int eventCount = 200'000;
    constexpr std::size_t pieceBytes = 4096;
    std::string body;
    for (int index = 0; index < eventCount; ++index)
        body += fmt::format("data: {{\"id\":\"n1.1f.2.00ff/1/7\",\"object\":\"chat.completion."
                            "chunk\",\"token_index\":{},\"choices\":[{{\"index\":0,\"delta\":{{"
                            "\"content\":\"{}\"}},\"finish_reason\":null}}]}}\n\n",
                            index, content);
    SseParser parser;
    EngineEventReader reader;
    AnswerAssembler assembler;
    assembler.beginAttempt("n1.1f.2.00ff/1/7");
    const auto addEvent = [&](std::string_view data) -> Result<Done> {
        const auto event = reader.read(data);
        if (!succeeded(event))
            return errorOf(event);
        assembler.addEvent(std::get<TokenEvent>(valueOf(event)));
        return Done{};
    };
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t at = 0; at < body.size(); at += pieceBytes) {
        if (!succeeded(parser.feed(std::string_view(body).substr(at, pieceBytes), addEvent)))
            fmt::print("malformed\n");
    }
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
    fmt::print("| {} | {} | {:.2f} | {:.0f} |\n", name, assembler.counters().m_taken,
               taken.count() * 1e6 / eventCount, eventCount / taken.count());
}

} // namespace
} // namespace gypsumdale

int main()
{
    gypsumdale::checkpoints(0.5);
    fmt::print(
            "\n| events | taken | us per event | events/s on one core |\n| --- | --- | --- | --- "
            "|\n");
    gypsumdale::timeEvents("plain ASCII", " zinc");
    gypsumdale::timeEvents("with escapes", "\\n\\\"M8\\\"");
    gypsumdale::timeEvents("beyond ASCII (full parser)", " Gr\xc3\xbc\xc3\x9f"
                                                         "e");
    return 0;
}
