#pragma once

#include <gypsumdale/runtime/http_server.hpp>

#include <string> // string

namespace gypsumdale::standins {

/// Stores an answer in memory instead of sending it, for calls without a connection of their own.
class BufferedResponder : public HttpResponder
{
public:
    bool send(const HttpReply &reply) override
    {
        m_reply = reply;
        m_complete = true;
        return !m_callerGone;
    }
    bool begin(int status, const HttpHeaders &headers) override
    {
        m_reply.m_status = status;
        m_reply.m_headers = headers;
        return !m_callerGone;
    }
    bool write(std::string_view chunk) override
    {
        m_reply.m_body += chunk;
        return !m_callerGone;
    }
    bool finish() override
    {
        m_complete = true;
        return !m_callerGone;
    }
    bool isCallerGone() const override { return m_callerGone; }
    void onCallerGone(std::function<void()> action) override
    {
        m_callerGoneAction = std::move(action);
    }

    /// Simulates that the caller closed its connection.
    void leave()
    {
        m_callerGone = true;
        if (m_callerGoneAction)
            m_callerGoneAction();
    }

    const HttpReply &reply() const { return m_reply; }

    /// Returns whether the answer was finished and not cut off.
    bool isWhole() const { return m_complete; }

private:
    HttpReply m_reply;
    std::function<void()> m_callerGoneAction;
    bool m_complete = false;
    bool m_callerGone = false;
};

} // namespace gypsumdale::standins
