#include "standins/engine.hpp"

#include "standins/answer.hpp"

#include <fmt/format.h>

#include <algorithm> // max, min
#include <iterator> // next

namespace gypsumdale::standins {

namespace {

constexpr std::size_t maxSessions = 1024;
constexpr std::size_t maxCacheEvents = 65536;
constexpr std::size_t maxOrders = 1024;

std::string joinMessages(const Json &messages)
{
    std::string prompt;
    for (const Json &message : messages) {
        if (!message.is_object())
            continue;
        if (!prompt.empty())
            prompt += '\n';
        prompt += textField(message, "content");
    }
    return prompt;
}

bool continuesAnswer(std::uint64_t hash, const GenerationRequest &request)
{
    std::string expected;
    for (int index = 0; index < request.m_resumeTokens; ++index)
        expected += answerToken(hash, index);
    return expected == request.m_resumeText;
}

} // namespace

std::optional<GenerationRequest> readGenerationRequest(const Json &json)
{
    if (!json.is_object() || !json.contains("messages") || !json["messages"].is_array())
        return std::nullopt;
    GenerationRequest request;
    request.m_prompt = joinMessages(json["messages"]);
    request.m_maxTokens = integerField(json, "max_tokens").value_or(request.m_maxTokens);
    request.m_targetTokens = integerField(json, "target_tokens");
    request.m_priority = integerField(json, "priority").value_or(0);
    request.m_resumeText = textField(json, "resume_text");
    request.m_resumeTokens = std::max(0, integerField(json, "resume_tokens").value_or(0));
    request.m_kvSession = textField(json, "kv_session");
    request.m_stream = flagField(json, "stream", false);
    return request;
}

Engine::Engine(EngineSettings settings)
    : m_settings(std::move(settings))
    , m_cache(m_settings.m_cacheBlocks)
{}

SequenceId Engine::submit(GenerationRequest request, TimePoint now)
{
    const SequenceId id = ++m_lastSequence;
    Sequence sequence;
    sequence.m_hash = promptHash(request.m_prompt);
    sequence.m_length = answerLength(sequence.m_hash, request.m_maxTokens, request.m_targetTokens);
    sequence.m_next = request.m_resumeTokens;
    if (!continuesAnswer(sequence.m_hash, request))
        ++m_counters.m_resumeMismatches;
    m_queue[{request.m_priority, id}] = id;
    sequence.m_request = std::move(request);
    m_sequences.emplace(id, std::move(sequence));
    ++m_counters.m_started;
    admit(now);
    return id;
}

bool Engine::isAdmitted(SequenceId id) const
{
    const auto found = m_sequences.find(id);
    return found != m_sequences.end() && found->second.m_admitted;
}

Duration Engine::prefill(SequenceId id, TimePoint now)
{
    Sequence &sequence = m_sequences.at(id);
    const std::string context = sequence.m_request.m_prompt + sequence.m_request.m_resumeText;
    const auto words = splitWords(context);
    const auto blocks = blockHashes(words);
    const int total = static_cast<int>(words.size());
    const int inCache = static_cast<int>(m_cache.match(blocks)) * blockWords;
    const int held = std::min(total, std::max(inCache, tokensInSession(sequence)));
    sequence.m_usage.m_promptTokens = total;
    sequence.m_usage.m_cachedTokens = held;
    m_counters.m_prefilledTokens += static_cast<std::uint64_t>(total - held);
    m_counters.m_cachedTokens += static_cast<std::uint64_t>(held);
    storeBlocks(sequence, now);
    return fromMillis(1000.0 * (total - held) / m_settings.m_prefillTokensPerSecond);
}

Duration Engine::tokenTime() const
{
    return m_settings.m_tokenTime + std::max(0, m_running - 1) * m_settings.m_tokenTimeGrowth;
}

std::optional<Token> Engine::generate(SequenceId id)
{
    Sequence &sequence = m_sequences.at(id);
    if (sequence.m_next >= sequence.m_length)
        return std::nullopt;
    Token token;
    token.m_index = sequence.m_next++;
    token.m_text = answerToken(sequence.m_hash, token.m_index);
    if (sequence.m_next == sequence.m_length)
        token.m_finishReason = finishReason(id);
    ++sequence.m_usage.m_completionTokens;
    ++m_counters.m_generatedTokens;
    return token;
}

Usage Engine::usage(SequenceId id) const
{
    return m_sequences.at(id).m_usage;
}

std::string_view Engine::finishReason(SequenceId id) const
{
    const Sequence &sequence = m_sequences.at(id);
    const int wanted = sequence.m_request.m_targetTokens.value_or(naturalLength(sequence.m_hash));
    return sequence.m_length < wanted ? "length" : "stop";
}

void Engine::finish(SequenceId id, TimePoint now)
{
    ++m_counters.m_finished;
    release(id, now);
}

void Engine::cancel(SequenceId id, TimePoint now)
{
    ++m_counters.m_cancelled;
    release(id, now);
}

LoadReport Engine::load(TimePoint now)
{
    const TimePoint seen = now - m_settings.m_loadLag;
    while (m_reports.size() > 1 && std::next(m_reports.begin())->m_at <= seen)
        m_reports.pop_front();
    LoadReport report;
    if (!m_reports.empty() && m_reports.front().m_at <= seen)
        report = m_reports.front();
    report.m_at = seen;
    return report;
}

Json Engine::cacheEvents(std::uint64_t after, TimePoint now) const
{
    Json events = Json::array();
    std::uint64_t last = after;
    for (const CacheEvent &event : m_cacheEvents) {
        if (event.m_sequence <= after)
            continue;
        if (event.m_at + m_settings.m_cacheEventLag > now)
            break;
        last = event.m_sequence;
        events.push_back({{"sequence", event.m_sequence},
                          {"kind", event.m_change.m_stored ? "stored" : "evicted"},
                          {"block", fmt::format("{:016x}", event.m_change.m_block)},
                          {"tokens", blockWords}});
    }
    return {{"last", last}, {"events", std::move(events)}};
}

std::optional<Json> Engine::exportSession(const std::string &session) const
{
    for (const auto &[id, sequence] : m_sequences) {
        if (sequence.m_request.m_attempt == session && sequence.m_admitted)
            return Json{{"prompt_hash", sequence.m_hash}, {"tokens", sequence.m_next}};
    }
    const auto found = m_sessions.find(session);
    if (found == m_sessions.end())
        return std::nullopt;
    return Json{{"prompt_hash", found->second.m_hash}, {"tokens", found->second.m_tokens}};
}

bool Engine::importSession(const std::string &session, const Json &document)
{
    const auto hash = document.find("prompt_hash");
    const auto tokens = integerField(document, "tokens");
    if (hash == document.end() || !hash->is_number_unsigned() || !tokens)
        return false;
    if (m_sessions.insert_or_assign(session, Session{hash->get<std::uint64_t>(), *tokens}).second)
        m_sessionOrder.push_back(session);
    if (m_sessionOrder.size() > maxSessions) {
        m_sessions.erase(m_sessionOrder.front());
        m_sessionOrder.pop_front();
    }
    return true;
}

OrderOutcome Engine::order(std::int64_t fence, const Json &body)
{
    if (m_settings.m_checksFences && fence < m_highestFence)
        return OrderOutcome::OldFence;
    m_highestFence = std::max(m_highestFence, fence);
    m_settings.m_model = textField(body, "model", m_settings.m_model);
    m_orders.push_back({{"fence", fence}, {"order", body}});
    if (m_orders.size() > maxOrders)
        m_orders.erase(m_orders.begin());
    return OrderOutcome::Applied;
}

void Engine::admit(TimePoint now)
{
    while (m_running < m_settings.m_slots && !m_queue.empty()) {
        const auto first = m_queue.begin();
        m_sequences.at(first->second).m_admitted = true;
        m_queue.erase(first);
        ++m_running;
    }
    recordLoad(now);
}

void Engine::release(SequenceId id, TimePoint now)
{
    const auto found = m_sequences.find(id);
    if (found == m_sequences.end())
        return;
    const Sequence &sequence = found->second;
    if (sequence.m_admitted) {
        storeBlocks(sequence, now);
        importSession(sequence.m_request.m_attempt,
                      {{"prompt_hash", sequence.m_hash}, {"tokens", sequence.m_next}});
        --m_running;
    } else {
        m_queue.erase({sequence.m_request.m_priority, id});
    }
    m_sequences.erase(found);
    admit(now);
}

void Engine::storeBlocks(const Sequence &sequence, TimePoint now)
{
    std::string context = sequence.m_request.m_prompt;
    for (int index = 0; index < sequence.m_next; ++index)
        context += answerToken(sequence.m_hash, index);
    for (const CacheChange &change : m_cache.store(blockHashes(splitWords(context)))) {
        ++m_lastCacheEvent;
        const auto gap = static_cast<std::uint64_t>(m_settings.m_cacheEventGap);
        if (gap > 0 && m_lastCacheEvent % gap == 0)
            continue;
        m_cacheEvents.push_back({m_lastCacheEvent, now, change});
    }
    while (m_cacheEvents.size() > maxCacheEvents)
        m_cacheEvents.pop_front();
}

void Engine::recordLoad(TimePoint now)
{
    LoadReport report;
    report.m_at = now;
    report.m_running = m_running;
    report.m_queued = static_cast<int>(m_queue.size());
    report.m_cachedTokens = m_cache.size() * blockWords;
    m_reports.push_back(report);
    // load() may never be called, so the history is also trimmed here to keep it bounded.
    while (m_reports.size() > 1 && std::next(m_reports.begin())->m_at <= now - m_settings.m_loadLag)
        m_reports.pop_front();
}

int Engine::tokensInSession(const Sequence &sequence) const
{
    const auto found = m_sessions.find(sequence.m_request.m_kvSession);
    if (found == m_sessions.end() || found->second.m_hash != sequence.m_hash)
        return 0;
    const int promptTokens = static_cast<int>(splitWords(sequence.m_request.m_prompt).size());
    return promptTokens + std::min(found->second.m_tokens, sequence.m_request.m_resumeTokens);
}

} // namespace gypsumdale::standins
