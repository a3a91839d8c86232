#include <gypsumdale/kernel/chunk_writer.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm> // all_of
#include <iterator> // back_inserter

namespace gypsumdale {

namespace {

constexpr char firstPrintable = ' ';
constexpr char lastPrintable = '~';

std::string jsonText(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Returns whether a text is the same as a JSON string: printable ASCII without quote and
/// backslash.
bool needsNoEscape(std::string_view text)
{
    return std::ranges::all_of(text, [](char character) {
        return character >= firstPrintable && character <= lastPrintable && character != '"'
               && character != '\\';
    });
}

/// Appends a text as a JSON string. Avoids a JSON document for plain words, which most tokens are.
void appendJsonText(std::string &buffer, std::string_view text)
{
    if (!needsNoEscape(text)) {
        buffer += jsonText(text);
        return;
    }
    buffer += '"';
    buffer += text;
    buffer += '"';
}

} // namespace

ChunkWriter::ChunkWriter(std::string name, const ServiceId &service)
    : m_name(std::move(name))
    , m_service(service.text())
    , m_chunkStart(fmt::format(R"(data: {{"id":{},"object":"chat.completion.chunk","model":{},)",
                               jsonText(m_name), jsonText(m_service)))
{}

void ChunkWriter::appendToken(std::string &buffer, std::int64_t index, std::string_view text,
                              const std::optional<AnswerPosition> &position) const
{
    auto out = std::back_inserter(buffer);
    if (position)
        fmt::format_to(out, "id: {}\n", toText(*position));
    buffer += m_chunkStart;
    fmt::format_to(out, R"("token_index":{},"choices":[{{"index":0,"delta":{{"content":)", index);
    appendJsonText(buffer, text);
    buffer += "},\"finish_reason\":null}]}\n\n";
}

void ChunkWriter::appendEnd(std::string &buffer, std::int64_t tokens, std::string_view finishReason,
                            Finality finality) const
{
    buffer += m_chunkStart;
    if (finality == Finality::Provisional)
        buffer += R"("provisional":true,)";
    fmt::format_to(
            std::back_inserter(buffer),
            R"("choices":[{{"index":0,"delta":{{}},"finish_reason":{}}}],"usage":{{"completion_tokens":{}}}}})",
            jsonText(finishReason), tokens);
    buffer += "\n\ndata: [DONE]\n\n";
}

std::string ChunkWriter::whole(const AnswerText &answer, std::string_view finishReason,
                               std::uint32_t promptTokens, Finality finality) const
{
    nlohmann::ordered_json choice;
    choice["index"] = 0;
    choice["message"]["role"] = "assistant";
    choice["message"]["content"] = answer.text();
    choice["finish_reason"] = finishReason;
    nlohmann::ordered_json document;
    document["id"] = m_name;
    document["object"] = "chat.completion";
    document["model"] = m_service;
    document["choices"].push_back(std::move(choice));
    document["usage"]["prompt_tokens"] = promptTokens;
    document["usage"]["completion_tokens"] = answer.tokens();
    if (finality == Finality::Provisional)
        document["provisional"] = true;
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void appendNamedEvent(std::string &buffer, std::string_view event, std::string_view data)
{
    fmt::format_to(std::back_inserter(buffer), "event: {}\ndata: {}\n\n", event, data);
}

} // namespace gypsumdale
