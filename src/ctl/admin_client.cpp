#include <ctl/admin_client.hpp>
#include <ctl/admin_reply.hpp>

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>

#include <charconv> // from_chars
#include <cstdint> // uint16_t
#include <optional> // optional
#include <utility> // move
#include <variant> // get_if

namespace gypsumdale::ctl {

namespace {

constexpr auto connectTimeout = std::chrono::seconds(2);
constexpr auto answerTimeout = std::chrono::seconds(15);

/// Returns whether an entry refused a call because of its own state, before the call had any
/// effect.
bool shouldTryNextEntry(const HttpReply &reply, const AdminCall &call)
{
    const std::optional<ErrorReply> error = readErrorReply(reply);
    if (!error)
        return false;
    if (error->m_id == ErrorId::NotFound)
        return call.m_retriesNotFound;
    return error->m_id == ErrorId::NotReady || error->m_id == ErrorId::Draining;
}

/// Formats why an entry did not answer, preceded by its address unless the reason begins with it.
std::string failureLine(const Endpoint &entry, const CallFailure &reason)
{
    const std::string address = entryText(entry);
    if (reason.m_error.m_text.starts_with(address))
        return reason.m_error.m_text + '\n';
    return fmt::format("{}: {}\n", address, reason.m_error.m_text);
}

} // namespace

AdminClient::AdminClient(std::vector<Endpoint> entries, std::string credential, Transport transport)
    : m_entries(std::move(entries))
    , m_credential(std::move(credential))
    , m_transport(std::move(transport))
{}

CallResult<HttpReply> AdminClient::send(const Endpoint &entry, const AdminCall &call) const
{
    HttpCall request;
    request.m_endpoint = entry;
    request.m_method = call.m_method;
    request.m_target = call.m_target;
    request.m_body = call.m_body;
    request.m_connectTimeout = connectTimeout;
    request.m_headerTimeout = answerTimeout;
    request.m_silenceTimeout = answerTimeout;
    request.m_requiresNewConnection = call.m_resend == Resend::IfNothingSent;
    if (!m_credential.empty())
        request.m_headers.add("Authorization", "Bearer " + m_credential);
    return m_transport(request);
}

AdminResult AdminClient::call(const AdminCall &call)
{
    AdminFailure failure;
    std::optional<HttpReply> refusal;
    for (std::size_t attempt = 0; attempt < m_entries.size(); ++attempt) {
        const std::size_t index = (m_current + attempt) % m_entries.size();
        CallResult<HttpReply> result = send(m_entries[index], call);
        if (auto *reply = std::get_if<HttpReply>(&result)) {
            if (!shouldTryNextEntry(*reply, call)) {
                m_current = index;
                return std::move(*reply);
            }
            refusal = std::move(*reply);
            continue;
        }
        const CallFailure &reason = std::get<CallFailure>(result);
        failure.m_text += failureLine(m_entries[index], reason);
        const bool mayHaveBeenRead = reason.m_phase != SendPhase::NothingSent;
        if (mayHaveBeenRead && call.m_resend == Resend::IfNothingSent) {
            failure.m_mayHaveTakenEffect = true;
            return failure;
        }
    }
    if (refusal)
        return std::move(*refusal);
    return failure;
}

AdminResult AdminClient::get(const std::string &target)
{
    return call({"GET", target, "", Resend::Always, false});
}

std::string AdminClient::currentEntry() const
{
    return m_entries.empty() ? std::string() : entryText(m_entries[m_current]);
}

Result<Endpoint> parseEntry(std::string_view text)
{
    const Error failure{ErrorId::RequestMalformed,
                        fmt::format("'{}' is not ADDRESS:PORT with an IP number, such as "
                                    "127.0.0.1:8081 or [::1]:8081",
                                    text)};
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return failure;
    std::string_view host = text.substr(0, colon);
    const std::string_view digits = text.substr(colon + 1);
    const bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    boost::system::error_code badAddress;
    const auto address = boost::asio::ip::make_address(std::string(host), badAddress);
    std::uint16_t port = 0;
    const auto [stop, badPort] =
            std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool isPort = badPort == std::errc() && stop == digits.data() + digits.size();
    if (badAddress || address.is_v6() != isBracketed || !isPort || port == 0)
        return failure;
    return Endpoint{std::string(host), port};
}

std::string entryText(const Endpoint &entry)
{
    const bool isV6 = entry.m_address.find(':') != std::string::npos;
    const std::string host = isV6 ? '[' + entry.m_address + ']' : entry.m_address;
    return fmt::format("{}:{}", host, entry.m_port);
}

} // namespace gypsumdale::ctl
