#include <gypsumdale/kernel/chat_request.hpp>
#include <gypsumdale/policy/routing.hpp>

#include <nlohmann/json.hpp>

#include <algorithm> // max

namespace gypsumdale {

struct ChatRequest::Document
{
    nlohmann::json m_json;
};

namespace {

/// Typical ratio for Latin scripts; an estimate until the engine reports the actual number.
constexpr std::size_t bytesPerToken = 4;
constexpr std::uint32_t defaultAnswerTokens = 256;
constexpr std::uint32_t maxAnswerTokens = 1'000'000;

Error malformed(std::string text)
{
    return {ErrorId::RequestMalformed, std::move(text)};
}

std::string promptOf(const nlohmann::json &messages)
{
    std::string prompt;
    for (const nlohmann::json &message : messages) {
        const auto content = message.find("content");
        if (content != message.end() && content->is_string())
            prompt += content->get_ref<const std::string &>();
        prompt += '\n';
    }
    return prompt;
}

std::uint32_t answerTokensOf(const nlohmann::json &document)
{
    const auto limit = document.find("max_tokens");
    if (limit == document.end() || !limit->is_number_unsigned())
        return defaultAnswerTokens;
    return static_cast<std::uint32_t>(
            std::min<std::uint64_t>(limit->get<std::uint64_t>(), maxAnswerTokens));
}

} // namespace

Result<ChatRequest> ChatRequest::parse(std::string_view body)
{
    nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
        return malformed("the body is not a JSON object");
    const auto model = document.find("model");
    if (model == document.end() || !model->is_string())
        return malformed("the body has no string 'model'");
    const auto messages = document.find("messages");
    if (messages == document.end() || !messages->is_array() || messages->empty())
        return malformed("the body has no non-empty array 'messages'");
    for (const nlohmann::json &message : *messages) {
        if (!message.is_object())
            return malformed("an entry of 'messages' is not an object");
    }
    const auto stream = document.find("stream");
    if (stream != document.end() && !stream->is_boolean())
        return malformed("'stream' is not a boolean");
    ChatRequest request;
    request.m_service = ServiceId(model->get<std::string>());
    request.m_isStreamed = stream != document.end() && stream->get<bool>();
    const std::string prompt = promptOf(*messages);
    request.m_promptTokens =
            static_cast<std::uint32_t>(std::max<std::size_t>(prompt.size() / bytesPerToken, 1));
    request.m_expectedTokens = answerTokensOf(document);
    request.m_prefixBlocks = gypsumdale::prefixBlocks(prompt);
    request.m_document = std::make_shared<Document>(Document{std::move(document)});
    return request;
}

std::string ChatRequest::bodyFor(int priority, const AnswerText &soFar) const
{
    nlohmann::json document = m_document->m_json;
    document["stream"] = true;
    document["priority"] = priority;
    if (!soFar.isEmpty()) {
        document["resume_text"] = soFar.text();
        document["resume_tokens"] = soFar.tokens();
    }
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace gypsumdale
