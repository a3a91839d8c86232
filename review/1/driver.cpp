// Case 1: a configuration removes a route while requests of it wait for their turn.
#include "../common/service.hpp"

using namespace review;

namespace {

constexpr double caseSeconds = 66;
constexpr double configApply = 2.0;
// Time between two configurations that remove a route. No multiple of 0.4 s, the interval at which
// a process lets go of an old configuration, so that the changes come at different moments of it.
constexpr double changeInterval = 7.13;

const std::vector<std::string> tenants = {"huka270", "puhu251", "wiro118", "mena904", "suti377"};

std::string keyOf(std::size_t tenant)
{
    return "key-" + tenants[tenant] + "-0123456789";
}

// The operator's configuration: one route of the survey service, which moves to another path with
// each change, and one of the order service, which stays.
class Operator
{
public:
    Operator(Store &store, Record &record)
        : m_store(store)
        , m_record(record)
    {}
    void write(const std::vector<int> &surveyRoutes)
    {
        Json routes = Json::array();
        for (const int route : surveyRoutes)
            routes.push_back(routeOf("r-survey" + std::to_string(route),
                                     "/survey" + std::to_string(route) + "/", "idempotent",
                                     "survey-app", 2000, 2));
        routes.push_back(routeOf("r-order", "/order/", "non_idempotent", "order-app", 500, 1));
        Json accounts = Json::array();
        for (std::size_t tenant = 0; tenant < tenants.size(); ++tenant)
            accounts.push_back({{"name", tenants[tenant]},
                                {"api-keys", {keyOf(tenant)}},
                                {"priority", 1},
                                {"rate-per-s", 0},
                                {"burst", 0}});
        const Json services = {{{"name", "survey-app"}, {"health-path", "/health"}},
                               {{"name", "order-app"}, {"health-path", "/health"}}};
        const Json limits = {{"max-header-bytes", 16384},
                             {"max-body-bytes", 4194304},
                             {"header-timeout-ms", 3000},
                             {"idle-timeout-ms", 15000}};
        m_version += 3;
        m_record.line("operator writes configuration " + std::to_string(m_version));
        m_sentAt.push_back(m_record.now());
        m_store.put("config", "main",
                    {{"version", m_version},
                     {"routes", routes},
                     {"services", services},
                     {"limits", limits},
                     {"tenants", accounts}});
    }
    // Returns whether a time lies within a second after a configuration may have come into force.
    bool isAroundChange(double at) const
    {
        for (std::size_t index = 1; index < m_sentAt.size(); ++index) {
            if (at >= m_sentAt[index] && at <= m_sentAt[index] + configApply + 1)
                return true;
        }
        return false;
    }

private:
    static Json routeOf(const std::string &name, const std::string &prefix, const std::string &kind,
                        const std::string &service, int targetMs, int attempts)
    {
        return {{"name", name},    {"hostname", "ficu95.example"}, {"path-prefix", prefix},
                {"kind", kind},    {"timeout-ms", 5000},           {"target-latency-ms", targetMs},
                {"priority", 1},   {"service", service},           {"max-attempts", attempts},
                {"public", false}, {"session-affinity", false},    {"stream-resume", false}};
    }

    Store &m_store;
    Record &m_record;
    int m_version = 4;
    std::vector<double> m_sentAt;
};

struct Outcome
{
    std::string m_id;
    std::string m_vm;
    std::string m_path;
    double m_sentAt = 0;
    double m_endedAt = 0;
    Answer m_answer;
};

Request requestOf(const std::string &id, const std::string &path, const std::string &method,
                  std::size_t tenant)
{
    return {method,
            path,
            {{"Host", "ficu95.example"},
             {"Gypsumdale-Request-Id", id},
             {"Gypsumdale-Deadline-Ms", "5000"},
             {"Authorization", "Bearer " + keyOf(tenant)}},
            method == "POST" ? "order of 12 screws" : ""};
}

} // namespace

