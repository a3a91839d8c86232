#include "bench/policy/scenario.hpp"

#include <algorithm> // max, min, sort
#include <cmath> // abs, log
#include <utility> // move

namespace gypsumdale::bench {

namespace {

constexpr Duration pollPeriod = std::chrono::milliseconds(20);
constexpr Duration peerDelay = std::chrono::microseconds(500);
constexpr Duration failureDelay = std::chrono::milliseconds(10);

UpstreamId engineName(int engine)
{
    return UpstreamId("runner-" + std::to_string(engine));
}

NodeId nodeName(int node)
{
    return NodeId("olten-a-" + std::to_string(node));
}

UpstreamReport stateOf(int engine, const EngineModel &model, std::uint32_t slots, TimePoint now)
{
    UpstreamReport report;
    report.m_upstream = engineName(engine);
    report.m_incarnation = 1;
    report.m_dataCentre = DataCentreId("olten-a");
    report.m_slots = slots;
    report.m_running = model.running();
    report.m_queued = model.queued();
    report.m_reportedAt = now;
    return report;
}

} // namespace

double percentile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0.0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    return values[index];
}

bool Simulation::Event::operator<(const Event &other) const
{
    return m_at != other.m_at ? m_at > other.m_at : m_sequence > other.m_sequence;
}

Simulation::Simulation(Scenario scenario)
    : m_scenario(std::move(scenario))
    , m_random(m_scenario.m_seed)
    , m_end(m_now + m_scenario.m_length)
    , m_engines(static_cast<std::size_t>(m_scenario.m_engines), EngineModel(m_scenario.m_speed))
    , m_isBusy(m_engines.size(), false)
{
    std::vector<NodeId> names;
    names.reserve(static_cast<std::size_t>(m_scenario.m_nodes));
    for (int node = 0; node < m_scenario.m_nodes; ++node)
        names.push_back(nodeName(node));
    RetryBudgetSettings budget;
    if (!m_scenario.m_hasRetryBudget)
        budget = RetryBudgetSettings{1000.0, 1e9, 1e9};
    for (int node = 0; node < m_scenario.m_nodes; ++node) {
        const auto routing = RoutingRegistry::instance().make(m_scenario.m_routing,
                                                              m_scenario.m_routingSettings);
        m_nodes.push_back(AdmissionController::Builder()
                                  .node(names[static_cast<std::size_t>(node)])
                                  .dataCentre(DataCentreId("olten-a"))
                                  .settings(m_scenario.m_settings)
                                  .routing(*routing)
                                  .seed(m_scenario.m_seed * 100 + static_cast<std::uint64_t>(node))
                                  .build());
        m_nodes.back().setNodes(names);
        const double slots = m_scenario.m_firstMemberPart * m_scenario.m_speed.m_slots
                             * m_scenario.m_engines / m_scenario.m_nodes;
        std::vector<MemberShare> shares;
        for (const Load &load : m_scenario.m_loads)
            shares.push_back(MemberShare{MemberId(load.m_member), 1.0, 0});
        shares.front().m_maxInFlight = static_cast<std::uint32_t>(slots);
        m_nodes.back().setMembers(shares);
        m_budgets.emplace_back(budget);
    }
}

Report Simulation::run()
{
    reportLoads();
    exchangeHeartbeats();
    every(m_scenario.m_heartbeat, [this] { exchangeHeartbeats(); });
    every(m_scenario.m_reportAge, [this] { reportLoads(); });
    every(pollPeriod, [this] {
        for (int node = 0; node < m_scenario.m_nodes; ++node)
            apply(node, m_nodes[static_cast<std::size_t>(node)].poll(m_now));
        sample();
    });
    for (const Load &load : m_scenario.m_loads)
        startLoad(load);
    while (!m_events.empty() && m_events.top().m_at <= m_end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.m_at;
        event.m_action();
    }
    const double samples = static_cast<double>(std::max<std::size_t>(m_samples, 1));
    m_report.m_imbalance /= samples;
    m_report.m_meanSlotUse /= samples;
    double tokens = 0.0;
    for (const auto &[member, served] : m_served)
        tokens += served;
    m_report.m_tokensPerSecond =
            tokens / std::chrono::duration<double>(m_scenario.m_length).count();
    return m_report;
}

void Simulation::at(TimePoint time, std::function<void()> action)
{
    m_events.push(Event{time, m_sequence++, std::move(action)});
}

