#pragma once

#include <gypsumdale/runtime/http_server.hpp>

#include <algorithm> // any_of
#include <cstddef> // size_t
#include <functional> // plus
#include <numeric> // transform_reduce
#include <utility> // move
#include <vector> // vector

namespace gypsumdale {

/// The servers that take requests, of callers and of peers, which stop together. See HttpServer.
class RequestServers
{
public:
    void add(HttpServer server) { m_servers.push_back(std::move(server)); }

    void limitTo(const HttpLimits &limits)
    {
        for (HttpServer &server : m_servers)
            server.limitTo(limits);
    }
    void announceClose()
    {
        for (HttpServer &server : m_servers)
            server.announceClose();
    }
    void stopAccepting()
    {
        for (HttpServer &server : m_servers)
            server.stopAccepting();
    }
    void abortAnswers()
    {
        for (HttpServer &server : m_servers)
            server.abortAnswers();
    }
    bool hasCallers() const
    {
        return std::any_of(m_servers.begin(), m_servers.end(),
                           [](const HttpServer &server) { return server.hasCallers(); });
    }
    std::size_t requestsArriving() const { return sum(&HttpServer::requestsArriving); }
    std::size_t requestsBrokenOff() const { return sum(&HttpServer::requestsBrokenOff); }
    std::size_t requestsWithoutMemory() const { return sum(&HttpServer::requestsWithoutMemory); }
    std::size_t requestsInFlight() const { return sum(&HttpServer::requestsInFlight); }
    std::size_t connections() const { return sum(&HttpServer::connections); }
    HttpTraffic traffic() const
    {
        HttpTraffic result;
        for (const HttpServer &server : m_servers) {
            const HttpTraffic traffic = server.traffic();
            result.m_bytesReceived += traffic.m_bytesReceived;
            result.m_bytesSent += traffic.m_bytesSent;
        }
        return result;
    }

private:
    std::size_t sum(std::size_t (HttpServer::*number)() const) const
    {
        return std::transform_reduce(
                m_servers.begin(), m_servers.end(), std::size_t{0}, std::plus<>(),
                [number](const HttpServer &server) { return (server.*number)(); });
    }

    std::vector<HttpServer> m_servers;
};

} // namespace gypsumdale
