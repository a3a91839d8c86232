#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/runtime/http_client.hpp>
#include <gypsumdale/serving/stream_origins.hpp>

#include <entry/in_flight_guard.hpp>

#include <optional> // optional

namespace gypsumdale {

/// How far the run of a request has come.
enum class RunStage {
    Waiting,
    /// The header of its answer was received.
    Begun,
    /// A part of the answer was received that is whole by itself.
    Delivering,
};

/// An upstream's answer, from the moment at which its request was sent.
struct UpstreamAnswer
{
    HttpExchange m_exchange;
    InFlightGuard m_guard;
    /// When the request was about to be sent.
    TimePoint m_placedAt{};
    /// The same, if its prompt was the only one for the upstream to read.
    std::optional<TimePoint> m_readAloneSince;
    /// Where its events come from.
    StreamOrigin m_origin;
    /// A peer relays it.
    bool m_isRelayed = false;
    /// The same, if the answer says how well its upstream's version serves.
    std::optional<TimePoint> m_sentAt{};
    /// The same, if its prompt was the only one to read and a slot was free.
    std::optional<TimePoint> m_speedSampleSince{};
    RunStage m_stage = RunStage::Waiting;
};

} // namespace gypsumdale
