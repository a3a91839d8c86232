#include <ctl/table.hpp>

#include <algorithm> // max
#include <cstddef> // size_t

namespace gypsumdale::ctl {

namespace {

using Lines = std::vector<std::string_view>;

/// Upper limit of cells in the table of CommonLines; enough for about 2000 lines per text.
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

/// Table of longest common subsequences: for each pair of positions, the number of lines that the
/// remainders of both texts have in common in the same order.
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

void addLine(std::string &out, char prefix, std::string_view line)
{
    out += prefix;
    out += printable(line);
    out += '\n';
}

void addLines(std::string &out, char prefix, const Lines &lines)
{
    for (const std::string_view line : lines)
        addLine(out, prefix, line);
}

std::string formatLineDiff(const Lines &before, const Lines &after)
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
    const Lines oldLines = splitLines(before);
    const Lines newLines = splitLines(after);
    if ((oldLines.size() + 1) * (newLines.size() + 1) <= maxDiffCells)
        return formatLineDiff(oldLines, newLines);
    std::string out;
    addLines(out, '-', oldLines);
    addLines(out, '+', newLines);
    return out;
}

} // namespace gypsumdale::ctl
