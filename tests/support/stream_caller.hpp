#pragma once

#include "support/raw_caller.hpp"

#include <fmt/format.h>

#include <cstdint> // uint16_t
#include <regex> // regex, sregex_iterator
#include <set> // set
#include <string> // string
#include <string_view> // string_view
#include <utility> // move

namespace gypsumdale::testing {

/// Names an event's number and the software version that made it.
inline std::string versionEvent(std::string_view version, int number)
{
    return fmt::format("id: {}\ndata: {}-{}\n\n", number, version, number);
}

/// What a client holds of one stream, over all its attempts.
struct ReceivedStream
{
    std::set<std::string> m_versions;
    int m_lastEvent = 0;
    /// An event was missing, or came twice.
    bool m_hasGap = false;
    bool m_isWhole = false;
};

/// Client that reads a stream, and takes it up again where an attempt was cut off.
class StreamCaller
{
public:
    explicit StreamCaller(std::string target)
        : m_target(std::move(target))
    {}

    const ReceivedStream &received() const { return m_received; }

    /// Makes one attempt at a VM. It names the attempt that brought the first event, if there was
    /// one. Returns the answer's status; 0 if there was none.
    int attempt(std::uint16_t port, const std::string &id)
    {
        RawCaller caller;
        if (!caller.connect(port))
            return 0;
        caller.write(requestText(id));
        return takeAnswer(caller.readToEnd(), id);
    }

    /// Begins an attempt and returns when its first event has arrived, or its connection ended.
    bool begin(std::uint16_t port, const std::string &id)
    {
        if (!m_caller.connect(port))
            return false;
        m_caller.write(requestText(id));
        m_begun = m_caller.readUntil("\n\n");
        m_begunId = id;
        return m_begun.find("data: ") != std::string::npos;
    }

    /// Reads the rest of the attempt that was begun.
    int finish() { return takeAnswer(m_begun + m_caller.readToEnd(), m_begunId); }

    const std::string &lastAnswer() const { return m_lastAnswer; }

private:
    std::string requestText(const std::string &id) const
    {
        std::string takeUp;
        if (!m_firstEventId.empty())
            takeUp = fmt::format("Resumes: {}\r\nLast-Event-Id: {}\r\n", m_firstEventId,
                                 m_received.m_lastEvent);
        return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nGypsumdale-Request-Id: {}\r\n"
                           "Gypsumdale-Deadline-Ms: 20000\r\nAuthorization: Bearer key\r\n{}"
                           "Connection: close\r\nContent-Length: 4\r\n\r\nbody",
                           m_target, id, takeUp);
    }

    int takeAnswer(const std::string &answer, const std::string &id)
    {
        m_lastAnswer = answer;
        constexpr std::string_view statusLine = "HTTP/1.1 ";
        if (!answer.starts_with(statusLine))
            return 0;
        const int status = std::stoi(answer.substr(statusLine.size(), 3));
        if (status != 200)
            return status;
        static const std::regex eventPattern("data: ([^\\s-]+)-(\\d+)\n\n");
        const std::sregex_iterator end;
        for (std::sregex_iterator event(answer.begin(), answer.end(), eventPattern); event != end;
             ++event) {
            if (m_firstEventId.empty())
                m_firstEventId = id;
            m_received.m_versions.insert((*event)[1]);
            const int number = std::stoi((*event)[2]);
            m_received.m_hasGap |= number != m_received.m_lastEvent + 1;
            m_received.m_lastEvent = number;
        }
        m_received.m_isWhole = answer.ends_with("0\r\n\r\n");
        return status;
    }

    std::string m_target;
    ReceivedStream m_received;
    /// The attempt that brought the first event.
    std::string m_firstEventId;
    RawCaller m_caller;
    std::string m_begun;
    std::string m_begunId;
    std::string m_lastAnswer;
};

} // namespace gypsumdale::testing
