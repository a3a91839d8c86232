#include <gypsumdale/entry/entry_config_feed.hpp>
#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/entry_daemon.hpp>
#include <gypsumdale/entry/entry_duties.hpp>
#include <gypsumdale/entry/entry_metrics.hpp>
#include <gypsumdale/entry/entry_peers.hpp>
#include <gypsumdale/entry/entry_registry.hpp>
#include <gypsumdale/entry/entry_store_relay.hpp>
#include <gypsumdale/entry/entry_upstream_feed.hpp>
#include <gypsumdale/entry/peer_wire.hpp>
#include <gypsumdale/entry/rollout_controller.hpp>
#include <gypsumdale/runtime/http_server.hpp>
#include <gypsumdale/serving/stop_schedule.hpp>

#include <entry/quarantine_page.hpp>
#include <entry/queue_page.hpp>
#include <entry/request_limits.hpp>
#include <entry/request_servers.hpp>
#include <entry/rollout_page.hpp>
#include <entry/thread_connections.hpp>

#include <algorithm> // min
#include <atomic> // atomic
#include <csignal> // kill, sigaddset, sigset_t, sigwait
#include <optional> // optional
#include <utility> // move

#include <pthread.h>
#include <unistd.h>

namespace gypsumdale {

namespace {

/// Ends the wait for signals after the shutdown.
constexpr int endSignal = SIGUSR1;
/// Rate limit for the lines of one kind of event: a busy VM serves about 60 requests per second.
constexpr LogRate logRate{400, 80};
/// Part of graceMargin for the answers: a VM with a tenth of a core writes about a hundred of them.
constexpr Duration lastAnswersTimeout = std::chrono::milliseconds(250);
/// Part of graceMargin for the log lines about answers that callers did not receive: two drain
/// checks.
constexpr Duration lastLinesTimeout = std::chrono::milliseconds(100);
/// Part of graceMargin for the peers' receipt of the final report, while the registry is left: a
/// round trip between data centres and a slow VM.
constexpr Duration finalReportTime = std::chrono::milliseconds(150);
/// Time for whoever reads the log to take the last lines. One that shares a busy processor may be
/// late by some hundred milliseconds.
constexpr Duration lastFlushTime = std::chrono::milliseconds(500);
/// Part of graceMargin for the end of the process after its last line.
constexpr Duration exitTime = std::chrono::milliseconds(100);
constexpr Duration drainCheckInterval = std::chrono::milliseconds(50);
constexpr Duration logFlushInterval = std::chrono::milliseconds(100);
constexpr Duration settingsInterval = std::chrono::seconds(2);
constexpr Duration loopCheckInterval = std::chrono::milliseconds(200);
/// A tenth of the shortest time within which a leaving upstream must receive no more requests.
constexpr Duration loopLatenessLimit = std::chrono::milliseconds(200);
constexpr Duration suppressedReportInterval = std::chrono::seconds(5);
constexpr Duration memoryReportInterval = std::chrono::seconds(1);
constexpr std::size_t bytesPerMebibyte = std::size_t{1024} * 1024;

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP, endSignal})
        sigaddset(&signals, signal);
    return signals;
}

/// All parts of one entry process.
class EntryDaemon
{
public:
    EntryDaemon(const EntrySettings &settings, ReadEntrySettings readAgain)
        : m_settings(settings)
        , m_readAgain(std::move(readAgain))
        , m_log(LoggerBuilder(m_clock)
                        .level(settings.m_logLevel)
                        .node(settings.m_node)
                        .dataCentre(settings.m_dataCentre)
                        .rate(logRate)
                        .format(LogFormat::Json)
                        .sink(standardOutputSink())
                        .build())
        , m_metrics(entryMetricsLimits)
        , m_controlLoop("control")
        , m_trafficLoop("traffic")
        , m_client(m_controlLoop)
        , m_store(m_client, m_clock, endpointOf(settings.m_store))
        , m_traffic(m_settings, m_trafficLoop, m_clock, *m_log, m_metrics)
        , m_context{m_settings, m_controlLoop, m_trafficLoop, m_traffic, m_clock,
                    *m_log,     m_metrics,     m_client,      m_store,   m_clock.wallNow()}
        , m_config(m_context, [this](const ServingViewPointer &view) { adopt(view); })
        , m_upstreams(m_context)
        , m_peers(m_context, m_config, m_upstreams)
        , m_registry(m_context, m_peers)
        , m_storeRelay(m_context, m_config, m_upstreams, m_peers)
        , m_duties(m_context, m_config, m_upstreams, m_peers)
        , m_rollouts(
                  m_context, m_upstreams, [this] { return m_duties.fence(); },
                  [this] { m_peers.rollouts().tellDecision(); })
        , m_requestMemory(std::make_shared<BodyMemory>(
                  static_cast<std::size_t>(settings.m_requestMemoryMib) * bytesPerMebibyte))
    {
        m_peers.rollouts().setController(m_rollouts);
        m_duties.setRollouts(m_rollouts);
    }

