#include <gypsumdale/jobs/epoch_history.hpp>

#include <fmt/format.h>

#include <algorithm> // find_if, min
#include <charconv> // from_chars

namespace gypsumdale {

namespace {

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || number < 0)
        return std::nullopt;
    return number;
}

} // namespace

std::string toText(const AnswerPosition &position)
{
    return fmt::format("{}:{}", position.m_epoch, position.m_offset);
}

std::optional<AnswerPosition> parsePosition(std::string_view text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto epoch = parseNumber(text.substr(0, colon));
    const auto offset = parseNumber(text.substr(colon + 1));
    if (!epoch || !offset)
        return std::nullopt;
    return AnswerPosition{*epoch, *offset};
}

void EpochHistory::begin(std::int64_t epoch, std::int64_t offset)
{
    m_starts.push_back({epoch, offset});
}

EpochCheck EpochHistory::check(std::int64_t epoch, std::int64_t offset, std::int64_t end) const
{
    if (offset <= 0)
        return ContinueAt{0};
    std::size_t index = 0;
    while (index < m_starts.size() && m_starts[index].m_epoch != epoch)
        ++index;
    if (index == m_starts.size())
        return UnknownEpoch{};
    // The caller may be several epochs behind, and a later epoch may start at a smaller offset than
    // an earlier one: the smallest start offset is where the caller's tokens stop being valid.
    std::int64_t valid = end;
    for (++index; index < m_starts.size(); ++index)
        valid = std::min(valid, m_starts[index].m_offset);
    if (offset > valid)
        return DiscardAfter{current(), valid};
    return ContinueAt{offset};
}

std::int64_t EpochHistory::current() const
{
    return m_starts.empty() ? 0 : m_starts.back().m_epoch;
}

std::int64_t EpochHistory::epochAt(std::int64_t offset) const
{
    const auto start =
            std::find_if(m_starts.rbegin(), m_starts.rend(),
                         [offset](const Start &each) { return each.m_offset <= offset; });
    return start == m_starts.rend() ? current() : start->m_epoch;
}

} // namespace gypsumdale
