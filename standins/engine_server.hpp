#pragma once

#include "standins/engine.hpp"
#include "standins/fault_plan.hpp"
#include "standins/lifetime.hpp"

#include <gypsumdale/runtime/http_server.hpp>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <string> // string

namespace gypsumdale::standins {

/// Serves the HTTP interface of a model engine on an Engine. All calls run on one loop.
class EngineServer
{
public:
    EngineServer(EngineSettings settings, const Clock &clock);

    void handle(const HttpRequest &request, HttpResponder &responder);

    Lifetime &lifetime() { return m_lifetime; }
    FaultPlan &faults() { return m_faults; }

private:
    struct Stream;

    void complete(const HttpRequest &request, HttpResponder &responder);
    bool passesFaults(const std::string &line, HttpResponder &responder);
    bool waitForSlot(SequenceId id, HttpResponder &responder);
    void stream(Stream &stream, HttpResponder &responder);
    bool writeToken(Stream &stream, const Token &token, HttpResponder &responder);
    void sendCompleteAnswer(Stream &stream, HttpResponder &responder);
    bool applyStreamFault(const Stream &stream, HttpResponder &responder);
    HttpReply answerAuxiliaryCall(const HttpRequest &request);
    HttpReply answerLoad(const std::string &line);
    HttpReply answerSession(const HttpRequest &request);
    HttpReply answerOrder(const HttpRequest &request);
    HttpReply answerCounters() const;

    const Clock &m_clock;
    Engine m_engine;
    FaultPlan m_faults;
    Lifetime m_lifetime;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_slotFreed;
};

} // namespace gypsumdale::standins
