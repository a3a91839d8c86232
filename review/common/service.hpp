// Stand-ins for runners of plain services and for clients.
#pragma once

#include "platform.hpp"

namespace review {

// What a runner has begun to work on.
struct Run
{
    std::string m_request;
    std::string m_runner;
    double m_at = 0;
};

// All runs of a case, in the order in which they began.
class Runs
{
public:
    explicit Runs(Record &record)
        : m_record(record)
    {}
    void add(const std::string &request, const std::string &runner)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[request].push_back({request, runner, m_record.now()});
    }
    std::vector<Run> of(const std::string &request)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_runs.find(request);
        return found == m_runs.end() ? std::vector<Run>() : found->second;
    }
    std::map<std::string, std::vector<Run>> all()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    Record &m_record;
    std::mutex m_mutex;
    std::map<std::string, std::vector<Run>> m_runs;
};

// A runner of a plain service: works on `slots` requests at once, queues a few more, and refuses
// the others as not executed. It drops the work whose connection closes.
class PlainRunner
{
public:
    PlainRunner(Store &store, Runs &runs, std::string service, std::string zone, int slots,
                int workMs, const std::string &ip = "127.0.0.1")
        : m_runs(runs)
        , m_id("i-" + requestId())
        , m_slots(slots)
        , m_workMs(workMs)
        , m_port(freePort(ip))
        , m_server(ip, m_port, [this](Socket &socket) { serve(socket); })
    {
        store.put("servers", m_id,
                  {{"service", service},
                   {"address", ip + ":" + std::to_string(m_port)},
                   {"zone", zone},
                   {"version", "v1"},
                   {"slots", slots},
                   {"state", "ready"},
                   {"cold-remaining-ms", 0},
                   {"sequence", 1}});
    }
    const std::string &id() const { return m_id; }
    std::uint16_t port() const { return m_port; }

private:
    void serve(Socket &socket)
    {
        Request request;
        while (readRequest(socket, request, 15000)) {
            const std::string id = request.field("Gypsumdale-Request-Id");
            const std::string expected = request.field("Gypsumdale-Expect-Instance");
            if (!expected.empty() && expected != m_id) {
                if (!socket.write(message(421, {{"Gypsumdale-Instance-Id", m_id}}, "")))
                    return;
                continue;
            }
            if (!enter(socket)) {
                if (!socket.write(message(
                            503, {{"Gypsumdale-Not-Executed", "1"}, {"Gypsumdale-Request-Id", id}},
                            "")))
                    return;
                continue;
            }
            m_runs.add(id, m_id);
            const bool isWanted = work(socket);
            leave();
            const std::string body = "answer to " + id;
            if (!isWanted
                || !socket.write(message(200,
                                         {{"Gypsumdale-Request-Id", id},
                                          {"Gypsumdale-Response-Signature",
                                           "sig." + id + "." + std::to_string(body.size())}},
                                         body)))
                return;
        }
    }
    bool enter(Socket &socket)
    {
        std::unique_lock lock(m_mutex);
        if (m_running >= m_slots && m_waiting >= 24)
            return false;
        ++m_waiting;
        while (m_running >= m_slots && !socket.isGone())
            m_freed.wait_for(lock, std::chrono::milliseconds(20));
        --m_waiting;
        ++m_running;
        return true;
    }
    void leave()
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        m_freed.notify_all();
    }
    bool work(Socket &socket)
    {
        const auto begun = Clock::now();
        while (secondsSince(begun) * 1000 < m_workMs) {
            if (socket.isGone())
                return false;
            sleepMs(5);
        }
        return true;
    }

    Runs &m_runs;
    std::string m_id;
    int m_slots;
    int m_workMs;
    std::mutex m_mutex;
    std::condition_variable m_freed;
    int m_running = 0;
    int m_waiting = 0;
    std::uint16_t m_port;
    Server m_server;
};

} // namespace review
