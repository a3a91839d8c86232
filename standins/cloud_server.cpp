#include "standins/cloud_server.hpp"

#include <algorithm> // max, min
#include <cstdlib> // strtod, strtoull
#include <mutex> // unique_lock
#include <utility> // move

namespace gypsumdale::standins {

namespace {

constexpr std::string_view vmsPath = "/v1/vms";
constexpr std::string_view vmPrefix = "/v1/vms/";
constexpr double defaultNoticeMillis = 30000;
constexpr double defaultPollMillis = 30000;
constexpr Duration longestPoll = std::chrono::minutes(5);

Json describeVm(const Vm &vm)
{
    return {{"id", vm.m_id},          {"address", vm.m_address}, {"port", vm.m_port},
            {"zone", vm.m_zone},      {"class", vm.m_class},     {"reclaimable", vm.m_reclaimable},
            {"service", vm.m_service}};
}

Vm readVm(const Json &json)
{
    Vm vm;
    vm.m_id = textField(json, "id");
    vm.m_address = textField(json, "address", vm.m_address);
    vm.m_port = static_cast<std::uint16_t>(integerField(json, "port").value_or(0));
    vm.m_zone = textField(json, "zone");
    vm.m_class = textField(json, "class");
    vm.m_service = textField(json, "service");
    vm.m_reclaimable = flagField(json, "reclaimable", true);
    return vm;
}

} // namespace

std::vector<Vm> readVms(const Json &json)
{
    std::vector<Vm> vms;
    for (const Json &entry : json)
        vms.push_back(readVm(entry));
    return vms;
}

std::vector<Price> readPrices(const Json &json)
{
    std::vector<Price> prices;
    for (const Json &entry : json) {
        Price price;
        price.m_zone = textField(entry, "zone");
        price.m_class = textField(entry, "class");
        price.m_reclaimable = flagField(entry, "reclaimable", true);
        price.m_perHour = numberField(entry, "perHour").value_or(0);
        prices.push_back(std::move(price));
    }
    return prices;
}

CloudServer::CloudServer(CloudSettings settings, const Clock &clock, FiberLoop &loop)
    : m_clock(clock)
    , m_loop(loop)
    , m_client(loop)
    , m_startTime(settings.m_startTime)
    , m_cloud(settings.m_listLag)
{
    // Initial VMs are dated back by more than any list lag, so that the list shows them at once.
    const TimePoint beforeListLag = clock.now() - std::chrono::hours(1);
    for (Vm &vm : settings.m_vms)
        m_cloud.add(std::move(vm), beforeListLag);
    m_cloud.setPrices(std::move(settings.m_prices));
}

void CloudServer::handle(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path() == "/admin/faults") {
        responder.send(answerFaultCall(m_faults, request));
        return;
    }
    const std::string line = request.m_method + " " + request.m_target;
    const bool silent =
            m_faults.take(FaultKind::Silence, line) || m_lifetime.state() == LifeState::Silent;
    if (silent)
        m_lifetime.waitUntilGone(responder);
    if (silent || !m_lifetime.isAlive() || m_faults.take(FaultKind::CloseBefore, line)) {
        responder.abandon();
        return;
    }
    if (m_faults.take(FaultKind::Outage, line)) {
        responder.send(errorReply(503, "outage"));
        return;
    }
    if (const auto slow = m_faults.take(FaultKind::Slow, line))
        m_lifetime.wait(slow->m_delay, responder);
    const HttpReply reply = answer(request, responder);
    if (m_faults.take(FaultKind::CloseAfter, line) || !m_lifetime.isAlive()) {
        responder.abandon();
        return;
    }
    responder.send(reply);
}

HttpReply CloudServer::answer(const HttpRequest &request, HttpResponder &responder)
{
    const std::string_view path = request.path();
    const std::string line = request.m_method + " " + request.m_target;
    const bool reads = request.m_method == "GET";
    const bool posts = request.m_method == "POST";
    if (path == vmsPath && reads)
        return listVms(line);
    if (path == vmsPath && posts)
        return rent(request, line);
    if (path.starts_with(vmPrefix) && request.m_method == "DELETE")
        return releaseVm(std::string(path.substr(vmPrefix.size())));
    if (path == "/v1/prices" && reads)
        return listPrices();
    if (path == "/v1/notices" && reads)
        return waitForNotices(request, responder);
    if (path == "/admin/prices" && posts)
        return setPrices(parseJson(request.m_body));
    if (path == "/admin/reclaim" && posts)
        return reclaim(parseJson(request.m_body));
    return errorReply(404, "no such call");
}

HttpReply CloudServer::listVms(const std::string &line)
{
    Duration extraLag = {};
    if (const auto fault = m_faults.take(FaultKind::ListLag, line))
        extraLag = fault->m_delay;
    Json vms = Json::array();
    for (const ListedVm &listed : m_cloud.list(m_clock.now(), extraLag)) {
        Json entry = describeVm(listed.m_vm);
        entry["state"] = listed.m_leaving ? "leaving" : "live";
        vms.push_back(std::move(entry));
    }
    return jsonReply(200, {{"vms", std::move(vms)}});
}

