#include <runtime/detail/call_failure.hpp>

#include <fmt/format.h>

namespace gypsumdale::detail {

std::string nameOf(const Endpoint &endpoint)
{
    const bool isVersion6 = endpoint.m_address.find(':') != std::string::npos;
    if (isVersion6)
        return fmt::format("[{}]:{}", endpoint.m_address, endpoint.m_port);
    return fmt::format("{}:{}", endpoint.m_address, endpoint.m_port);
}

CallFailure failure(SendPhase phase, ErrorId id, const Endpoint &endpoint, std::string_view what)
{
    return CallFailure{Error{id, fmt::format("{}: {}", nameOf(endpoint), what)}, phase};
}

CallFailure connectFailure(const Endpoint &endpoint, StreamStatus status)
{
    if (status == StreamStatus::TimedOut)
        return failure(SendPhase::NothingSent, ErrorId::Timeout, endpoint, "connecting timed out");
    if (status == StreamStatus::Closed)
        return failure(SendPhase::NothingSent, ErrorId::Cancelled, endpoint, "cancelled");
    if (status == StreamStatus::Ended)
        return connectionReset(endpoint);
    return failure(SendPhase::NothingSent, ErrorId::UpstreamUnreachable, endpoint,
                   "cannot connect");
}

CallFailure connectionReset(const Endpoint &endpoint)
{
    return failure(SendPhase::NothingSent, ErrorId::ConnectionClosed, endpoint,
                   "the connection was reset before anything was sent");
}

CallFailure deadlinePassed(const Endpoint &endpoint)
{
    return failure(SendPhase::NothingSent, ErrorId::TermOver, endpoint,
                   "the delivery deadline passed before sending");
}

} // namespace gypsumdale::detail