    Result<Done> start()
    {
        m_controlLoop.start();
        m_trafficLoop.start();
        const auto failed = listen();
        if (failed)
            return *failed;
        auto opened = m_controlLoop.call([this] { return m_peers.listen(); });
        if (!succeeded(opened))
            return opened;
        m_log->info("started",
                    {{LogField::Address, m_settings.m_callerListen.m_ip},
                     {LogField::Port, m_settings.m_callerListen.m_port},
                     {LogField::Incarnation, m_context.m_incarnation},
                     {LogField::State, m_settings.m_isFirstStart ? "first-start" : "restart"}});
        m_controlLoop.spawn([this] { m_config.follow(); });
        m_controlLoop.spawn([this] { m_upstreams.follow(); });
        m_trafficLoop.call([this] { connectThreads(m_context, m_peers); });
        m_controlLoop.spawn([this] { m_peers.run(); });
        m_controlLoop.spawn([this] { m_registry.follow(); });
        m_controlLoop.spawn([this] { m_storeRelay.run(); });
        m_controlLoop.spawn([this] { m_duties.followLease(); });
        m_controlLoop.spawn([this] { m_duties.reportUsage(); });
        m_controlLoop.spawn([this] { m_duties.scale(); });
        if (m_settings.m_cloud)
            spawnRollouts();
        m_controlLoop.spawn([this] { reportRequestsWithoutMemory(); });
        m_controlLoop.spawn([this] { runPeriodicTasks(); });
        m_controlLoop.spawn([this] { flushLog(); });
        m_controlLoop.spawn([this] { watchLoop("control"); });
        m_trafficLoop.spawn([this] { watchLoop("traffic"); });
        return Done{};
    }

    void reload()
    {
        m_controlLoop.spawn([this] { readSettings("signal"); });
    }

    void shutDown()
    {
        if (m_isShuttingDown.exchange(true))
            return;
        m_signalAt = m_clock.now();
        m_controlLoop.spawn([this, signalAt = m_signalAt] { drain(signalAt); });
    }

    bool hasEnded() const { return m_hasEnded; }
    std::size_t cancelledRequests() const { return m_cancelledRequests; }

    void stop()
    {
        m_log->info("stopped", {{LogField::Count, m_cancelledRequests.load()},
                                {LogField::Millis, toMillis(m_clock.now() - m_signalAt)}});
        m_log->reportSuppressed();
        finishLog();
        m_trafficLoop.stop();
        m_controlLoop.stop();
    }

private:
    /// Waits until the last lines are read, while the grace time lasts. Those that are not go
    /// uncounted in this log, so standard error says how many they are.
    void finishLog()
    {
        const std::size_t lost =
                m_log->finish(std::min(lastFlushTime, m_lastFlushEnd - m_clock.now()));
        if (lost == 0)
            return;
        LoggerBuilder(m_clock)
                .node(m_settings.m_node)
                .dataCentre(m_settings.m_dataCentre)
                .format(LogFormat::Json)
                .build()
                ->warning("log-lost", {{LogField::Count, lost}});
    }

    /// Logs how many requests were refused for want of memory, at most once a second.
    void reportRequestsWithoutMemory()
    {
        std::size_t reported = 0;
        while (!m_isShuttingDown) {
            sleepFiber(memoryReportInterval);
            const std::size_t total = m_requestServers.requestsWithoutMemory();
            if (total > reported)
                m_log->warning("requests-without-memory", {{LogField::Count, total - reported}});
            reported = total;
        }
    }

    void spawnRollouts()
    {
        m_controlLoop.spawn([this] { m_rollouts.followOrders(); });
        m_controlLoop.spawn([this] { m_rollouts.run(); });
        m_controlLoop.spawn(
                [this] { m_peers.rollouts().run([this] { return m_peers.holderAddress(); }); });
    }

