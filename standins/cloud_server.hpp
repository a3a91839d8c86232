#pragma once

#include "standins/cloud.hpp"
#include "standins/fault_plan.hpp"
#include "standins/lifetime.hpp"

#include <gypsumdale/runtime/http_client.hpp>
#include <gypsumdale/runtime/http_server.hpp>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <functional> // function
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale::standins {

/// Settings of the cloud stand-in.
struct CloudSettings
{
    Duration m_listLag = std::chrono::seconds(2);
    /// Time from a rental until the VM's service answers.
    Duration m_startTime = std::chrono::seconds(1);
    std::vector<Vm> m_vms;
    std::vector<Price> m_prices;
};

/// Starts the service of a rented VM and returns its port, or nothing if the start fails.
using VmStarter = std::function<std::optional<std::uint16_t>(const Vm &vm)>;

/// Serves the cloud API of docs/PLATFORM.md on a Cloud. All calls run on one loop.
class CloudServer
{
public:
    CloudServer(CloudSettings settings, const Clock &clock, FiberLoop &loop);

    void handle(const HttpRequest &request, HttpResponder &responder);

    /// Sets the function that starts services on rented VMs; without it a rental has no port.
    void setStarter(VmStarter starter) { m_starter = std::move(starter); }

    Lifetime &lifetime() { return m_lifetime; }
    FaultPlan &faults() { return m_faults; }

private:
    HttpReply answer(const HttpRequest &request, HttpResponder &responder);
    HttpReply listVms(const std::string &line);
    HttpReply rent(const HttpRequest &request, const std::string &line);
    HttpReply releaseVm(const std::string &id);
    HttpReply listPrices() const;
    HttpReply setPrices(const Json &body);
    HttpReply waitForNotices(const HttpRequest &request, HttpResponder &responder);
    HttpReply reclaim(const Json &body);
    void removeVms(const std::vector<std::string> &ids, bool kill);
    void kill(const Vm &vm);

    const Clock &m_clock;
    FiberLoop &m_loop;
    HttpClient m_client;
    Duration m_startTime;
    Cloud m_cloud;
    VmStarter m_starter;
    FaultPlan m_faults;
    Lifetime m_lifetime;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_noticeAdded;
};

/// Reads a list of VMs, `[{"id","address","port","zone","class","service","reclaimable"}]`.
std::vector<Vm> readVms(const Json &json);

/// Reads a list of prices, `[{"zone","class","reclaimable","perHour"}]`.
std::vector<Price> readPrices(const Json &json);

} // namespace gypsumdale::standins
