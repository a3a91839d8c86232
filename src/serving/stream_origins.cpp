#include <gypsumdale/fleet/rendezvous.hpp>
#include <gypsumdale/serving/stream_origins.hpp>

namespace gypsumdale {

const StreamOriginRecord &StreamOrigins::record(const StreamOriginRecord &added, TimePoint now)
{
    const auto found = m_records.find(added.m_request);
    if (found == m_records.end()) {
        makeRoom(now);
        m_byExpiry.emplace(added.m_expiresAt, added.m_request);
        return m_records.emplace(added.m_request, added).first->second;
    }
    StreamOriginRecord &known = found->second;
    known.m_isAmbiguous |= added.m_isAmbiguous || known.m_origin != added.m_origin;
    if (added.m_expiresAt > known.m_expiresAt) {
        m_byExpiry.erase({known.m_expiresAt, known.m_request});
        known.m_expiresAt = added.m_expiresAt;
        m_byExpiry.emplace(known.m_expiresAt, known.m_request);
    }
    return known;
}

std::optional<StreamOriginRecord> StreamOrigins::find(const RequestId &request, TimePoint now) const
{
    const auto found = m_records.find(request);
    if (found == m_records.end() || found->second.m_expiresAt <= now)
        return std::nullopt;
    return found->second;
}

/// Removes expired records, and the one that expires next if there is still no room.
void StreamOrigins::makeRoom(TimePoint now)
{
    while (!m_byExpiry.empty()) {
        const auto &[expiresAt, request] = *m_byExpiry.begin();
        const bool isExpired = expiresAt <= now;
        if (!isExpired && m_records.size() < m_capacity)
            return;
        m_dropped += isExpired ? 0 : 1;
        m_records.erase(request);
        m_byExpiry.erase(m_byExpiry.begin());
    }
}

std::vector<NodeId> rankOriginHolders(const RequestId &request,
                                      const std::vector<OriginHolder> &vms)
{
    std::map<NodeId, DataCentreId> dataCentres;
    std::vector<NodeId> nodes;
    for (const OriginHolder &vm : vms) {
        dataCentres[vm.m_node] = vm.m_dataCentre;
        nodes.push_back(vm.m_node);
    }
    std::set<DataCentreId> covered;
    std::vector<NodeId> firstOfTheirs;
    std::vector<NodeId> others;
    for (const NodeId &node : rendezvousChoice(request.text(), nodes, nodes.size())) {
        const bool isFirst = covered.insert(dataCentres[node]).second;
        (isFirst ? firstOfTheirs : others).push_back(node);
    }
    firstOfTheirs.insert(firstOfTheirs.end(), others.begin(), others.end());
    return firstOfTheirs;
}

bool StreamBinding::bind(const StreamOrigin &origin)
{
    if (m_origin)
        return false;
    m_origin = origin;
    return true;
}

std::optional<SoftwareVersion> StreamBinding::requiredVersion() const
{
    if (!m_origin)
        return std::nullopt;
    return m_origin->m_softwareVersion;
}

bool StreamBinding::allows(const StreamOrigin &origin) const
{
    if (!m_origin)
        return true;
    return !origin.m_softwareVersion.isEmpty() && origin == *m_origin;
}

} // namespace gypsumdale
