#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/runtime/http_message.hpp>
#include <gypsumdale/serving/crash_quarantine.hpp>

#include <functional> // function
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// Returns whether a request on the address for metrics is about what is rejected as crashing its
/// upstreams.
bool isQuarantinePage(const HttpRequest &request);

/// Returns whether an IP number is this machine's own for itself.
bool isLoopback(std::string_view ip);

/// What is rejected as crashing its upstreams, as its page sees it.
struct QuarantineAccess
{
    std::vector<QuarantineEntry> m_entries;
    /// Ends the entry with an id. Returns whether there is one.
    std::function<bool(std::string_view id)> m_lift;
    TimePoint m_now{};
};

/// Answers with a list of what is rejected (GET /-/quarantine), or lifts an entry of it (POST
/// /-/quarantine/lift/ID), which only a caller on this machine may.
HttpReply answerQuarantinePage(const HttpRequest &request, bool isLocal,
                               const QuarantineAccess &access);

} // namespace gypsumdale
