#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/names.hpp>

#include <cstddef> // size_t
#include <vector> // vector

namespace gypsumdale {

/// What one VM knows of the connections to one upstream. One connection is open for each request in
/// flight.
struct ConnectionView
{
    /// Connections that the upstream accepts from all VMs; 0 or less for no limit.
    int m_limit = 0;
    /// Requests that the upstream serves at a time.
    int m_slots = 0;
    /// VMs that place requests there, this one included.
    int m_vms = 1;
    /// This VM's requests in flight there.
    int m_own = 0;
    /// Minimum of m_own over the time that reports may take to reach every peer, and back.
    int m_ownMinimum = 0;
    /// The other VMs' requests in flight there by their last reports. VMs without any may be
    /// missing.
    std::vector<int> m_peers;
    /// This VM's requests in flight at all upstreams that may be selected, and their number.
    int m_ownAtAll = 0;
    int m_upstreams = 1;
};

/// Why a VM may, or may not, open another connection to an upstream.
enum class ConnectionVerdict {
    NoLimit,
    WithinShare,
    /// Beyond its share, the upstream serves the known requests soon, and this VM has few at the
    /// others.
    UpstreamIdle,
    /// Beyond its share, reports leave connections that no VM's share includes.
    FreeByReports,
    ShareUsed,
};

inline constexpr NameTable<ConnectionVerdict, 5> connectionVerdictNames = {{
        {ConnectionVerdict::NoLimit, "no-limit"},
        {ConnectionVerdict::WithinShare, "within-share"},
        {ConnectionVerdict::UpstreamIdle, "upstream-idle"},
        {ConnectionVerdict::FreeByReports, "free-by-reports"},
        {ConnectionVerdict::ShareUsed, "share-used"},
}};

struct ConnectionDecision
{
    ConnectionVerdict m_verdict = ConnectionVerdict::NoLimit;
    int m_limit = 0;
    int m_vms = 1;
    /// Connections that this VM may open whatever the others do.
    int m_share = 0;
    int m_own = 0;
    /// Sum over the other VMs' reports.
    int m_reported = 0;

    bool isGranted() const { return m_verdict != ConnectionVerdict::ShareUsed; }
};

/// Returns a VM's even share of an upstream's connections, at least one. With more VMs than
/// connections the VMs may therefore exceed the limit, by as many as there are VMs beyond it.
/// Complexity: constant.
int connectionShare(int limit, int vms);

/// Decides whether a VM may open another connection to an upstream.
///
/// Load: any number of VMs and any load on each of them. Within the shares, all VMs together stay
/// within the limit if they agree on their number, however old the reports are. Beyond them only
/// connections are used that no share includes: those that are free if every VM grew as this one
/// did, and at an idle upstream as many as it serves soon. Complexity: linear in the reports.
ConnectionDecision decideConnection(const ConnectionView &view);

/// Inputs of the decision whether a request waits for a connection.
struct ConnectionWaitView
{
    /// Requests of this VM that wait for the same service and go first.
    std::size_t m_ahead = 0;
    /// Requests of this VM to the service that ended within the last second, each of which freed a
    /// connection.
    std::size_t m_endsPerSecond = 0;
    /// Longest time that the request may wait.
    Duration m_maxWait{};
};

enum class ConnectionWaitVerdict {
    Wait,
    /// It would not get a connection in time.
    TooMany,
    /// It has no time to wait.
    NoTime,
};

inline constexpr NameTable<ConnectionWaitVerdict, 3> connectionWaitVerdictNames = {{
        {ConnectionWaitVerdict::Wait, "wait"},
        {ConnectionWaitVerdict::TooMany, "too-many-waiting"},
        {ConnectionWaitVerdict::NoTime, "no-time"},
}};

struct ConnectionWaitDecision
{
    ConnectionWaitVerdict m_verdict = ConnectionWaitVerdict::Wait;
    /// Time after which a connection is expected to be free for the request.
    Duration m_expected{};
};

/// Decides whether a request waits for a connection. Without an end in the last second one request
/// may wait, as nothing is known of when a connection will be free. Complexity: constant.
ConnectionWaitDecision decideConnectionWait(const ConnectionWaitView &view);

} // namespace gypsumdale