    std::optional<Error> listen()
    {
        auto callers = serve(m_settings.m_callerListen, m_trafficLoop,
                             [this](const HttpRequest &request, HttpResponder &responder) {
                                 m_traffic.handle(request, responder);
                             });
        if (!succeeded(callers))
            return errorOf(callers);
        m_requestServers.add(valueOf(std::move(callers)));
        if (auto failed = listenForRelayed())
            return failed;
        auto ready = serve(m_settings.m_readyListen, m_controlLoop,
                           [this](const HttpRequest &, HttpResponder &responder) {
                               responder.send({isReady() ? 200 : 503, {}, {}});
                           });
        if (!succeeded(ready))
            return errorOf(ready);
        m_readyServer.emplace(valueOf(std::move(ready)));
        if (!m_settings.m_metricsListen)
            return std::nullopt;
        auto metrics = serve(*m_settings.m_metricsListen, m_controlLoop,
                             [this](const HttpRequest &request, HttpResponder &responder) {
                                 responder.send(answerOperator(request));
                             });
        if (!succeeded(metrics))
            return errorOf(metrics);
        m_metricsServer.emplace(valueOf(std::move(metrics)));
        return std::nullopt;
    }

    std::optional<Error> listenForRelayed()
    {
        if (!m_settings.m_relayListen)
            return std::nullopt;
        auto relayed = serve(*m_settings.m_relayListen, m_trafficLoop,
                             [this](const HttpRequest &request, HttpResponder &responder) {
                                 m_traffic.handleRelayed(request, responder);
                             });
        if (!succeeded(relayed))
            return errorOf(relayed);
        m_requestServers.add(valueOf(std::move(relayed)));
        m_trafficLoop.call([this] { m_traffic.relay().open(); });
        return std::nullopt;
    }

    Result<HttpServer> serve(const Address &address, FiberLoop &loop, HttpHandler handler) const
    {
        return HttpServerBuilder()
                .listenOn(address.m_ip, address.m_port)
                .runOn({&loop})
                .handleWith(std::move(handler))
                .limitTo(limitsOf({}))
                .bufferIn(m_traffic.answerMemory())
                .receiveIn(m_requestMemory)
                .build();
    }

    /// Returns whether the configuration and the upstreams are known and the process isn't shutting
    /// down. An unavailable store doesn't matter, as requests are served with the data already
    /// known.
    bool isReady() const
    {
        return !m_isShuttingDown && m_config.version() > 0 && m_upstreams.isKnown();
    }

    HttpReply exposeMetrics()
    {
        m_metrics.set(Gauge::Ready, isReady() ? 1 : 0);
        m_metrics.set(Gauge::Draining, m_isShuttingDown ? 1 : 0);
        m_metrics.set(Gauge::RequestsInFlight,
                      static_cast<std::int64_t>(m_requestServers.requestsInFlight()));
        if (m_upstreams.isKnown())
            m_metrics.set(Gauge::UpstreamListAgeMillis, toWholeMillis(m_upstreams.age()));
        updateByteCounters();
        updatePlacementListAge();
        m_metrics.assign(Counter::PlatformCalls, m_store.calls());
        m_metrics.assign(Counter::PlatformFailures, m_store.failures());
        m_metrics.assign(Counter::LogLinesSuppressed, m_log->suppressedLines());
        m_metrics.assign(Counter::LogLinesLost, m_log->lostLines());
        m_metrics.assign(Counter::RequestsWithoutMemory, m_requestServers.requestsWithoutMemory());
        HttpReply reply;
        reply.m_headers.add("Content-Type", std::string(metricsContentType));
        reply.m_body = m_metrics.expose();
        return reply;
    }

    HttpReply answerOperator(const HttpRequest &request)
    {
        if (isQuarantinePage(request))
            return quarantinePage(request);
        if (isRolloutPage(request))
            return rolloutPage(request);
        if (isQueuePage(request))
            return queuePage(request);
        return exposeMetrics();
    }

    bool isLocal(const HttpRequest &request) const
    {
        return isLoopback(request.m_remoteAddress)
               || request.m_remoteAddress == m_settings.m_metricsListen->m_ip;
    }

    HttpReply rolloutPage(const HttpRequest &request)
    {
        const auto order = [this](const RolloutOrder &given) {
            m_peers.rollouts().addOrder(given);
        };
        return answerRolloutPage(request, isLocal(request), {m_peers.rollouts().views(), order});
    }

    HttpReply queuePage(const HttpRequest &request)
    {
        const auto views = m_trafficLoop.call([this] { return m_traffic.waiting().views(); });
        return answerQueuePage(request, views);
    }

    HttpReply quarantinePage(const HttpRequest &request)
    {
        const auto lift = [this](std::string_view id) {
            return m_peers.crashes().lift(id);
        };
        return answerQuarantinePage(request, isLocal(request),
                                    {m_peers.crashes().entries(), lift, m_clock.now()});
    }

