#pragma once

#include <gypsumdale/runtime/http_client.hpp>

#include <nlohmann/json.hpp>

#include <mutex> // mutex, scoped_lock
#include <string> // string
#include <vector> // vector

namespace gypsumdale::testing {

/// What a caller has received of one streamed answer, over all connections on which it read it.
/// Written on the loop, read by the test's thread.
class AnswerStream
{
    template <typename Work>
    auto locked(Work work) const
    {
        const std::scoped_lock lock(m_mutex);
        return work();
    }

public:
    std::size_t tokens() const
    {
        return locked([&] { return m_tokens.size(); });
    }
    std::string job() const
    {
        return locked([&] { return m_job; });
    }
    std::string lastId() const
    {
        return locked([&] { return m_lastId; });
    }
    int status() const
    {
        return locked([&] { return m_status; });
    }
    /// Returns the body of an answer that is no stream, the last error event, or why the call
    /// failed.
    std::string note() const
    {
        return locked([&] { return m_note; });
    }
    /// Returns whether the connection has ended, however it ended.
    bool isEnded() const
    {
        return locked([&] { return m_isEnded; });
    }
    /// Returns whether the answer's end marker arrived and the body ended properly.
    bool isWhole() const
    {
        return locked([&] { return m_isDone && m_isEnded && !m_isCut; });
    }
    /// Returns whether the last end marker that was read says that another answer may follow.
    bool isProvisional() const
    {
        return locked([&] { return m_isProvisional; });
    }
    int cutBacks() const
    {
        return locked([&] { return m_cutBacks; });
    }

    std::string text() const
    {
        return locked([&] {
            std::string text;
            for (const std::string &token : m_tokens)
                text += token;
            return text;
        });
    }

    void begin()
    {
        locked([&] {
            m_isEnded = false;
            m_isCut = false;
            m_rest.clear();
        });
    }

    /// Reads one connection to its end. Called in a fiber of the client's loop.
    void readFrom(HttpClient &client, const HttpCall &call)
    {
        auto opened = client.open(call);
        if (const auto *failure = std::get_if<CallFailure>(&opened)) {
            locked([&] { end(true, failure->m_error.m_text); });
            return;
        }
        HttpExchange exchange = std::get<HttpExchange>(std::move(opened));
        locked([&] {
            m_status = exchange.status();
            if (const auto job = exchange.headers().find("X-Job-Id"))
                m_job = *job;
        });
        for (;;) {
            auto piece = exchange.read();
            if (const auto *failure = std::get_if<CallFailure>(&piece)) {
                locked([&] { end(true, failure->m_error.m_text); });
                return;
            }
            const auto &bytes = std::get<std::optional<std::string>>(piece);
            if (!bytes) {
                locked([&] { end(false, m_status == 200 ? m_note : m_rest); });
                return;
            }
            locked([&] { take(*bytes); });
        }
    }

private:
    void end(bool isCut, std::string note)
    {
        m_isCut = isCut;
        m_note = std::move(note);
        m_isEnded = true;
    }

    void take(const std::string &bytes)
    {
        m_rest += bytes;
        for (std::size_t at = m_rest.find("\n\n"); at != std::string::npos;
             at = m_rest.find("\n\n")) {
            takeEvent(m_rest.substr(0, at));
            m_rest.erase(0, at + 2);
        }
    }

    static std::string field(const std::string &event, const std::string &name)
    {
        const std::string text = "\n" + event + "\n";
        const std::size_t at = text.find("\n" + name + ": ");
        if (at == std::string::npos)
            return {};
        const std::size_t from = at + name.size() + 3;
        return text.substr(from, text.find('\n', from) - from);
    }

    void takeEvent(const std::string &event)
    {
        const std::string name = field(event, "event");
        const std::string data = field(event, "data");
        if (data == "[DONE]") {
            m_isDone = true;
            return;
        }
        const auto document = nlohmann::json::parse(data, nullptr, false);
        if (name == "cut-back") {
            ++m_cutBacks;
            m_lastId = document.value("position", "");
            m_tokens.resize(std::stoul(m_lastId.substr(m_lastId.find(':') + 1)));
            return;
        }
        if (!name.empty()) {
            m_note = event;
            return;
        }
        if (!document.is_object())
            return;
        if (!document.contains("token_index")) {
            m_isProvisional = document.value("provisional", false);
            return;
        }
        // Appended in order of arrival, so that a duplicate or missing event shows in the text.
        m_tokens.push_back(document["choices"][0]["delta"]["content"].get<std::string>());
        if (const std::string id = field(event, "id"); !id.empty())
            m_lastId = id;
    }

    mutable std::mutex m_mutex;
    std::vector<std::string> m_tokens;
    std::string m_rest;
    std::string m_job;
    std::string m_lastId;
    std::string m_note;
    int m_status = 0;
    int m_cutBacks = 0;
    bool m_isDone = false;
    bool m_isProvisional = false;
    bool m_isEnded = false;
    bool m_isCut = false;
};

} // namespace gypsumdale::testing
