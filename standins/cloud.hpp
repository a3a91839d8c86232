#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstdint> // uint16_t, uint64_t
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale::standins {

/// A VM in the cloud's records.
struct Vm
{
    std::string m_id;
    std::string m_address = "127.0.0.1";
    std::uint16_t m_port = 0;
    std::string m_zone;
    std::string m_class;
    std::string m_service;
    bool m_reclaimable = true;
};

/// An entry of the VM list, which shows the state of one list lag ago.
struct ListedVm
{
    Vm m_vm;
    bool m_leaving = false;
};

/// Price of one VM class in one zone.
struct Price
{
    std::string m_zone;
    std::string m_class;
    bool m_reclaimable = true;
    double m_perHour = 0;
};

/// Announces that a VM, or the whole zone if the VM is empty, is reclaimed at the deadline.
struct ReclaimNotice
{
    std::uint64_t m_sequence = 0;
    std::string m_vm;
    std::string m_zone;
    WallMillis m_deadline = 0;
};

/// The cloud's VMs, prices and reclaim notices. Uses no sockets and no clock; callers pass the
/// time.
class Cloud
{
public:
    /// Creates a cloud whose VM list shows the state of `listLag` ago.
    explicit Cloud(Duration listLag)
        : m_listLag(listLag)
    {}

    /// Adds a VM that runs from the given time (TimePoint::max() until it is started) and returns
    /// its id, which is generated if the VM has none. Complexity: logarithmic.
    std::string add(Vm vm, TimePoint runsFrom);

    /// Records that a VM's service answers on a port from now on; the list shows the VM one list
    /// lag later. Complexity: logarithmic.
    void start(const std::string &id, std::uint16_t port, TimePoint now);

    /// Marks a VM as removed; returns false if there is no such VM. Complexity: logarithmic.
    bool remove(const std::string &id, TimePoint now);

    /// Adds a notice for a VM, or for a whole zone if the VM's id is empty, marks the affected VMs
    /// as leaving and returns their ids. Complexity: linear in the number of VMs.
    std::vector<std::string> reclaim(const std::string &id, const std::string &zone,
                                     WallMillis deadline, TimePoint now);

    /// Returns the VMs that were present one list lag plus `extraLag` ago.
    /// Complexity: linear in the number of VMs.
    std::vector<ListedVm> list(TimePoint now, Duration extraLag = {}) const;

    /// Returns a VM that was not removed, or nothing. Complexity: logarithmic.
    std::optional<Vm> find(const std::string &id) const;

    /// Returns the notices after a sequence number. Complexity: linear in their number.
    std::vector<ReclaimNotice> noticesAfter(std::uint64_t sequence) const;
    std::uint64_t lastNotice() const { return m_notices.size(); }

    void setPrices(std::vector<Price> prices) { m_prices = std::move(prices); }
    const std::vector<Price> &prices() const { return m_prices; }

private:
    struct Record
    {
        Vm m_vm;
        TimePoint m_startedAt;
        std::optional<TimePoint> m_leavingAt;
        std::optional<TimePoint> m_removedAt;
    };

    Duration m_listLag;
    std::map<std::string, Record> m_records;
    std::vector<Price> m_prices;
    std::vector<ReclaimNotice> m_notices;
    std::uint64_t m_lastId = 0;
};

} // namespace gypsumdale::standins
