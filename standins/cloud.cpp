#include "standins/cloud.hpp"

#include <fmt/format.h>

#include <utility> // move

namespace gypsumdale::standins {

std::string Cloud::add(Vm vm, TimePoint runsFrom)
{
    if (vm.m_id.empty())
        vm.m_id = fmt::format("vm-{}", ++m_lastId);
    std::string id = vm.m_id;
    Record record;
    record.m_vm = std::move(vm);
    record.m_startedAt = runsFrom;
    m_records.insert_or_assign(id, std::move(record));
    return id;
}

void Cloud::start(const std::string &id, std::uint16_t port, TimePoint now)
{
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return;
    found->second.m_vm.m_port = port;
    found->second.m_startedAt = now;
}

bool Cloud::remove(const std::string &id, TimePoint now)
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.m_removedAt)
        return false;
    found->second.m_removedAt = now;
    return true;
}

std::vector<std::string> Cloud::reclaim(const std::string &id, const std::string &zone,
                                        WallMillis deadline, TimePoint now)
{
    std::vector<std::string> affected;
    for (auto &[recordId, record] : m_records) {
        const bool isAffected = id.empty() ? record.m_vm.m_zone == zone : recordId == id;
        if (!isAffected || record.m_removedAt)
            continue;
        if (!record.m_leavingAt)
            record.m_leavingAt = now;
        affected.push_back(recordId);
    }
    m_notices.push_back({m_notices.size() + 1, id, zone, deadline});
    return affected;
}

std::vector<ListedVm> Cloud::list(TimePoint now, Duration extraLag) const
{
    const TimePoint seen = now - m_listLag - extraLag;
    std::vector<ListedVm> result;
    for (const auto &[id, record] : m_records) {
        if (record.m_startedAt > seen || (record.m_removedAt && *record.m_removedAt <= seen))
            continue;
        const bool leaving = record.m_leavingAt && *record.m_leavingAt <= seen;
        result.push_back({record.m_vm, leaving});
    }
    return result;
}

std::optional<Vm> Cloud::find(const std::string &id) const
{
    const auto found = m_records.find(id);
    if (found == m_records.end() || found->second.m_removedAt)
        return std::nullopt;
    return found->second.m_vm;
}

std::vector<ReclaimNotice> Cloud::noticesAfter(std::uint64_t sequence) const
{
    std::vector<ReclaimNotice> result;
    for (const ReclaimNotice &notice : m_notices) {
        if (notice.m_sequence > sequence)
            result.push_back(notice);
    }
    return result;
}

} // namespace gypsumdale::standins
