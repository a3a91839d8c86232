#include <entry/call_binding.hpp>

#include <algorithm> // any_of
#include <utility> // exchange

namespace gypsumdale {

namespace {

constexpr std::string_view originUnknown = "stream-origin-unknown";
constexpr std::string_view serviceChanged = "stream-service-changed";

bool serves(const ServingRoute &route, const ServiceId &service)
{
    return std::any_of(
            route.m_services.begin(), route.m_services.end(),
            [&service](const WeightedService &target) { return target.m_service == service; });
}

/// Returns why a stream can't go on by what is known of its origin.
std::string_view reasonOf(const platform::CallerRequest &caller,
                          const std::optional<StreamOriginRecord> &record)
{
    if (caller.m_resumed.isEmpty())
        return "not-named";
    if (!record)
        return "not-recorded";
    return record->m_isAmbiguous ? "ambiguous" : "no-version";
}

} // namespace

std::optional<std::string_view> CallBinding::resolve(const ServingRoute &route,
                                                     const std::optional<StreamOrigin> &relayed)
{
    if (relayed) {
        m_binding.bind(*relayed);
        return std::nullopt;
    }
    if (!m_caller.m_isTakeUp)
        return std::nullopt;
    const TimePoint begunAt = m_traffic.now();
    std::optional<StreamOriginRecord> record;
    if (!m_caller.m_resumed.isEmpty())
        record = m_traffic.origins().find(m_caller.m_resumed);
    const double askedMillis = toMillis(m_traffic.now() - begunAt);
    if (!record || !record->isUsable()) {
        m_traffic.metrics().add(Counter::StreamOriginsUnknown);
        m_traffic.log().info("stream-origin-unknown",
                             {m_caller.m_id,
                              {LogField::Resumed, m_caller.m_resumed},
                              {LogField::Reason, reasonOf(m_caller, record)},
                              {LogField::Millis, askedMillis}});
        return originUnknown;
    }
    m_traffic.metrics().add(Counter::StreamsTakenUp);
    m_traffic.log().info("stream-taken-up",
                         {m_caller.m_id,
                          {LogField::Resumed, m_caller.m_resumed},
                          record->m_origin.m_service,
                          record->m_origin.m_softwareVersion,
                          {LogField::Source, record->m_source},
                          {LogField::AgeMillis, toMillis(m_traffic.now() - record->m_recordedAt)},
                          {LogField::Millis, askedMillis}});
    if (!serves(route, record->m_origin.m_service))
        return serviceChanged;
    m_binding.bind(record->m_origin);
    return std::nullopt;
}

bool CallBinding::begin(const StreamOrigin &origin)
{
    m_binding.bind(origin);
    return !std::exchange(m_hasBegun, true);
}

void CallBinding::record(Duration lifetime, bool isRelayed)
{
    // A stream that is taken up is known by the attempt that brought its first event.
    const RequestId &attempt = m_caller.m_resumed.isEmpty() ? m_caller.m_id : m_caller.m_resumed;
    if (isRelayed)
        m_traffic.origins().recordRelayed(attempt, *m_binding.origin(), lifetime);
    else
        m_traffic.origins().recordBegun(attempt, *m_binding.origin(), lifetime);
}

} // namespace gypsumdale
