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

/// Sends one HTTP request; HttpClient::call in the program, a fake in tests.
using Transport = std::function<CallResult<HttpReply>(const HttpCall &)>;

/// Whether a call may be sent to a second entry after a first one may have read it.
enum class Resend {
    /// The call only reads, or a second run changes nothing.
    Always,
    /// The call writes; sent again only if no byte of it can have arrived.
    IfUnread,
};

struct AdminCall
{
    std::string m_method = "GET";
    std::string m_target;
    std::string m_body;
    Resend m_resend = Resend::Always;
    /// Whether an entry that answers "not found" is passed over, as another one may know it.
    bool m_asksEachEntry = false;
};

/// Why no entry answered.
struct AdminFailure
{
    std::string m_text;
    /// Whether an entry may have read the call and acted on it.
    bool m_mayHaveActed = false;
};

using AdminResult = std::variant<HttpReply, AdminFailure>;

/// Calls the admin interface of whichever entry VM answers. The entries are tried in order,
/// beginning with the one that answered last; one that can't be reached, or says that it is not
/// ready or draining, is passed over.
class AdminClient
{
public:
    AdminClient(std::vector<Endpoint> entries, std::string credential, Transport transport);

    AdminResult call(const AdminCall &call);
    AdminResult get(const std::string &target);

    /// Returns the entry that answered last, as "127.0.0.1:8081". Constant.
    std::string currentEntry() const;

private:
    CallResult<HttpReply> send(const Endpoint &entry, const AdminCall &call) const;

    std::vector<Endpoint> m_entries;
    std::string m_credential;
    Transport m_transport;
    std::size_t m_current = 0;
};

/// Reads "ADDRESS:PORT", the address being an IP number, one of version 6 in brackets. Linear.
Result<Endpoint> parseEntry(std::string_view text);

/// Writes an entry as parseEntry() reads it.
std::string entryText(const Endpoint &entry);

/// Writes a text so that it can be one segment of a target. Linear.
std::string encodeSegment(std::string_view text);

} // namespace gypsumdale::ctl
