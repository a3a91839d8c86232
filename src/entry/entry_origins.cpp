#include <gypsumdale/entry/entry_origins.hpp>

namespace gypsumdale {

void EntryOrigins::recordBegun(const RequestId &request, const StreamOrigin &origin,
                               Duration lifetime)
{
    const StreamOriginRecord known = keep(recordOf(request, origin, lifetime));
    if (m_announce)
        m_announce(known);
}

StreamOriginRecord EntryOrigins::recordOf(const RequestId &request, const StreamOrigin &origin,
                                          Duration lifetime) const
{
    StreamOriginRecord record;
    record.m_request = request;
    record.m_origin = origin;
    record.m_source = m_node;
    record.m_recordedAt = m_clock.now();
    record.m_expiresAt = record.m_recordedAt + lifetime;
    return record;
}

StreamOriginRecord EntryOrigins::keep(const StreamOriginRecord &record)
{
    StreamOriginRecord known = m_origins.record(record, m_clock.now());
    m_metrics.assign(Counter::StreamOriginsDropped, m_origins.dropped());
    return known;
}

std::optional<StreamOriginRecord> EntryOrigins::find(const RequestId &request)
{
    auto known = findHere(request);
    if (known || !m_ask)
        return known;
    const auto told = m_ask(request);
    return told ? std::optional(keep(*told)) : std::nullopt;
}

} // namespace gypsumdale