int main(int argc, char **argv)
{
    const std::string folder = argc > 1 ? argv[1] : ".";
    const bool hasTrouble =
            std::string(std::getenv("TROUBLE") ? std::getenv("TROUBLE") : "1") != "0";
    std::signal(SIGPIPE, SIG_IGN);
    Record record(folder + "/record.txt");
    Store store;
    Cloud cloud;
    Runs runs(record);
    // Three slots for three VMs: each VM has one request of it in flight, and the others wait.
    PlainRunner survey(store, runs, "survey-app", "olten-a", 3, 700);
    PlainRunner orderA(store, runs, "order-app", "olten-a", 64, 120);
    PlainRunner orderB(store, runs, "order-app", "olten-b", 64, 120);
    Operator op(store, record);
    op.write({0});
    Fleet fleet({"olten-a", "olten-b", "aarau-c"}, store.port(), cloud.port());
    fleet.startAll();
    if (!fleet.awaitReady(15000)) {
        record.line("the VMs didn't become ready");
        std::puts("could not run");
        return 2;
    }
    record.line("all VMs are ready");

    std::atomic<bool> isOver = false;
    std::atomic<int> surveyRoute = 0;
    std::mutex mutex;
    std::vector<Outcome> outcomes;
    std::vector<std::thread> clients;
    const auto client = [&](std::size_t vm, bool isSurvey, std::size_t number) {
        int route = 0;
        while (!isOver) {
            Vm &target = fleet.vm(vm);
            if (isSurvey)
                route = surveyRoute;
            Outcome outcome;
            outcome.m_id = requestId();
            outcome.m_vm = target.m_name;
            outcome.m_path = isSurvey ? "/survey" + std::to_string(route) + "/2f" : "/order/2f";
            outcome.m_sentAt = record.now();
            // The survey's callers belong to the first tenant, the others to all.
            outcome.m_answer =
                    call(target.m_ip, target.m_front,
                         requestOf(outcome.m_id, outcome.m_path, isSurvey ? "GET" : "POST",
                                   isSurvey ? 0 : number % tenants.size()),
                         6000);
            outcome.m_endedAt = record.now();
            const Answer answer = outcome.m_answer;
            {
                const std::lock_guard lock(mutex);
                outcomes.push_back(std::move(outcome));
            }
            if (answer.m_status == 503 || !answer.isComplete())
                sleepMs(200);
            else if (answer.m_status == 404)
                sleepMs(50);
        }
    };
    for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
        for (std::size_t number = 0; number < 3; ++number)
            clients.emplace_back(client, vm, true, number);
        for (std::size_t number = 0; number < 12; ++number)
            clients.emplace_back(client, vm, false, number);
    }

    int ownEnds = 0;
    std::map<std::string, double> restartAt;
    double changeAt = 6;
    while (record.now() < caseSeconds) {
        sleepMs(10);
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            Vm &vm = fleet.vm(index);
            if (vm.m_pid > 0 && !Fleet::runs(vm)) {
                ++ownEnds;
                record.line(vm.m_name + " " + vm.m_end + " by itself");
                restartAt[vm.m_name] = record.now() + 1;
            } else if (vm.m_pid < 0 && record.now() >= restartAt[vm.m_name]) {
                record.line("the platform starts " + vm.m_name + " again");
                fleet.start(vm);
            }
        }
        if (record.now() < changeAt || record.now() > caseSeconds - 8)
            continue;
        changeAt += changeInterval;
        if (!hasTrouble)
            continue;
        const int next = surveyRoute + 1;
        // The new path is there before the old one goes; the callers move once it is in force.
        op.write({next - 1, next});
        sleepMs(2500);
        op.write({next});
        sleepMs(1000);
        surveyRoute = next;
    }
    isOver = true;
    for (std::thread &thread : clients)
        thread.join();

    std::map<std::string, int> ends;
    int lost = 0;
    int lostElsewhen = 0;
    for (const Outcome &outcome : outcomes) {
        const Answer &answer = outcome.m_answer;
        const std::string end =
                answer.isComplete() ? std::to_string(answer.m_status) : answer.m_end;
        ++ends[end];
        const std::vector<Run> ran = runs.of(outcome.m_id);
        char text[320];
        std::snprintf(text, sizeof text, "request %s %s at %s, sent at %.3f, %s%s, end at %.3f: %s",
                      outcome.m_id.c_str(), outcome.m_path.c_str(), outcome.m_vm.c_str(),
                      outcome.m_sentAt, ran.empty() ? "not run" : "run by ",
                      ran.empty() ? "" : ran.front().m_runner.c_str(), outcome.m_endedAt,
                      end.c_str());
        const bool isUnanswered =
                !answer.isComplete() && answer.m_isSent && answer.m_end != "timeout";
        const bool isLost = isUnanswered && !ran.empty();
        record.line(std::string(text) + (isLost ? "  LOST" : ""));
        // Counted are requests that were sent after a change, with no other disruption.
        if (isLost)
            ++(op.isAroundChange(outcome.m_endedAt) ? lost : lostElsewhen);
    }
    std::string summary = "requests by end:";
    for (const auto &[end, count] : ends)
        summary += " " + end + ": " + std::to_string(count) + ";";
    record.line(summary);
    record.line("processes that ended by themselves: " + std::to_string(ownEnds)
                + "; requests passed on to a runner whose connection ended without an answer: "
                + std::to_string(lost) + " around a configuration, " + std::to_string(lostElsewhen)
                + " at other times");
    const bool isBroken = ownEnds > 0 || lost + lostElsewhen > 0;
    std::printf("%s: %d processes ended by themselves, %d requests lost\n",
                isBroken ? "broken" : "held", ownEnds, lost + lostElsewhen);
    std::fflush(stdout);
    // The stand-ins' threads run on; the fleet's processes are ended here.
    for (std::size_t index = 0; index < fleet.size(); ++index)
        Fleet::kill(fleet.vm(index));
    std::filesystem::remove_all(fleet.folder());
    std::_Exit(isBroken ? 1 : 0);
}
