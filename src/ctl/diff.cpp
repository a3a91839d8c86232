#include <ctl/table.hpp>

#include <algorithm> // max
#include <cstddef> // size_t

namespace gypsumdale::ctl {

namespace {

using Lines = std::vector<std::string_view>;

/// Most cells of the table of common lines; a document of a few thousand changed lines fits.
constexpr std::size_t maxDiffCells = 4'000'000;

Lines splitLines(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        lines.push_back(text.substr(0, end));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return lines;
}

/// For each pair of places, how many lines the rests behind them have in common in order (the
/// longest common subsequence).
class CommonLines
{
public:
    CommonLines(const Lines &before, const Lines &after)
        : m_width(after.size() + 1)
        , m_cells((before.size() + 1) * m_width)
    {
        for (std::size_t i = before.size(); i-- > 0;) {
            for (std::size_t j = after.size(); j-- > 0;) {
                m_cells[i * m_width + j] = before[i] == after[j]
                                                   ? at(i + 1, j + 1) + 1
                                                   : std::max(at(i + 1, j), at(i, j + 1));
            }
        }
    }
    std::size_t at(std::size_t i, std::size_t j) const { return m_cells[i * m_width + j]; }

private:
    std::size_t m_width;
    std::vector<std::size_t> m_cells;
};

void addLine(std::string &out, char mark, std::string_view line)
{
    out += mark;
    out += printable(line);
    out += '\n';
}

void addLines(std::string &out, char mark, const Lines &lines)
{
    for (const std::string_view line : lines)
        addLine(out, mark, line);
}

std::string walkDiff(const Lines &before, const Lines &after)
{
    const CommonLines common(before, after);
    std::string out;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size()) {
        const bool hasBoth = i < before.size() && j < after.size();
        if (hasBoth && before[i] == after[j]) {
            addLine(out, ' ', before[i]);
            ++i;
            ++j;
        } else if (j == after.size() || (hasBoth && common.at(i + 1, j) >= common.at(i, j + 1))) {
            addLine(out, '-', before[i++]);
        } else {
            addLine(out, '+', after[j++]);
        }
    }
    return out;
}

} // namespace

std::string formatDiff(std::string_view before, std::string_view after)
{
    const Lines old = splitLines(before);
    const Lines fresh = splitLines(after);
    if ((old.size() + 1) * (fresh.size() + 1) <= maxDiffCells)
        return walkDiff(old, fresh);
    std::string out;
    addLines(out, '-', old);
    addLines(out, '+', fresh);
    return out;
}

} // namespace gypsumdale::ctl
