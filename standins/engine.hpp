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

/// Settings of an engine stand-in.
struct EngineSettings
{
    std::string m_model = "gypsum-llm";
    int m_slots = 16;
    double m_prefillTokensPerSecond = 8000;
    /// Time between two tokens of a sequence that is alone in the batch.
    Duration m_tokenTime = std::chrono::milliseconds(20);
    /// Added to the token time for each further sequence in the batch.
    Duration m_tokenTimeGrowth = std::chrono::milliseconds(1);
    /// Age of the state that GET /load reports.
    Duration m_loadLag = std::chrono::milliseconds(200);
    std::size_t m_cacheBlocks = 4096;
    Duration m_cacheEventLag = std::chrono::milliseconds(500);
    /// Every Nth cache event is never published; 0 publishes all events.
    int m_cacheEventGap = 0;
    bool m_checksFences = true;
    std::int64_t m_incarnation = 1;
};

/// Parameters of a completion request.
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

/// Parses the body of POST /v1/chat/completions. The prompt is the contents of the messages, joined
/// by line feeds. Returns nothing for a body without messages.
std::optional<GenerationRequest> readGenerationRequest(const Json &json);

/// One generated token. The finish reason is empty except in the last token.
struct Token
{
    int m_index = 0;
    std::string m_text;
    std::string_view m_finishReason;
};

/// Token counts of one answer.
struct Usage
{
    int m_promptTokens = 0;
    int m_cachedTokens = 0;
    int m_completionTokens = 0;
};

/// Counters of an engine since its start.
struct EngineCounters
{
    std::uint64_t m_started = 0;
    std::uint64_t m_finished = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_generatedTokens = 0;
    /// Prompt and resumed tokens that were prefilled, without those found in a cache.
    std::uint64_t m_prefilledTokens = 0;
    std::uint64_t m_cachedTokens = 0;
    /// Resumed answers whose earlier text differs from what this engine generates.
    std::uint64_t m_resumeMismatches = 0;
};

/// Content of GET /load and the time at which it was measured.
struct LoadReport
{
    TimePoint m_at;
    int m_running = 0;
    int m_queued = 0;
    std::size_t m_cachedTokens = 0;
};

enum class OrderOutcome { Applied, OldFence };

using SequenceId = std::uint64_t;

/// Scheduler, caches and counters of a model engine. Uses no sockets and no clock; callers pass the
/// time. The caller submits a request, waits until it is admitted, prefills it, generates its
/// tokens one by one at intervals of tokenTime() and finishes or cancels it.
class Engine
{
public:
    explicit Engine(EngineSettings settings);

    /// Queues a request by priority (0 first) and order of arrival, and admits queued requests to
    /// free slots.
    SequenceId submit(GenerationRequest request, TimePoint now);

    /// Returns whether the sequence holds a slot of the batch. Complexity: logarithmic.
    bool isAdmitted(SequenceId id) const;

    /// Looks up the prompt and the earlier text of the answer in the caches, counts the tokens that
    /// must be prefilled and returns the duration. Complexity: linear in the length of the prompt.
    Duration prefill(SequenceId id, TimePoint now);

    /// Returns the time to the next token at the current batch size. Complexity: constant.
    Duration tokenTime() const;

    /// Generates the next token; returns nothing if the answer is complete.
    std::optional<Token> generate(SequenceId id);

    Usage usage(SequenceId id) const;

    /// Returns why an answer ends: "length" if the caller's limit cut it off, else "stop".
    std::string_view finishReason(SequenceId id) const;

    /// Ends a complete sequence and admits the next one. The blocks of the sequence stay cached.
    void finish(SequenceId id, TimePoint now);

    /// Ends a waiting or running sequence, as when its caller closes the connection.
    void cancel(SequenceId id, TimePoint now);

    /// Returns the load of one load lag ago.
    LoadReport load(TimePoint now);

    const EngineCounters &counters() const { return m_counters; }
    const EngineSettings &settings() const { return m_settings; }

    /// Returns the published cache events after a sequence number, oldest first, and the sequence
    /// number of the last of them, or `after` if there are none.
    Json cacheEvents(std::uint64_t after, TimePoint now) const;

    /// Exports the state of a session, named by its attempt; returns nothing for an unknown
    /// session.
    std::optional<Json> exportSession(const std::string &session) const;

    /// Imports a session; a request that names the session skips the prefill of the tokens that it
    /// covers. Returns false if the document is not an export.
    bool importSession(const std::string &session, const Json &document);

    /// Applies an order, unless this engine checks fences and has seen a newer one.
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
    void storeBlocks(const Sequence &sequence, TimePoint now);
    void recordLoad(TimePoint now);
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
