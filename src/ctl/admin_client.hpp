#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/runtime/http_client.hpp>

#include <cstddef> // size_t
#include <functional> // function
#include <string> // string
#include <string_view> // string_view
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale::ctl {

/// Sends one HTTP request: HttpClient::call in the program, a fake in tests.
using Transport = std::function<CallResult<HttpReply>(const HttpCall &)>;

/// When a call may be sent to another entry after one entry may have read it.
enum class Resend {
    /// The call is idempotent: it only reads, or a second run changes nothing.
    Always,
    /// The call writes: it is sent again only if no byte of it can have arrived.
    IfNothingSent,
};

struct AdminCall
{
    std::string m_method = "GET";
    std::string m_target;
    std::string m_body;
    Resend m_resend = Resend::Always;
    /// Whether "not found" makes the client try the next entry, which may know the object.
    bool m_retriesNotFound = false;
};

/// Reason for which no entry answered.
struct AdminFailure
{
    std::string m_text;
    /// Whether an entry may have read the call and acted on it.
    bool m_mayHaveTakenEffect = false;
};

using AdminResult = std::variant<HttpReply, AdminFailure>;

/// Calls the admin interface of the first entry VM that answers. The entries are tried in order,
/// starting with the one that answered last; an entry that is unreachable, not ready or draining is
/// skipped.
class AdminClient
{
public:
    AdminClient(std::vector<Endpoint> entries, std::string credential, Transport transport);

    AdminResult call(const AdminCall &call);
    AdminResult get(const std::string &target);

    /// Returns the entry that answered last, such as "127.0.0.1:8081". Complexity: constant.
    std::string currentEntry() const;

private:
    CallResult<HttpReply> send(const Endpoint &entry, const AdminCall &call) const;

    std::vector<Endpoint> m_entries;
    std::string m_credential;
    Transport m_transport;
    std::size_t m_current = 0;
};

/// Parses "ADDRESS:PORT", where ADDRESS is an IPv4 address or an IPv6 address in brackets.
/// Complexity: linear.
Result<Endpoint> parseEntry(std::string_view text);

/// Formats an entry in the format that parseEntry() reads.
std::string entryText(const Endpoint &entry);

} // namespace gypsumdale::ctl
