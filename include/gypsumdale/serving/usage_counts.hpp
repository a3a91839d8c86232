#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/ids.hpp>

#include <cstdint> // int64_t
#include <map> // map
#include <string> // string

namespace gypsumdale {

/// Number of a usage window: window k begins k spans after the start of 1970.
using WindowNumber = std::int64_t;
using WindowCounts = std::map<AccountId, std::int64_t>;

/// Counts of requests that began to run, by window and account, of this VM and of the others.
class UsageCounts
{
public:
    explicit UsageCounts(Duration span)
        : m_span(span)
    {}

    /// Returns the window of a moment. Constant.
    WindowNumber windowAt(WallMillis wall) const;

    /// Counts one request that began to run. Logarithmic.
    void add(const AccountId &account, WallMillis wall);

    /// Replaces what one incarnation of a VM counted in a window. An earlier incarnation's counts
    /// stay: its requests ran. Logarithmic.
    void setPeer(const std::string &incarnation, WindowNumber window, WindowCounts counts);

    /// Returns the sum over all VMs of one window. Linear in the VMs.
    WindowCounts total(WindowNumber window) const;

    /// Returns the own counts by window.
    const std::map<WindowNumber, WindowCounts> &own() const { return m_own; }

    /// Forgets windows before one. Linear in those.
    void forgetBefore(WindowNumber window);

private:
    Duration m_span;
    std::map<WindowNumber, WindowCounts> m_own;
    std::map<WindowNumber, std::map<std::string, WindowCounts>> m_peers;
};

} // namespace gypsumdale
