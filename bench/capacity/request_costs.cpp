#include "bench/capacity/measure.hpp"

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/jobs/answer_assembler.hpp>
#include <gypsumdale/ledger/claim_ledger.hpp>
#include <gypsumdale/policy/admission.hpp>
#include <gypsumdale/wire/thrift_codec.hpp>

#include <fmt/format.h>
#include <jobs_types.h>

#include <map> // map

namespace gypsumdale::bench {

namespace {

const TimePoint start = TimePoint() + std::chrono::seconds(1000);

/// A platform that stores the segments of all shards and counts calls and bytes.
class CountingLog
{
public:
    LogAnswer perform(const ShardCommand &command)
    {
        ++m_calls;
        auto &segments = m_segments[command.m_shard];
        return std::visit(
                Overloaded{
                        [&](const ListSegments &) { return list(segments); },
                        [&](const ReadSegment &read) { return find(segments, read.m_number); },
                        [&](const CreateSegment &create) { return add(segments, create); },
                        [&](const DeleteSegment &remove) {
                            segments.erase(remove.m_number);
                            return LogAnswer(SegmentDeleted{});
                        },
                },
                command.m_command);
    }

    std::uint64_t m_calls = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_bytes = 0;

private:
    using Segments = std::map<SegmentNumber, std::string>;

    static LogAnswer list(const Segments &segments)
    {
        SegmentsListed listed;
        for (const auto &[number, body] : segments)
            listed.m_numbers.push_back(number);
        return listed;
    }

    static LogAnswer find(const Segments &segments, SegmentNumber number)
    {
        const auto found = segments.find(number);
        if (found == segments.end())
            return SegmentMissing{};
        return SegmentRead{found->second};
    }

    LogAnswer add(Segments &segments, const CreateSegment &create)
    {
        ++m_writes;
        m_bytes += create.m_body.size();
        if (!segments.emplace(create.m_number, create.m_body).second)
            return SegmentConflict{};
        return SegmentCreated{};
    }

    std::map<ShardNumber, Segments> m_segments;
};

/// Claims, runs and finishes keyed requests on one node, one at a time; their memory is retained.
class ClaimRun
{
public:
    ClaimRun()
        : m_ledger(ClaimLedgerBuilder(NodeId("olten-a-1"), "olten-a-1#1")
                           .writeInterval(Duration::zero())
                           .build())
    {}

    void run(int count)
    {
        for (int number = 0; number < count; ++number) {
            m_moment.m_now += std::chrono::milliseconds(1);
            ++m_moment.m_wall;
            const AttemptId attempt(fmt::format("olten-a-1#1-{}", ++m_last));
            const ClaimRequest request{MemberId("Schrauben-Kontor"),
                                       fmt::format("order-{}", m_last), digestOf("{\"screws\":40}"),
                                       attempt, m_moment.m_now + std::chrono::seconds(10)};
            m_ledger.begin(request, m_moment);
            settle();
            m_ledger.start(attempt, m_moment);
            m_ledger.finish(attempt, Outcome::Done, {201, "application/json", "{\"booked\":40}"},
                            m_moment);
            settle();
            m_ledger.takeEvents();
        }
    }

    std::size_t keys() const { return m_ledger.keyCount(); }
    const CountingLog &log() const { return m_log; }

private:
    void settle()
    {
        while (const auto command = m_ledger.next(m_moment))
            m_ledger.onAnswer(command->m_shard, m_log.perform(*command), m_moment);
    }

