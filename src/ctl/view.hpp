#pragma once

#include <ctl/json_text.hpp>
#include <ctl/table.hpp>

#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale::ctl {

/// How a member of an answer is shown.
enum class Show { Text, Number, Seconds, Time };

/// One column of a list: the member it shows, under which title and how.
struct ViewColumn
{
    std::string_view m_key;
    std::string_view m_title;
    Show m_show = Show::Text;
};

/// How a list in an answer is shown as a table.
struct ListView
{
    std::string_view m_list;
    std::vector<ViewColumn> m_columns;
};

/// The lists of the admin interface.
const ListView &nodesView();
const ListView &upstreamsView();
const ListView &membersView();
const ListView &jobsView();
const ListView &objectsView();
const ListView &eventsView();

/// Returns one member as a person reads it: milliseconds as seconds, times as UTC. Constant.
std::string cellText(const Json &object, const ViewColumn &column);

/// Returns the table of a list. Linear in its cells.
Table tableOf(const Json &answer, const ListView &view);

/// Writes the status of one node, one fact a line.
std::string formatStatus(const Json &answer);

} // namespace gypsumdale::ctl