    /// Updates the byte counters of this VM's connections, by kind.
    void updateByteCounters()
    {
        const HttpTraffic callers = m_requestServers.traffic();
        m_metrics.assign(Counter::CallerBytesReceived, callers.m_bytesReceived);
        m_metrics.assign(Counter::CallerBytesSent, callers.m_bytesSent);
        const FrameTraffic peers = m_peers.traffic();
        m_metrics.assign(Counter::PeerFramesSent, peers.m_framesSent);
        m_metrics.assign(Counter::PeerFramesReceived, peers.m_framesReceived);
        m_metrics.assign(Counter::PeerBytesSent, peers.m_bytesSent);
        m_metrics.assign(Counter::PeerBytesReceived, peers.m_bytesReceived);
        m_metrics.assign(Counter::PlatformBytesReceived, m_store.bytesReceived());
        m_metrics.assign(Counter::MetricsBytesSent, m_metricsServer->traffic().m_bytesSent);
    }

    void updatePlacementListAge()
    {
        if (const auto millis = m_traffic.takePlacementListAge())
            m_metrics.set(Gauge::PlacementListAgeMillis, *millis);
        else
            m_metrics.clear(Gauge::PlacementListAgeMillis);
    }

    void adopt(const ServingViewPointer &view)
    {
        m_requestServers.limitTo(limitsOf(view->config().m_limits));
        m_trafficLoop.spawn([this, view] { m_traffic.setView(view); });
        m_peers.announceToAll();
    }

    void flushLog()
    {
        while (!m_hasEnded) {
            m_log->flush();
            sleepFiber(logFlushInterval);
        }
    }

    /// Logs when this thread was busy or waited for the processor so long that input was processed
    /// late.
    void watchLoop(const char *name)
    {
        while (!m_hasEnded) {
            const TimePoint due = m_clock.now() + loopCheckInterval;
            sleepFiber(loopCheckInterval);
            const Duration late = m_clock.now() - due;
            if (late >= loopLatenessLimit)
                m_log->warning("loop-late",
                               {{LogField::Name, name}, {LogField::Millis, toMillis(late)}});
        }
    }

    /// Performs periodic work: reloads without a signal, reports of suppressed log lines.
    void runPeriodicTasks()
    {
        Duration sinceReport{};
        while (!m_context.m_isStopping) {
            sleepFiber(settingsInterval);
            readSettings("file");
            sinceReport += settingsInterval;
            if (sinceReport < suppressedReportInterval)
                continue;
            sinceReport = Duration::zero();
            m_log->reportSuppressed();
        }
    }

    /// Applies the settings that may change while the process runs. Listening addresses may not.
    void readSettings(const char *source)
    {
        const auto settings = m_readAgain();
        if (!settings)
            return;
        const bool isMoved = !(settings->m_store == m_settings.m_store);
        if (isMoved)
            m_store.moveTo(endpointOf(settings->m_store));
        m_settings.m_store = settings->m_store;
        m_settings.m_bounds = settings->m_bounds;
        m_settings.m_seeds = settings->m_seeds;
        m_log->info("settings-reloaded",
                    {{LogField::Source, source}, {LogField::State, isMoved ? "moved" : "kept"}});
    }

    /// Waits until no caller is connected, or until the given time. Returns whether none is left.
    /// Connections are counted rather than requests, as a newly accepted connection may deliver its
    /// request at any time: if only requests counted, the process could end between a caller's
    /// connection and its request, or while the request was being read, and the caller got no
    /// answer.
    bool awaitNoCallers(TimePoint end)
    {
        while (m_requestServers.hasCallers()) {
            if (m_clock.now() >= end)
                return false;
            sleepFiber(drainCheckInterval);
        }
        return true;
    }

    /// Cancels the requests that are still at their upstream when the grace time is over. Without
    /// that they ended with the process, and their callers received no byte of an answer; now each
    /// caller is told what is known of its request.
    void cancelLastCalls(const StopSchedule &schedule)
    {
        m_cancelledRequests = m_trafficLoop.call([this] { return m_traffic.cancelCalls(); });
        if (awaitNoCallers(m_clock.now() + lastAnswersTimeout))
            return;
        logUnfinished(schedule);
        // Connections whose caller has not received its answer by now are closed, and the log says
        // whose answer that was. One whose request is still arriving may yet be refused.
        m_requestServers.abortAnswers();
        awaitNoCallers(m_clock.now() + lastLinesTimeout);
    }

