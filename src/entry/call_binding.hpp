#pragma once

#include <gypsumdale/entry/entry_traffic.hpp>
#include <gypsumdale/serving/serving_config.hpp>
#include <gypsumdale/serving/stream_origins.hpp>

#include <platform/request_codec.hpp>

#include <optional> // optional
#include <string_view> // string_view

namespace gypsumdale {

/// Where the stream of one request may go on. It is bound by the earlier attempt that the client
/// takes up, by the peer that relays the request, or by its own first event.
class CallBinding
{
public:
    CallBinding(EntryTraffic &traffic, const platform::CallerRequest &caller)
        : m_traffic(traffic)
        , m_caller(caller)
    {}

    /// Binds a request that its client takes up, or that a peer relays with an origin. Returns why
    /// the stream can't go on, or nothing if it can or only begins. May suspend the calling fiber.
    std::optional<std::string_view> resolve(const ServingRoute &route,
                                            const std::optional<StreamOrigin> &relayed);

    /// Binds the stream to the origin of an event that is forwarded. Returns whether it is the
    /// first one.
    bool begin(const StreamOrigin &origin);

    /// Records where the stream began, for the time in which its client can take it up. The VM of a
    /// relayed request's client tells the peers.
    void record(Duration lifetime, bool isRelayed);

    bool isBound() const { return m_binding.isBound(); }
    const std::optional<StreamOrigin> &origin() const { return m_binding.origin(); }
    std::optional<SoftwareVersion> requiredVersion() const { return m_binding.requiredVersion(); }
    bool allows(const StreamOrigin &origin) const { return m_binding.allows(origin); }

private:
    EntryTraffic &m_traffic;
    const platform::CallerRequest &m_caller;
    StreamBinding m_binding;
    bool m_hasBegun = false;
};

} // namespace gypsumdale
