#include <gypsumdale/jobs/answer_text.hpp>

#include <algorithm> // clamp, min
#include <limits> // numeric_limits

namespace gypsumdale {

namespace {

constexpr std::uint32_t lebPayload = 0x7f;
constexpr std::uint32_t lebContinuation = 0x80;
constexpr int lebBits = 7;
constexpr int lebMaximumShift = 28;

} // namespace

void AnswerText::append(std::string_view token)
{
    m_text.append(token);
    m_ends.push_back(static_cast<std::uint32_t>(m_text.size()));
}

void AnswerText::append(const AnswerText &other)
{
    const auto base = static_cast<std::uint32_t>(m_text.size());
    m_text.append(other.m_text);
    for (const std::uint32_t end : other.m_ends)
        m_ends.push_back(base + end);
}

std::size_t AnswerText::bytesBefore(std::int64_t tokens) const
{
    if (tokens <= 0 || m_ends.empty())
        return 0;
    return m_ends[static_cast<std::size_t>(std::min(tokens, this->tokens()) - 1)];
}

std::string_view AnswerText::token(std::int64_t index) const
{
    const std::size_t start = bytesBefore(index);
    return std::string_view(m_text).substr(start, bytesBefore(index + 1) - start);
}

std::string_view AnswerText::textFrom(std::int64_t tokens) const
{
    return std::string_view(m_text).substr(bytesBefore(tokens));
}

AnswerText AnswerText::from(std::int64_t tokens) const
{
    AnswerText rest;
    const std::int64_t start = std::clamp<std::int64_t>(tokens, 0, this->tokens());
    const auto base = static_cast<std::uint32_t>(bytesBefore(start));
    rest.m_text = m_text.substr(base);
    rest.m_ends.reserve(m_ends.size() - static_cast<std::size_t>(start));
    for (auto index = static_cast<std::size_t>(start); index < m_ends.size(); ++index)
        rest.m_ends.push_back(m_ends[index] - base);
    return rest;
}

void AnswerText::truncateTo(std::int64_t tokens)
{
    const std::int64_t kept = std::clamp<std::int64_t>(tokens, 0, this->tokens());
    m_text.resize(bytesBefore(kept));
    m_ends.resize(static_cast<std::size_t>(kept));
}

std::string AnswerText::encodedLengths(std::int64_t fromToken) const
{
    std::string lengths;
    const std::int64_t start = std::clamp<std::int64_t>(fromToken, 0, tokens());
    auto previous = static_cast<std::uint32_t>(bytesBefore(start));
    for (auto index = static_cast<std::size_t>(start); index < m_ends.size(); ++index) {
        std::uint32_t length = m_ends[index] - previous;
        previous = m_ends[index];
        while (length > lebPayload) {
            lengths.push_back(static_cast<char>((length & lebPayload) | lebContinuation));
            length >>= lebBits;
        }
        lengths.push_back(static_cast<char>(length));
    }
    return lengths;
}

Result<AnswerText> AnswerText::decode(std::string_view text, std::string_view lengths)
{
    const Error malformed{ErrorId::PeerMalformed, "token lengths do not add up to the text"};
    if (text.size() > std::numeric_limits<std::uint32_t>::max())
        return malformed;
    AnswerText answer;
    answer.m_text = std::string(text);
    std::uint64_t end = 0;
    std::uint64_t length = 0;
    int shift = 0;
    for (const char byte : lengths) {
        const auto bits = static_cast<unsigned char>(byte);
        if (shift > lebMaximumShift)
            return malformed;
        length |= static_cast<std::uint64_t>(bits & lebPayload) << shift;
        shift += lebBits;
        if ((bits & lebContinuation) != 0)
            continue;
        end += length;
        if (end > text.size())
            return malformed;
        answer.m_ends.push_back(static_cast<std::uint32_t>(end));
        length = 0;
        shift = 0;
    }
    if (shift != 0 || end != text.size())
        return malformed;
    return answer;
}

} // namespace gypsumdale
