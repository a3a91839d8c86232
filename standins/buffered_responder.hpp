#pragma once

#include <gypsumdale/runtime/http_server.hpp>

#include <string> // string

namespace gypsumdale::standins {

/// Keeps an answer instead of sending it, for calls that come without a connection of their own.
class BufferedResponder : public HttpResponder
{
public:
    bool send(const HttpReply &reply) override
    {
        m_reply = reply;
        m_whole = true;
        return !m_gone;
    }
    bool begin(int status, const HttpHeaders &headers) override
    {
        m_reply.m_status = status;
        m_reply.m_headers = headers;
        return !m_gone;
    }
    bool write(std::string_view chunk) override
    {
        m_reply.m_body += chunk;
        return !m_gone;
    }
    bool finish() override
    {
        m_whole = true;
        return !m_gone;
    }
    bool callerGone() const override { return m_gone; }
    void onCallerGone(std::function<void()> action) override { m_action = std::move(action); }

    /// Behaves from now on as if the caller had closed its connection.
    void leave()
    {
        m_gone = true;
        if (m_action)
            m_action();
    }

    const HttpReply &reply() const { return m_reply; }

    /// Tells whether the answer came to its proper end.
    bool isWhole() const { return m_whole; }

private:
    HttpReply m_reply;
    std::function<void()> m_action;
    bool m_whole = false;
    bool m_gone = false;
};

} // namespace gypsumdale::standins
