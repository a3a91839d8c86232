#pragma once

#include "support/raw_caller.hpp"
#include "support/stop_soak.hpp"

#include <pcg_random.hpp>

#include <algorithm> // clamp, max
#include <cmath> // log, lround
#include <random> // lognormal_distribution

namespace gypsumdale::testing {

/// Spread of the lengths of a route's streams, and how often one is much longer than the others.
inline constexpr double lengthSpread = 0.44;
inline constexpr unsigned longOneIn = 10;
inline constexpr double longFactor = 3;
/// The longest stream takes nearly as long as its route's timeout.
inline constexpr long maxSoakEvents = 140;

inline unsigned drawEvents(double medianEvents, pcg32 &random)
{
    std::lognormal_distribution<double> lengths(std::log(medianEvents), lengthSpread);
    const double drawn = random(longOneIn) == 0 ? longFactor * medianEvents : lengths(random);
    return static_cast<unsigned>(std::clamp(std::lround(drawn), 1L, maxSoakEvents));
}

/// Draws which route a stream takes, and its length. Half of the streams, and all of a wave, take
/// the same one.
inline void drawStream(const StopSoak &soak, SentStream &stream, pcg32 &random)
{
    const bool usesWaveRoute = stream.m_isOfWave || random(2) == 0;
    const std::size_t drawn = random(static_cast<unsigned>(soak.m_usedRoutes));
    const SoakRoute &route = soakRoutes[usesWaveRoute ? soak.m_waveRoute.load() : drawn];
    stream.m_prefix = route.m_prefix;
    stream.m_events = drawEvents(route.m_medianEvents, random);
}

inline std::string headOf(const SentStream &stream, std::string_view framing)
{
    return fmt::format("POST {}{} HTTP/1.1\r\nHost: h.example\r\nGypsumdale-Request-Id: {}\r\n"
                       "Gypsumdale-Token-Usage: 10,{}\r\nAuthorization: Bearer key\r\n{}\r\n\r\n",
                       stream.m_prefix, stream.m_events, stream.m_id, maxSoakEvents, framing);
}

/// Sends a body in four chunks, over up to 2 s.
inline void sendSlowly(RawCaller &caller, const SentStream &stream, pcg32 &random)
{
    caller.write(headOf(stream, "Transfer-Encoding: chunked"));
    for (int chunk = 0; chunk < 4; ++chunk) {
        pauseMillis(random(500));
        caller.write("1\r\nx\r\n");
    }
    caller.write("0\r\n\r\n");
}

inline void sendWhole(RawCaller &caller, SentStream &stream, pcg32 &random)
{
    stream.m_startedAt = std::chrono::steady_clock::now();
    if (stream.m_way == Way::SlowBody)
        sendSlowly(caller, stream, random);
    else
        caller.write(headOf(stream, "Content-Length: 4") + "body");
    stream.m_sentAt = std::chrono::steady_clock::now();
    stream.m_isDueFrom = stream.m_sentAt;
}

/// Reads the rest of an answer whose head was read, and hands the request in for judgement.
inline void finish(StopSoak &soak, RawCaller &caller, SentStream stream)
{
    constexpr std::string_view lengthName = "Content-Length: ";
    const std::size_t lengthAt = stream.m_answer.find(lengthName);
    if (lengthAt != std::string::npos)
        stream.m_answer +=
                caller.readBytes(std::stoul(stream.m_answer.substr(lengthAt + lengthName.size())));
    else if (!stream.m_answer.empty())
        stream.m_answer += caller.readUntil(lastChunk);
    stream.m_endedAt = std::chrono::steady_clock::now();
    soak.note(std::move(stream));
}

/// Sends a request on a connection that is open, and where it goes behind another stream, a second
/// one while the first is forwarded.
inline void sendOn(StopSoak &soak, RawCaller &caller, SentStream stream, pcg32 &random)
{
    drawStream(soak, stream, random);
    sendWhole(caller, stream, random);
    stream.m_answer = caller.readUntil(headEnd);
    if (stream.m_way != Way::BehindStream || !stream.m_answer.starts_with("HTTP/1.1 200")) {
        finish(soak, caller, std::move(stream));
        return;
    }
    SentStream second = stream;
    second.m_id += "-second";
    drawStream(soak, second, random);
    pauseMillis(random(1000));
    sendWhole(caller, second, random);
    finish(soak, caller, std::move(stream));
    second.m_isDueFrom = std::max(second.m_sentAt, std::chrono::steady_clock::now());
    // Its timeout counts from when the VM reads it.
    second.m_startedAt = std::max(second.m_startedAt, second.m_isDueFrom);
    second.m_answer = caller.readUntil(headEnd);
    finish(soak, caller, std::move(second));
}

/// Connects and sends a request, or does nothing where the VM accepts no connections.
inline void sendOne(StopSoak &soak, SentStream stream, std::uint64_t waitMillis, pcg32 &random)
{
    RawCaller caller;
    if (!caller.connect(soak.m_world.node(stream.m_node).m_callerPort)) {
        pauseMillis(20);
        return;
    }
    pauseMillis(waitMillis);
    sendOn(soak, caller, std::move(stream), random);
}

/// Sends one request after another, to any VM, in every way.
inline void sendUntilOver(StopSoak &soak, std::size_t number)
{
    pcg32 random(soak.m_seed, 100 + number);
    for (int count = 0; !soak.m_isOver; ++count) {
        SentStream stream;
        stream.m_id = fmt::format("c{}-{}", number, count);
        stream.m_node = random(static_cast<unsigned>(soak.m_world.nodeCount()));
        stream.m_way = static_cast<Way>(random(wayNames.size()));
        sendOne(soak, stream, stream.m_way == Way::OpenConnection ? random(4000) : 0, random);
        pauseMillis(random(600));
    }
}

/// Sends on new connections while there is a wave.
inline void sendInWaves(StopSoak &soak, std::size_t number)
{
    pcg32 random(soak.m_seed, 1000 + number);
    for (int count = 0; !soak.m_isOver; ++count) {
        while (!soak.m_isWave && !soak.m_isOver)
            pauseMillis(10);
        pauseMillis(random(500));
        SentStream stream;
        stream.m_isOfWave = true;
        stream.m_id = fmt::format("w{}-{}", number, count);
        stream.m_node = soak.m_waveNode;
        sendOne(soak, std::move(stream), 0, random);
    }
}

/// Opens a connection whenever a VM is stopped, and sends on it when the VM accepts no further
/// ones: from 2.6 s after the signal on, so that most requests of these callers arrive late.
inline void sendLateInStops(StopSoak &soak, std::size_t node, std::size_t number)
{
    pcg32 random(soak.m_seed, 2000 + 100 * node + number);
    constexpr unsigned lateMillis = 2600;
    unsigned stops = 0;
    for (int count = 0; !soak.m_isOver; ++count) {
        while (soak.m_stopCounts[node] == stops && !soak.m_isOver)
            pauseMillis(5);
        stops = soak.m_stopCounts[node];
        const unsigned connectMillis = random(2200);
        pauseMillis(connectMillis);
        SentStream stream;
        stream.m_isOfWave = random(4) != 0;
        stream.m_id = fmt::format("l{}-{}-{}", node, number, count);
        stream.m_node = node;
        stream.m_way = random(4) != 0 ? Way::OpenConnection : Way::SlowBody;
        sendOne(soak, std::move(stream), lateMillis - connectMillis + random(1000), random);
    }
}

} // namespace gypsumdale::testing
