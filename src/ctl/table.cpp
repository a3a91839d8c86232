#include <ctl/table.hpp>

#include <algorithm> // max
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

/// Returns the length in bytes of the control character that a text begins with, or 0. C1 control
/// characters (U+0080 to U+009F, two bytes in UTF-8) control terminals as C0 ones do.
std::size_t controlLength(std::string_view text)
{
    constexpr unsigned char c0End = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    constexpr unsigned char c1LeadByte = 0xc2;
    constexpr unsigned char c1End = 0xa0;
    const auto lead = static_cast<unsigned char>(text[0]);
    if (lead < c0End || lead == deleteCharacter)
        return 1;
    if (lead != c1LeadByte || text.size() < 2)
        return 0;
    return static_cast<unsigned char>(text[1]) < c1End ? 2 : 0;
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
    std::string result;
    while (!text.empty()) {
        const std::size_t control = controlLength(text);
        result += control > 0 ? '?' : text.front();
        text.remove_prefix(std::max<std::size_t>(control, 1));
    }
    return result;
}

} // namespace gypsumdale::ctl