HttpReply CloudServer::rent(const HttpRequest &request, const std::string &line)
{
    const Json body = parseJson(request.m_body);
    if (!body.is_object())
        return errorReply(400, "the body is not a JSON object");
    if (m_faults.take(FaultKind::RefuseRental, line))
        return errorReply(409, "refused");
    Vm vm = readVm(body);
    vm.m_id.clear();
    vm.m_id = m_cloud.add(vm, m_starter ? TimePoint::max() : m_clock.now());
    if (m_starter) {
        m_loop.spawn([this, vm] {
            sleepFiber(m_startTime);
            if (!m_cloud.find(vm.m_id))
                return;
            if (const auto port = m_starter(vm))
                m_cloud.start(vm.m_id, *port, m_clock.now());
        });
    }
    return jsonReply(201, describeVm(vm));
}

HttpReply CloudServer::releaseVm(const std::string &id)
{
    const auto vm = m_cloud.find(id);
    if (!vm)
        return errorReply(404, "no such VM");
    m_cloud.remove(id, m_clock.now());
    m_loop.spawn([this, vm = *vm] { kill(vm); });
    HttpReply reply;
    reply.m_status = 204;
    return reply;
}

HttpReply CloudServer::listPrices() const
{
    Json prices = Json::array();
    for (const Price &price : m_cloud.prices()) {
        prices.push_back({{"zone", price.m_zone},
                          {"class", price.m_class},
                          {"reclaimable", price.m_reclaimable},
                          {"perHour", price.m_perHour}});
    }
    return jsonReply(200, {{"prices", std::move(prices)}});
}

HttpReply CloudServer::setPrices(const Json &body)
{
    if (!body.is_object() || !body.contains("prices"))
        return errorReply(400, "no \"prices\"");
    m_cloud.setPrices(readPrices(body["prices"]));
    return listPrices();
}

HttpReply CloudServer::waitForNotices(const HttpRequest &request, HttpResponder &responder)
{
    const auto after = std::strtoull(request.parameter("after").value_or("0").c_str(), nullptr, 10);
    const auto wanted = request.parameter("timeoutMs");
    const double millis = wanted ? std::strtod(wanted->c_str(), nullptr) : defaultPollMillis;
    responder.onCallerGone([this] { m_noticeAdded.notify_all(); });
    {
        std::unique_lock lock(m_mutex);
        m_noticeAdded.wait_for(lock, std::min(longestPoll, fromMillis(millis)), [&] {
            return m_cloud.lastNotice() > after || responder.isCallerGone()
                   || !m_lifetime.isAlive();
        });
    }
    responder.onCallerGone(nullptr);
    Json notices = Json::array();
    for (const ReclaimNotice &notice : m_cloud.noticesAfter(after)) {
        notices.push_back({{"sequence", notice.m_sequence},
                           {"vm", notice.m_vm},
                           {"zone", notice.m_zone},
                           {"deadlineMillis", notice.m_deadline}});
    }
    const auto last = std::max<std::uint64_t>(after, m_cloud.lastNotice());
    return jsonReply(200, {{"last", last}, {"notices", std::move(notices)}});
}

HttpReply CloudServer::reclaim(const Json &body)
{
    if (!body.is_object())
        return errorReply(400, "the body is not a JSON object");
    const std::string id = textField(body, "vm");
    std::string zone = textField(body, "zone");
    if (const auto vm = m_cloud.find(id))
        zone = vm->m_zone;
    if (id.empty() && zone.empty())
        return errorReply(400, "\"vm\" or \"zone\" is required");
    const Duration notice =
            fromMillis(numberField(body, "noticeMillis").value_or(defaultNoticeMillis));
    const WallMillis deadline =
            m_clock.wallNow()
            + std::chrono::duration_cast<std::chrono::milliseconds>(notice).count();
    const auto affected = m_cloud.reclaim(id, zone, deadline, m_clock.now());
    m_noticeAdded.notify_all();
    const bool kills = flagField(body, "die", true);
    m_loop.spawn([this, affected, notice, kills] {
        sleepFiber(notice);
        removeVms(affected, kills);
    });
    return jsonReply(200, {{"deadlineMillis", deadline}, {"vms", affected}});
}

void CloudServer::removeVms(const std::vector<std::string> &ids, bool kills)
{
    for (const std::string &id : ids) {
        const auto vm = m_cloud.find(id);
        if (!vm)
            continue;
        m_cloud.remove(id, m_clock.now());
        if (kills)
            m_loop.spawn([this, vm = *vm] { kill(vm); });
    }
}

void CloudServer::kill(const Vm &vm)
{
    if (vm.m_port == 0)
        return;
    HttpCall call;
    call.m_endpoint = {vm.m_address, vm.m_port};
    call.m_method = "POST";
    call.m_target = "/admin/die";
    call.m_headerTimeout = std::chrono::seconds(1);
    call.m_requiresNewConnection = true;
    // The VM may stop before it answers, so the result is ignored.
    static_cast<void>(m_client.call(call));
}

} // namespace gypsumdale::standins
