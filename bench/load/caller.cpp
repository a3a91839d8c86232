#include "bench/load/caller.hpp"

#include "bench/load/stream_check.hpp"
#include "standins/answer.hpp"

#include <nlohmann/json.hpp>

#include <fmt/format.h>

#include <optional> // optional
#include <utility> // move

namespace gypsumdale::load {

namespace {

constexpr int okStatus = 200;
constexpr int firstErrorStatus = 400;

/// Reads the rest of an answer; returns nothing if the answer was cut off.
std::optional<std::string> readRest(HttpExchange &exchange)
{
    std::string body;
    for (;;) {
        auto piece = exchange.read();
        auto *text = std::get_if<std::optional<std::string>>(&piece);
        if (text == nullptr)
            return std::nullopt;
        if (!*text)
            return body;
        body += **text;
    }
}

std::string errorIn(int status, const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    static const nlohmann::json::json_pointer name("/error/name");
    if (json.is_object() && json.contains(name) && json[name].is_string())
        return json[name].get<std::string>();
    return fmt::format("status-{}", status);
}

} // namespace

Caller::Caller(const CallerSettings &settings, FiberLoop &loop, const Clock &clock)
    : m_settings(settings)
    , m_client(loop)
    , m_clock(clock)
{}

Outcome Caller::call(const Arrival &arrival, TimePoint start)
{
    const RequestClass &requestClass = m_settings.m_classes[arrival.m_class];
    const TimePoint scheduled = start + arrival.m_at;
    Outcome outcome;
    outcome.m_member = m_settings.m_members[arrival.m_member].m_member;
    outcome.m_class = requestClass.m_name;
    auto opened = m_client.open(prepare(arrival));
    if (const auto *failure = std::get_if<CallFailure>(&opened)) {
        outcome.m_error = errorName(failure->m_error.m_id);
        return outcome;
    }
    auto &exchange = std::get<HttpExchange>(opened);
    if (requestClass.m_path.empty() && exchange.status() == okStatus)
        readStream(exchange, arrival, scheduled, outcome);
    else
        readCompleteAnswer(exchange, outcome);
    outcome.m_total = m_clock.now() - scheduled;
    return outcome;
}

HttpCall Caller::prepare(const Arrival &arrival) const
{
    const RequestClass &requestClass = m_settings.m_classes[arrival.m_class];
    HttpCall call;
    call.m_endpoint = m_settings.m_targets[arrival.m_number % m_settings.m_targets.size()];
    call.m_method = "POST";
    call.m_headerTimeout = m_settings.m_timeout;
    call.m_silenceTimeout = m_settings.m_timeout;
    const std::string &key = m_settings.m_members[arrival.m_member].m_key;
    call.m_headers.add("Authorization", "Bearer " + key);
    call.m_headers.add("X-Profile", requestClass.m_profile);
    call.m_headers.add("Content-Type", "application/json");
    const std::string unique = fmt::format("{}-{}", m_settings.m_run, arrival.m_number);
    if (requestClass.m_keyed)
        call.m_headers.add("Idempotency-Key", unique);
    if (!requestClass.m_path.empty()) {
        call.m_target = fmt::format("/services/{}{}", requestClass.m_service, requestClass.m_path);
        call.m_headers.add("X-Business-Key", unique);
        call.m_body = nlohmann::json{{"key", unique}}.dump();
        return call;
    }
    call.m_target = "/v1/chat/completions";
    const nlohmann::json message = {{"role", "user"}, {"content", arrival.m_prompt}};
    call.m_body = nlohmann::json{{"model", requestClass.m_service},
                                 {"stream", true},
                                 {"max_tokens", requestClass.m_answerTokens},
                                 {"target_tokens", requestClass.m_answerTokens},
                                 {"messages", nlohmann::json::array({message})}}
                          .dump();
    return call;
}

void Caller::readStream(HttpExchange &exchange, const Arrival &arrival, TimePoint scheduled,
                        Outcome &outcome)
{
    const int tokens = m_settings.m_classes[arrival.m_class].m_answerTokens;
    StreamCheck check(standins::expectedAnswer(arrival.m_prompt, tokens, tokens));
    TimePoint last = scheduled;
    for (;;) {
        auto piece = exchange.read();
        if (const auto *failure = std::get_if<CallFailure>(&piece)) {
            outcome.m_error = errorName(failure->m_error.m_id);
            return;
        }
        const auto &text = std::get<std::optional<std::string>>(piece);
        if (!text)
            break;
        const std::size_t fresh = check.take(*text);
        if (fresh == 0)
            continue;
        const TimePoint now = m_clock.now();
        if (outcome.m_tokens == 0)
            outcome.m_firstToken = now - scheduled;
        else
            outcome.m_betweenTokens.push_back(now - last);
        outcome.m_tokens += fresh;
        last = now;
    }
    outcome.m_error = check.verdict();
}

void Caller::readCompleteAnswer(HttpExchange &exchange, Outcome &outcome)
{
    const int status = exchange.status();
    const auto body = readRest(exchange);
    if (!body)
        outcome.m_error = errorName(ErrorId::AnswerTruncated);
    else if (status >= firstErrorStatus)
        outcome.m_error = errorIn(status, *body);
}

} // namespace gypsumdale::load
