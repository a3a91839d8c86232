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

/// Rows of text below column titles. A row may have fewer cells than there are columns.
struct Table
{
    std::vector<Column> m_columns;
    std::vector<std::vector<std::string>> m_rows;
};

/// Formats a table with aligned columns, two spaces apart, without trailing spaces. Complexity:
/// linear in the number of cells.
std::string formatTable(const Table &table);

/// Returns a text that is safe to print: control characters become '?', as those in a message from
/// elsewhere could control the reader's terminal. Complexity: linear.
std::string printable(std::string_view text);

/// Formats a line diff of two texts: "-" precedes lines of the first only, "+" lines of the second
/// only, " " lines of both. Complexity: quadratic in the number of lines, up to a limit beyond
/// which all lines are shown as replaced.
std::string formatDiff(std::string_view before, std::string_view after);

} // namespace gypsumdale::ctl