    /// Logs what the remaining connections hold, which requestsInFlight() alone doesn't tell: a
    /// request that is still arriving has no line of its own.
    void logUnfinished(const StopSchedule &schedule)
    {
        m_log->warning("unfinished-at-stop",
                       {{LogField::Connections, m_requestServers.connections()},
                        {LogField::Arriving, m_requestServers.requestsArriving()},
                        {LogField::Unfinished, m_requestServers.requestsInFlight()},
                        {LogField::Millis, toMillis(m_clock.now() - schedule.m_signalAt)}});
    }

    void drain(TimePoint signalAt)
    {
        const Duration grace = m_settings.m_bounds.m_shutdownGrace;
        const StopSchedule schedule = scheduleStop(signalAt, grace);
        m_lastFlushEnd = signalAt + grace - exitTime;
        const std::size_t brokenOffBefore = m_requestServers.requestsBrokenOff();
        m_log->info("draining", {{LogField::Count, m_requestServers.requestsInFlight()},
                                 {LogField::Connections, m_requestServers.connections()},
                                 {LogField::Arriving, m_requestServers.requestsArriving()},
                                 {LogField::Millis, toMillis(m_clock.now() - signalAt)}});
        m_duties.resign();
        m_trafficLoop.spawn([this, schedule] { m_traffic.beginStop(schedule); });
        m_requestServers.announceClose();
        sleepFiber(schedule.m_acceptUntil - m_clock.now());
        m_requestServers.stopAccepting();
        const bool isAnswered = awaitNoCallers(schedule.m_cancelAt);
        if (!isAnswered)
            cancelLastCalls(schedule);
        m_log->info("drained",
                    {{LogField::Reason, isAnswered ? "no-callers" : "grace-over"},
                     {LogField::Count, m_cancelledRequests.load()},
                     {LogField::Connections, m_requestServers.connections()},
                     {LogField::Arriving, m_requestServers.requestsArriving()},
                     {LogField::BrokenOff, m_requestServers.requestsBrokenOff() - brokenOffBefore},
                     {LogField::Millis, toMillis(m_clock.now() - schedule.m_signalAt)}});
        // While the store is silent, leaving the registry takes longer than the grace time, so the
        // process may be killed before the next flush.
        m_log->flush();
        // The final counts of this process: the report marks it as leaving, so that its peers don't
        // wait for more.
        m_peers.collectReport();
        m_context.m_isStopping = true;
        const TimePoint finalReportEnd = m_clock.now() + finalReportTime;
        m_peers.sendFinalReport();
        m_registry.leave();
        m_peers.awaitFinalReport(finalReportEnd);
        m_hasEnded = true;
        kill(getpid(), endSignal);
    }

    EntrySettings m_settings;
    ReadEntrySettings m_readAgain;
    Clock m_clock;
    std::unique_ptr<Logger> m_log;
    Metrics m_metrics;
    FiberLoop m_controlLoop;
    FiberLoop m_trafficLoop;
    HttpClient m_client;
    platform::StoreClient m_store;
    EntryTraffic m_traffic;
    EntryContext m_context;
    EntryConfigFeed m_config;
    EntryUpstreamFeed m_upstreams;
    EntryPeers m_peers;
    EntryRegistry m_registry;
    EntryStoreRelay m_storeRelay;
    EntryDuties m_duties;
    RolloutController m_rollouts;
    std::shared_ptr<BodyMemory> m_requestMemory;
    RequestServers m_requestServers;
    std::optional<HttpServer> m_readyServer;
    std::optional<HttpServer> m_metricsServer;
    std::atomic<std::size_t> m_cancelledRequests = 0;
    /// When the signal to stop came. Used by the thread that waits for signals.
    TimePoint m_signalAt{};
    std::atomic<bool> m_isShuttingDown = false;
    std::atomic<bool> m_hasEnded = false;
    /// Set before m_hasEnded.
    TimePoint m_lastFlushEnd{};
};

} // namespace

Result<std::size_t> runEntryDaemon(const EntrySettings &settings, ReadEntrySettings readAgain)
{
    // Blocked before any thread starts, so that only this thread, which waits for them, receives
    // them.
    const sigset_t signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    // Not deleted, as its fibers refer to it until the process ends; see FiberLoop::stop.
    auto *daemon = new EntryDaemon(settings, std::move(readAgain));
    const auto started = daemon->start();
    if (!succeeded(started))
        return errorOf(started);
    while (!daemon->hasEnded()) {
        int signal = 0;
        sigwait(&signals, &signal);
        if (signal == SIGHUP)
            daemon->reload();
        else if (signal != endSignal)
            daemon->shutDown();
    }
    daemon->stop();
    return daemon->cancelledRequests();
}

} // namespace gypsumdale
