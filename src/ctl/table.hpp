#pragma once

#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale::ctl {

enum class Align { Left, Right };

struct Column
{
    std::string m_title;
    Align m_align = Align::Left;
};

/// Rows of text under titles. A row may be shorter than the titles.
struct Table
{
    std::vector<Column> m_columns;
    std::vector<std::vector<std::string>> m_rows;
};

/// Writes a table with its columns aligned, two spaces apart, and no spaces at the ends of lines.
/// Linear in the cells.
std::string formatTable(const Table &table);

/// Returns a text that is safe to print: control characters, which could steer the terminal of
/// whoever reads a message of another's making, become '?'. Linear.
std::string printable(std::string_view text);

/// Writes how the lines of two texts differ: "-" for lines of the first only, "+" for lines of the
/// second only, " " for lines of both. Quadratic in the lines that differ, up to a bound beyond
/// which all of them are shown as replaced.
std::string formatDiff(std::string_view before, std::string_view after);

} // namespace gypsumdale::ctl
