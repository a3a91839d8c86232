#include "bench/load/stream_check.hpp"

#include <nlohmann/json.hpp>

namespace gypsumdale::load {

namespace {

constexpr std::string_view dataPrefix = "data: ";
constexpr std::string_view endMarker = "[DONE]";

} // namespace

std::size_t StreamCheck::take(std::string_view piece)
{
    m_pending += piece;
    std::size_t tokens = 0;
    std::size_t begin = 0;
    for (;;) {
        const auto end = m_pending.find('\n', begin);
        if (end == std::string::npos)
            break;
        if (parseLine(std::string_view(m_pending).substr(begin, end - begin)))
            ++tokens;
        begin = end + 1;
    }
    m_pending.erase(0, begin);
    return tokens;
}

std::string StreamCheck::verdict() const
{
    if (!m_error.empty())
        return m_error;
    if (!m_ended)
        return "no-end-marker";
    if (m_answer == m_expected)
        return {};
    return m_expected.starts_with(m_answer) ? "short-answer" : "wrong-answer";
}

bool StreamCheck::parseLine(std::string_view line)
{
    if (!line.starts_with(dataPrefix))
        return false;
    line.remove_prefix(dataPrefix.size());
    while (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    if (line == endMarker) {
        m_ended = true;
        return false;
    }
    const auto event = nlohmann::json::parse(line, nullptr, false);
    if (!event.is_object()) {
        m_error = "malformed-event";
        return false;
    }
    if (event.contains("error")) {
        const auto &error = event["error"];
        m_error = error.is_object() ? error.value("name", "error") : "error";
        return false;
    }
    static const nlohmann::json::json_pointer content("/choices/0/delta/content");
    if (!event.contains(content) || !event[content].is_string())
        return false;
    const auto &text = event[content].get_ref<const std::string &>();
    m_answer += text;
    return !text.empty();
}

} // namespace gypsumdale::load
