#pragma once

#include <ctl/json_text.hpp>
#include <ctl/table.hpp>

#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale::ctl {

/// Display format of a JSON member.
enum class Show { Text, Number, Seconds, Time };

/// A column of a list: the member it shows, its title and its display format.
struct ViewColumn
{
    std::string_view m_key;
    std::string_view m_title;
    Show m_show = Show::Text;
};

/// Layout of a JSON list as a table.
struct ListView
{
    std::string_view m_list;
    std::vector<ViewColumn> m_columns;
};

/// Layouts of the lists of the admin interface.
const ListView &nodesView();
const ListView &upstreamsView();
const ListView &membersView();
const ListView &jobsView();
const ListView &objectsView();
const ListView &eventsView();
/// Layout of what an entry process rejects as crashing its upstreams.
const ListView &quarantineView();
const ListView &rolloutsView();
const ListView &queuesView();

/// Formats one member for display: milliseconds as seconds, times as UTC. Complexity: constant.
std::string cellText(const Json &object, const ViewColumn &column);

/// Returns a list as a table. Complexity: linear in the number of cells.
Table tableOf(const Json &answer, const ListView &view);

/// Formats the status of one node, one field per line.
std::string formatStatus(const Json &answer);

} // namespace gypsumdale::ctl
