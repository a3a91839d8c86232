#pragma once

#include "support/entry_world.hpp"
#include "support/raw_caller.hpp"
#include "support/raw_upstream.hpp"

#include <fmt/format.h>

#include <cstddef> // size_t
#include <optional> // optional
#include <string> // string

namespace gypsumdale::testing {

/// A caller's request.
struct RawRequest
{
    std::string m_target;
    std::string m_version = "HTTP/1.1";
    /// Further lines of the head.
    std::string m_fields = "Connection: close\r\n";
    std::string m_body{};
};

/// VMs before one upstream whose bytes a test gives.
struct RawUpstreamWorld : EntryWorld
{
    explicit RawUpstreamWorld(int nodes = 1, bool hasProxies = false,
                              std::optional<int> retrySlack = std::nullopt)
        : EntryWorld(nodes, hasProxies, std::nullopt, {"v1"}, retrySlack)
    {}

    std::string rawAddress() const { return fmt::format("127.0.0.1:{}", m_raw.port()); }

    /// Lists the upstream under an id. Under several ids it counts as several upstreams.
    void list(const std::string &id)
    {
        store().put("servers", id,
                    {{"service", "app"},
                     {"address", rawAddress()},
                     {"zone", "here"},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"}});
    }

    /// Returns all that a caller receives on its connection.
    std::string send(const std::string &target, std::size_t index = 0,
                     const std::string &version = "HTTP/1.1")
    {
        RawRequest request;
        request.m_target = target;
        request.m_version = version;
        return send(request, index);
    }

    std::string send(const RawRequest &request, std::size_t index = 0)
    {
        RawCaller caller;
        caller.connect(node(index).m_callerPort);
        caller.write(textOf(request));
        return caller.readToEnd();
    }

    /// Returns the bytes of a request, with an id of its own.
    std::string textOf(const RawRequest &request)
    {
        return fmt::format("POST {} {}\r\nHost: h.example\r\n"
                           "Gypsumdale-Request-Id: r-{}\r\nGypsumdale-Deadline-Ms: 3000\r\n"
                           "Authorization: Bearer key\r\n{}Content-Length: {}\r\n\r\n{}",
                           request.m_target, request.m_version, ++m_sent, request.m_fields,
                           request.m_body.size(), request.m_body);
    }

    /// Returns the id of the request that was sent last.
    std::string lastId() const { return fmt::format("r-{}", m_sent); }

    /// Waits until the first VM has logged a text.
    void waitUntilLogged(const std::string &text)
    {
        waitUntil(text + " is logged",
                  [&] { return fullLog(node()).find(text) != std::string::npos; });
    }

    static bool isSuccess(const std::string &answer) { return answer.starts_with("HTTP/1.1 200"); }

    /// Returns whether an answer with chunks has its last one.
    static bool ends(const std::string &answer)
    {
        const bool isChunked = answer.find("chunked") != std::string::npos;
        return !isChunked || answer.ends_with("0\r\n\r\n");
    }

    RawUpstream m_raw;

private:
    int m_sent = 0;
};

} // namespace gypsumdale::testing