    ClaimLedger m_ledger;
    CountingLog m_log;
    Moment m_moment{start, 1000000};
    int m_last = 0;
};

AdmissionController makeController(int upstreams)
{
    RoutingPolicy policy = *RoutingRegistry::instance().make("prefix-affinity", RoutingSettings());
    AdmissionController controller = AdmissionController::Builder()
                                             .node(NodeId("olten-a-1"))
                                             .dataCentre(DataCentreId("olten-a"))
                                             .region(RegionId("ch-mittelland"))
                                             .routing(std::move(policy))
                                             .seed(1)
                                             .build();
    for (int number = 0; number < upstreams; ++number) {
        UpstreamReport report;
        report.m_upstream = UpstreamId(fmt::format("runner-olten-a-{:05}", number));
        report.m_incarnation = 1;
        report.m_dataCentre = DataCentreId("olten-a");
        report.m_region = RegionId("ch-mittelland");
        report.m_slots = 16;
        report.m_reportedAt = start;
        controller.updateUpstream(report, start);
    }
    return controller;
}

WaitingRequest makeRequest(int number, TimePoint now)
{
    WaitingRequest request;
    request.m_id = RequestId(fmt::format("request-{}", number));
    request.m_member = MemberId(fmt::format("member-{}", number % 5));
    request.m_profile = ProfileId("phone");
    request.m_arrivedAt = now;
    request.m_firstTokenDeadline = now + std::chrono::seconds(1);
    request.m_promptTokens = 800;
    request.m_expectedTokens = 320;
    request.m_prefixBlocks = prefixBlocks(std::string(3200, static_cast<char>('a' + number % 26)));
    return request;
}

} // namespace

void measureClaims()
{
    Series processor("processor, ns a claim with its outcome", "key held");
    Series memory("memory, bytes (the platform's copy included)", "key held");
    Series bytes("written, bytes a claim with its outcome", "key held");
    Series calls("calls to the platform a claim, alone", "key held");
    constexpr int sample = 500;
    for (const int held : {100, 1000, 10000}) {
        const std::int64_t before = heldBytes();
        ClaimRun run;
        run.run(held);
        memory.add(held, static_cast<double>(heldBytes() - before));
        const CountingLog earlier = run.log();
        const Stopwatch watch;
        run.run(sample);
        processor.add(held, watch.nanos() / sample);
        bytes.add(held, static_cast<double>(run.log().m_bytes - earlier.m_bytes) / sample);
        calls.add(held, static_cast<double>(run.log().m_calls - earlier.m_calls) / sample);
    }
    for (const Series *series : {&processor, &memory, &bytes, &calls})
        series->print();
}

void measureCheckpoints()
{
    Series processor("processor, ns to encode and decode a checkpoint", "token in it");
    Series bytes("bytes of a checkpoint", "token in it");
    constexpr int rounds = 5000;
    for (const int tokens : {10, 100, 1000}) {
        AnswerText text;
        for (int token = 0; token < tokens; ++token)
            text.append("Mutter ");
        wire::JobRecord record;
        std::size_t size = 0;
        const Stopwatch watch;
        for (int round = 0; round < rounds; ++round) {
            wire::JobProgress progress;
            progress.job = "0123456789abcdef0123456789abcdef";
            progress.epoch = 2;
            progress.text = text.text();
            progress.tokenLengths = text.encodedLengths();
            record.__set_progress(progress);
            const std::string frame = wire::encode(record);
            size = valueOf(wire::decode<wire::JobRecord>(frame)).progress.text.size();
            size += frame.size() - size;
        }
        processor.add(tokens, watch.nanos() / rounds);
        bytes.add(tokens, static_cast<double>(size));
    }
    processor.print();
    bytes.print();
}

void measureDecisions()
{
    Series processor("processor, ns a request from submit to end", "upstream");
    Series memory("memory, bytes", "upstream");
    constexpr int requests = 500;
    constexpr int concurrent = 50;
    for (const int upstreams : {11, 110, 1100}) {
        const std::int64_t before = heldBytes();
        AdmissionController controller = makeController(upstreams);
        memory.add(upstreams, static_cast<double>(heldBytes() - before));
        const Stopwatch watch;
        for (int number = 0; number < requests; ++number) {
            const TimePoint now = start + std::chrono::milliseconds(number);
            controller.submit(makeRequest(number, now), now);
            if (number < concurrent)
                continue;
            const RequestId done(fmt::format("request-{}", number - concurrent));
            controller.firstToken(done, now);
            controller.finishAttempt(done, AttemptEnd::Completed, now);
        }
        processor.add(upstreams, watch.nanos() / requests);
    }
    processor.print();
    memory.print();
}

void measureTokens()
{
    Series assembled("processor, ns to assemble an answer", "token");
    Series charged("processor, ns to charge an answer, token by token", "token");
    Series memory("memory, bytes of an answer", "token");
    for (const int tokens : {100, 1000, 10000}) {
        const std::int64_t before = heldBytes();
        AnswerAssembler assembler;
        assembler.beginAttempt("attempt");
        const Stopwatch watch;
        for (int token = 0; token < tokens; ++token)
            assembler.addEvent({"attempt", token, "Mutter ", ""});
        assembled.add(tokens, watch.nanos());
        memory.add(tokens, static_cast<double>(heldBytes() - before));

        AdmissionController controller = makeController(11);
        controller.submit(makeRequest(0, start), start);
        const Stopwatch chargeWatch;
        for (int token = 0; token < tokens; ++token)
            controller.tokens(RequestId("request-0"), 1, start);
        charged.add(tokens, chargeWatch.nanos());
    }
    for (const Series *series : {&assembled, &charged, &memory})
        series->print();
}

} // namespace gypsumdale::bench
