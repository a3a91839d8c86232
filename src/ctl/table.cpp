#include <ctl/table.hpp>

#include <algorithm> // max, replace_if
#include <cstddef> // size_t

namespace gypsumdale::ctl {

namespace {

constexpr std::size_t columnGap = 2;

std::vector<std::size_t> columnWidths(const Table &table)
{
    std::vector<std::size_t> widths;
    for (const Column &column : table.m_columns)
        widths.push_back(column.m_title.size());
    for (const auto &row : table.m_rows) {
        for (std::size_t column = 0; column < row.size() && column < widths.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size());
    }
    return widths;
}

std::string pad(const std::string &text, std::size_t width, Align align)
{
    const std::string space(width - text.size(), ' ');
    return align == Align::Right ? space + text : text + space;
}

std::string formatRow(const Table &table, const std::vector<std::size_t> &widths,
                      const std::vector<std::string> &row)
{
    std::string line;
    for (std::size_t column = 0; column < row.size() && column < widths.size(); ++column) {
        if (column > 0)
            line.append(columnGap, ' ');
        line += pad(row[column], widths[column], table.m_columns[column].m_align);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    return line + '\n';
}

} // namespace

std::string formatTable(const Table &table)
{
    const std::vector<std::size_t> widths = columnWidths(table);
    std::vector<std::string> titles;
    for (const Column &column : table.m_columns)
        titles.push_back(column.m_title);
    std::string result = formatRow(table, widths, titles);
    for (const auto &row : table.m_rows)
        result += formatRow(table, widths, row);
    return result;
}

std::string printable(std::string_view text)
{
    constexpr char escapeEnd = 0x20;
    constexpr char deleteSign = 0x7f;
    std::string result(text);
    std::replace_if(
            result.begin(), result.end(),
            [](char letter) {
                const bool isControl = letter >= 0 && letter < escapeEnd;
                return isControl || letter == deleteSign;
            },
            '?');
    return result;
}

} // namespace gypsumdale::ctl