void Simulation::every(Duration period, const std::function<void()> &action)
{
    const Duration step = std::max<Duration>(period, std::chrono::milliseconds(5));
    at(m_now + step, [this, step, action] {
        action();
        every(step, action);
    });
}

double Simulation::random()
{
    return (m_random() + 0.5) / 4294967296.0;
}

void Simulation::startLoad(const Load &load)
{
    if (load.m_requestsPerSecond <= 0.0)
        return;
    const double gap = -std::log(random()) / load.m_requestsPerSecond;
    at(m_now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap)),
       [this, &load] {
           arrive(load);
           startLoad(load);
       });
}

void Simulation::arrive(const Load &load)
{
    const auto nodes = static_cast<std::uint32_t>(m_scenario.m_nodes);
    InFlightRequest flight;
    flight.m_load = &load;
    flight.m_node = load.m_node >= 0 ? load.m_node : static_cast<int>(m_random(nodes));
    flight.m_arrivedAt = m_now;
    WaitingRequest &request = flight.m_request;
    request.m_id = RequestId(std::to_string(m_report.m_firstAttempts));
    request.m_member = MemberId(m_scenario.m_isFifo ? "all" : load.m_member);
    request.m_profile = ProfileId(load.m_profile);
    request.m_priority = m_scenario.m_isFifo ? 0 : load.m_priority;
    request.m_arrivedAt = m_now;
    request.m_promptTokens = load.m_promptTokens;
    // Between 0.5 and 1.5 times the mean length.
    request.m_expectedTokens = static_cast<std::uint32_t>(load.m_answerTokens * (0.5 + random()));
    if (!m_scenario.m_ignoresTargets)
        request.m_firstTokenDeadline = m_now + load.m_target;
    if (load.m_prefixes > 0) {
        const std::uint64_t prefix = (std::uint64_t{m_random(load.m_prefixes)} + 1) << 32;
        for (std::uint32_t block = 0; block < load.m_prefixBlocks; ++block)
            request.m_prefixBlocks.push_back(prefix + block);
    }
    ++m_report.m_firstAttempts;
    ++m_report.m_outcomes[load.m_member + "/" + load.m_profile].m_submitted;
    m_budgets[static_cast<std::size_t>(flight.m_node)].recordFirstAttempt();
    RetryProfile profile;
    flight.m_info = firstAttemptInfo(profile, std::nullopt);
    const int node = flight.m_node;
    const WaitingRequest submitted = request;
    m_inFlight[submitted.m_id] = std::move(flight);
    apply(node, m_nodes[static_cast<std::size_t>(node)].submit(submitted, m_now));
}

void Simulation::apply(int node, const AdmissionCommands &commands)
{
    for (const AdmissionCommand &command : commands) {
        if (const auto *dispatch = std::get_if<Dispatch>(&command)) {
            send(node, *dispatch);
            continue;
        }
        const RequestId &id = std::get<Refuse>(command).m_request;
        const Load &load = *m_inFlight.at(id).m_load;
        ++m_report.m_outcomes[load.m_member + "/" + load.m_profile].m_refused;
        m_inFlight.erase(id);
    }
}

bool Simulation::isFailing(int engine) const
{
    return engine < m_scenario.m_failingEngines && m_now > m_end - m_scenario.m_length * 2 / 3;
}

void Simulation::send(int node, const Dispatch &dispatch)
{
    const int engine = std::stoi(dispatch.m_upstream.text().substr(7));
    const RequestId id = dispatch.m_request.m_id;
    InFlightRequest &flight = m_inFlight.at(id);
    flight.m_node = node;
    flight.m_engine = engine;
    ++m_report.m_attempts;
    if (isFailing(engine)) {
        at(m_now + failureDelay, [this, id] { fail(id); });
        return;
    }
    EngineModel &model = m_engines[static_cast<std::size_t>(engine)];
    m_report.m_promptTokens += dispatch.m_request.m_promptTokens;
    m_report.m_cachedTokens += model.add(dispatch.m_request);
    m_report.m_mostAtOneEngine =
            std::max(m_report.m_mostAtOneEngine, model.running() + model.queued());
    m_served[flight.m_load->m_member] += dispatch.m_request.m_promptTokens;
    scheduleStep(engine);
}

