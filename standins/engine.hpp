#pragma once

#include "standins/json_fields.hpp"
#include "standins/prefix_cache.hpp"

#include <gypsumdale/core/clock.hpp>

#include <cstdint> // int64_t, uint64_t
#include <deque> // deque
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <utility> // pair

namespace gypsumdale::standins {

/// How an engine behaves.
struct EngineSettings
{
    std::string m_model = "gypsum-llm";
    int m_slots = 16;
    double m_prefillTokensPerSecond = 8000;
    /// Time between two tokens of a sequence that runs alone.
    Duration m_tokenTime = std::chrono::milliseconds(20);
    /// Added to it by each further sequence in the batch.
    Duration m_tokenTimeGrowth = std::chrono::milliseconds(1);
    /// Age of what GET /load reports.
    Duration m_loadLag = std::chrono::milliseconds(200);
    std::size_t m_cacheBlocks = 4096;
    Duration m_cacheEventLag = std::chrono::milliseconds(500);
    /// Every so many'th cache event is never published; 0 publishes all.
    int m_cacheEventGap = 0;
    bool m_checksFences = true;
    std::int64_t m_incarnation = 1;
};

/// What a caller asked to have generated.
struct GenerationRequest
{
    std::string m_attempt;
    std::string m_prompt;
    int m_maxTokens = 512;
    std::optional<int> m_targetTokens;
    int m_priority = 0;
    std::string m_resumeText;
    int m_resumeTokens = 0;
    std::string m_kvSession;
    bool m_stream = false;
};

/// Reads the body of POST /v1/chat/completions. The prompt is the contents of the messages, joined
/// by line feeds. Returns nothing for a body without messages.
std::optional<GenerationRequest> readGenerationRequest(const Json &json);

/// One generated token. The finish reason is empty but for the last.
struct Token
{
    int m_index = 0;
    std::string m_text;
    std::string_view m_finishReason;
};

/// What one answer cost.
struct Usage
{
    int m_promptTokens = 0;
    int m_cachedTokens = 0;
    int m_completionTokens = 0;
};

/// What an engine has done since it started.
struct EngineCounters
{
    std::uint64_t m_started = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_generatedTokens = 0;
    /// Tokens read before the first one was generated, without those found in a cache.
    std::uint64_t m_prefilledTokens = 0;
    std::uint64_t m_cachedTokens = 0;
    /// Resumed answers whose text so far was not what this engine would have generated.
    std::uint64_t m_resumeMismatches = 0;
};

/// What GET /load reports, and when it was true.
struct LoadReport
{
    TimePoint m_at;
    int m_running = 0;
    int m_queued = 0;
    std::size_t m_cachedTokens = 0;
};

enum class OrderOutcome { Applied, OldFence };

using SequenceId = std::uint64_t;

/// A model engine's scheduler, caches and counters, without sockets or a clock of its own. The
/// caller submits a request, waits until it is admitted, prefills it, takes its tokens one by one
/// at the pace of tokenTime() and ends it.
class Engine
{
public:
    explicit Engine(EngineSettings settings);

    /// Queues a request by priority (0 first) and order of arrival, and admits what has a slot.
    SequenceId submit(GenerationRequest request, TimePoint now);

    /// Tells whether the sequence holds a slot of the batch. Logarithmic.
    bool isAdmitted(SequenceId id) const;

    /// Looks the prompt and the answer so far up in the caches, counts what has to be read and
    /// returns how long that takes. Linear in the prompt.
    Duration prefill(SequenceId id, TimePoint now);

    /// Returns the time to the next token at the present size of the batch. Constant.
    Duration tokenTime() const;

    /// Generates the next token, or nothing if the answer is complete.
    std::optional<Token> generate(SequenceId id);

    Usage usage(SequenceId id) const;

    /// Why an answer ends: "length" if the caller's limit cut it, else "stop".
    std::string_view finishReason(SequenceId id) const;

    /// Ends a sequence that is complete and admits the next. Its blocks stay cached.
    void finish(SequenceId id, TimePoint now);

    /// Ends a sequence that is waiting or running, as a closed connection does.
    void cancel(SequenceId id, TimePoint now);

    /// Returns the load as it was one lag ago.
    LoadReport load(TimePoint now);

    const EngineCounters &counters() const { return m_counters; }
    const EngineSettings &settings() const { return m_settings; }

    /// Returns the published cache events behind a number, oldest first, and the last number seen.
    Json cacheEvents(std::uint64_t after, TimePoint now) const;

    /// Exports the state of a session, named by its attempt; nothing if it is not known.
    std::optional<Json> exportSession(const std::string &session) const;

    /// Imports a session; a request that names it skips the prefill of what it covers. Returns
    /// false for a document that is no export.
    bool importSession(const std::string &session, const Json &document);

    /// Carries out an order unless its fence is older than one seen and this engine checks them.
    OrderOutcome order(std::int64_t fence, const Json &body);

    std::int64_t highestFence() const { return m_highestFence; }
    const Json &orders() const { return m_orders; }

private:
    struct Sequence
    {
        GenerationRequest m_request;
        std::uint64_t m_hash = 0;
        int m_length = 0;
        int m_next = 0;
        bool m_admitted = false;
        Usage m_usage;
    };
    struct Session
    {
        std::uint64_t m_hash = 0;
        int m_tokens = 0;
    };
    struct CacheEvent
    {
        std::uint64_t m_sequence = 0;
        TimePoint m_at;
        CacheChange m_change;
    };
    using QueueKey = std::pair<int, SequenceId>;

    void admit(TimePoint now);
    void release(SequenceId id, TimePoint now);
    void remember(const Sequence &sequence, TimePoint now);
    void noteLoad(TimePoint now);
    int tokensInSession(const Sequence &sequence) const;

    EngineSettings m_settings;
    PrefixCache m_cache;
    EngineCounters m_counters;
    std::map<SequenceId, Sequence> m_sequences;
    std::map<QueueKey, SequenceId> m_queue;
    std::map<std::string, Session> m_sessions;
    std::deque<std::string> m_sessionOrder;
    std::deque<CacheEvent> m_cacheEvents;
    std::uint64_t m_lastCacheEvent = 0;
    std::deque<LoadReport> m_reports;
    SequenceId m_lastSequence = 0;
    int m_running = 0;
    std::int64_t m_highestFence = 0;
    Json m_orders = Json::array();
};

} // namespace gypsumdale::standins
