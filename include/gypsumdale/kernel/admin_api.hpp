#pragma once

#include <gypsumdale/kernel/traffic.hpp>
#include <gypsumdale/runtime/http_server.hpp>
#include <gypsumdale/settings/account_table.hpp>

#include <string> // string
#include <string_view> // string_view

namespace gypsumdale {

/// HTTP interface for operators, see docs/ADMIN-API.md. Runs in the fibers of the traffic loops.
class AdminApi
{
public:
    AdminApi(Traffic &traffic, OperatorTable operators);

    /// Handles a request.
    void handle(const HttpRequest &request, HttpResponder &responder);

private:
    HttpReply answer(const HttpRequest &request);
    HttpReply answerOperator(const HttpRequest &request);
    HttpReply metricsReply();
    HttpReply statusReply();
    HttpReply nodesReply();
    HttpReply upstreamsReply();
    HttpReply membersReply();
    HttpReply jobsReply();
    HttpReply configListReply();
    HttpReply configReply(const HttpRequest &request, std::string_view rest);
    HttpReply configGetReply(const ConfigKey &key);
    HttpReply configPutReply(const HttpRequest &request, const ConfigKey &key);
    HttpReply rolloutReply(std::string_view rest);
    HttpReply explainReply(std::string_view rest);
    HttpReply drainReply(const HttpRequest &request);

    Traffic &m_traffic;
    OperatorTable m_operators;
    TimePoint m_startedAt;
    std::string m_writePrefix;
    std::atomic<std::uint64_t> m_writes = 0;
};

} // namespace gypsumdale