void Simulation::fail(const RequestId &id)
{
    const InFlightRequest flight = m_inFlight.at(id);
    const auto node = static_cast<std::size_t>(flight.m_node);
    AttemptState attempt;
    attempt.m_outcome = AttemptOutcome::NothingSent;
    attempt.m_info = flight.m_info;
    attempt.m_deadline = flight.m_arrivedAt + flight.m_load->m_target;
    const RetryDecision decision =
            decideRetry(attempt, RetryProfile{}, m_budgets[node], m_now, m_random);
    apply(flight.m_node, m_nodes[node].finishAttempt(id, AttemptEnd::Failed, m_now));
    const auto *retry = std::get_if<Retry>(&decision);
    if (retry == nullptr) {
        ++m_report.m_failedForGood;
        m_inFlight.erase(id);
        return;
    }
    m_inFlight.at(id).m_info = retry->m_next;
    at(m_now + retry->m_backoff, [this, id] {
        InFlightRequest &again = m_inFlight.at(id);
        again.m_request.m_triedUpstreams.push_back(engineName(again.m_engine));
        const int to = again.m_node;
        apply(to, m_nodes[static_cast<std::size_t>(to)].submit(again.m_request, m_now));
    });
}

void Simulation::scheduleStep(int engine)
{
    const auto index = static_cast<std::size_t>(engine);
    const Duration step = m_engines[index].stepTime();
    if (m_isBusy[index] || step == Duration{})
        return;
    m_isBusy[index] = true;
    at(m_now + step, [this, engine] { stepEngine(engine); });
}

void Simulation::stepEngine(int engine)
{
    const auto index = static_cast<std::size_t>(engine);
    m_isBusy[index] = false;
    for (const EngineOutput &output : m_engines[index].step())
        handle(output);
    scheduleStep(engine);
}

void Simulation::handle(const EngineOutput &output)
{
    InFlightRequest &flight = m_inFlight.at(output.m_request);
    const auto node = static_cast<std::size_t>(flight.m_node);
    Outcome &outcome =
            m_report.m_outcomes[flight.m_load->m_member + "/" + flight.m_load->m_profile];
    m_nodes[node].tokens(output.m_request, 1, m_now);
    m_served[flight.m_load->m_member] += 1.0;
    if (output.m_isFirst) {
        const Duration taken = m_now - flight.m_arrivedAt;
        outcome.m_firstTokenMillis.push_back(toMillis(taken));
        outcome.m_inTime += taken <= flight.m_load->m_target ? 1U : 0U;
    } else {
        outcome.m_betweenTokensMillis.push_back(toMillis(m_now - *flight.m_lastTokenAt));
    }
    flight.m_lastTokenAt = m_now;
    if (!output.m_isLast)
        return;
    const int to = flight.m_node;
    m_inFlight.erase(output.m_request);
    apply(to, m_nodes[node].finishAttempt(output.m_request, AttemptEnd::Completed, m_now));
}

void Simulation::exchangeHeartbeats()
{
    for (std::size_t from = 0; from < m_nodes.size(); ++from) {
        const NodeLoad load = m_nodes[from].ownLoad();
        at(m_now + peerDelay, [this, from, load] {
            for (std::size_t to = 0; to < m_nodes.size(); ++to) {
                if (to != from)
                    m_nodes[to].mergePeer(nodeName(static_cast<int>(from)), 1, load, m_now);
            }
        });
    }
}

void Simulation::reportLoads()
{
    for (int engine = 0; engine < m_scenario.m_engines; ++engine) {
        const UpstreamReport report = stateOf(engine, m_engines[static_cast<std::size_t>(engine)],
                                              m_scenario.m_speed.m_slots, m_now);
        for (AdmissionController &node : m_nodes)
            node.updateUpstream(report, m_now);
    }
}

void Simulation::sample()
{
    double sum = 0.0;
    double most = 0.0;
    for (const EngineModel &engine : m_engines) {
        const double here = engine.running() + engine.queued();
        sum += here;
        most = std::max(most, here);
    }
    if (sum == 0.0)
        return;
    ++m_samples;
    const double mean = sum / static_cast<double>(m_engines.size());
    m_report.m_imbalance += most / mean;
    m_report.m_meanSlotUse += mean / m_scenario.m_speed.m_slots;
    if (m_served.size() != 2)
        return;
    // The first ten seconds are warm-up, in which the engines fill, and are not counted.
    const double gap = m_served.begin()->second - m_served.rbegin()->second;
    if (m_now < m_end - m_scenario.m_length + std::chrono::seconds(10)) {
        m_gapBase = gap;
        return;
    }
    m_report.m_largestGap = std::max(m_report.m_largestGap, std::abs(gap - m_gapBase));
}

} // namespace gypsumdale::bench
