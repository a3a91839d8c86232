#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstdint> // uint16_t, uint64_t
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale::standins {

/// A VM as the cloud knows it.
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

/// A line of the VM list, as it was one lag ago.
struct ListedVm
{
    Vm m_vm;
    bool m_leaving = false;
};

/// What one class of VM costs in one zone.
struct Price
{
    std::string m_zone;
    std::string m_class;
    bool m_reclaimable = true;
    double m_perHour = 0;
};

/// Tells that a VM, or with an empty VM the whole zone, goes away at the deadline.
struct ReclaimNotice
{
    std::uint64_t m_sequence = 0;
    std::string m_vm;
    std::string m_zone;
    WallMillis m_deadline = 0;
};

/// The cloud's VMs, prices and notices, without sockets or a clock of its own.
class Cloud
{
public:
    /// The list shows what was true this long ago.
    explicit Cloud(Duration listLag)
        : m_listLag(listLag)
    {}

    /// Adds a VM that runs from a time on (TimePoint::max() until it is started) and returns its
    /// id, a new one unless it brings one. Logarithmic.
    std::string add(Vm vm, TimePoint runsFrom);

    /// Says that a VM's service answers on a port from now on; the list shows the VM a lag later.
    /// Logarithmic.
    void start(const std::string &id, std::uint16_t port, TimePoint now);

    /// Marks a VM as gone; returns false if it is not there. Logarithmic.
    bool remove(const std::string &id, TimePoint now);

    /// Announces the end of a VM, or of a zone where the VM's id is empty, marks all that it
    /// strikes as leaving and returns the ids. Linear in the VMs.
    std::vector<std::string> reclaim(const std::string &id, const std::string &zone,
                                     WallMillis deadline, TimePoint now);

    /// Returns the VMs that are not gone, as the lagging list shows them, with a lag added to the
    /// ordinary one. Linear.
    std::vector<ListedVm> list(TimePoint now, Duration extraLag = {}) const;

    /// Returns a VM that is not gone, or nothing. Logarithmic.
    std::optional<Vm> find(const std::string &id) const;

    /// Returns the notices behind a number. Linear in them.
    std::vector<ReclaimNotice> noticesAfter(std::uint64_t sequence) const;
    std::uint64_t lastNotice() const { return m_notices.size(); }

    void setPrices(std::vector<Price> prices) { m_prices = std::move(prices); }
    const std::vector<Price> &prices() const { return m_prices; }

private:
    struct Record
    {
        Vm m_vm;
        TimePoint m_bornAt;
        std::optional<TimePoint> m_leavingAt;
        std::optional<TimePoint> m_goneAt;
    };

    Duration m_listLag;
    std::map<std::string, Record> m_records;
    std::vector<Price> m_prices;
    std::vector<ReclaimNotice> m_notices;
    std::uint64_t m_lastId = 0;
};

} // namespace gypsumdale::standins
