#include <gypsumdale/kernel/admin_api.hpp>
#include <gypsumdale/kernel/caller_api.hpp>
#include <gypsumdale/kernel/control.hpp>
#include <gypsumdale/kernel/daemon.hpp>
#include <gypsumdale/kernel/job_runner.hpp>
#include <gypsumdale/kernel/traffic.hpp>

#include <fmt/format.h>

#include <csignal> // sigaddset, sigset_t, sigwait
#include <fstream> // ifstream
#include <optional> // optional
#include <sstream> // ostringstream
#include <thread> // thread

#include <pthread.h>

namespace gypsumdale {

namespace {

/// Ends the wait for signals after the shutdown.
constexpr int shutdownEndSignal = SIGUSR1;

Endpoint endpointOf(const Address &address)
{
    return {address.m_ip, address.m_port};
}

Result<std::string> readSecret(const SecretSource &source)
{
    if (source.m_file.empty())
        return source.m_inline;
    std::ifstream file(source.m_file);
    if (!file)
        return Error{ErrorId::SettingsUnreadable, "can't read the file with the peers' secret"};
    std::ostringstream text;
    text << file.rdbuf();
    std::string secret = text.str();
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r'))
        secret.pop_back();
    return secret;
}

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, shutdownEndSignal);
    return signals;
}

/// The components of one process, in the order of their construction.
class Daemon
{
public:
    Daemon(const NodeSettings &settings, std::string peerSecret)
        : m_settings(settings)
        , m_log(LoggerBuilder(m_clock)
                        .level(settings.m_logLevel)
                        .node(settings.m_node)
                        .dataCentre(settings.m_dataCentre)
                        .build())
        , m_journal(settings.m_node)
        , m_controlLoop("control")
        , m_controlClient(m_controlLoop)
        , m_platform(m_controlClient, endpointOf(settings.m_platform),
                     settings.m_intervals.m_platformTimeout)
        , m_peers(m_controlLoop, m_clock, settings.m_node, std::move(peerSecret))
        , m_traffic(m_clock, settings.m_trafficThreads)
        , m_jobRunner(m_traffic)
        , m_control(ControlContext{m_settings, m_controlLoop, m_clock, *m_log, m_metrics, m_journal,
                                   m_controlClient, m_platform, m_peers, m_clock.wallNow()},
                    m_jobRunner.callbacks())
        , m_callerApi(m_traffic)
        , m_adminApi(m_traffic, OperatorTable(settings.m_operatorHashes))
    {}

    Result<Done> start()
    {
        m_controlLoop.start();
        m_traffic.attach(m_control, m_controlLoop);
        m_traffic.start();
        auto caller = listen(m_settings.m_callerListen,
                             [this](const HttpRequest &request, HttpResponder &responder) {
                                 m_callerApi.handle(request, responder);
                             });
        if (!succeeded(caller))
            return errorOf(caller);
        m_callerServer.emplace(valueOf(std::move(caller)));
        auto admin = listen(m_settings.m_adminListen,
                            [this](const HttpRequest &request, HttpResponder &responder) {
                                m_adminApi.handle(request, responder);
                            });
        if (!succeeded(admin))
            return errorOf(admin);
        m_adminServer.emplace(valueOf(std::move(admin)));
        m_control.setShutdownHooks({[this] { m_callerServer->stopAccepting(); },
                                    [this] { return m_callerServer->requestsInFlight(); },
                                    [this] { return m_callerServer->hasCallers(); },
                                    [this](const UnfinishedWork &cut) { end(cut); },
                                    [this] {
                                        return m_traffic.requestsUnderWay().all();
                                    }});
        auto started = m_controlLoop.call([this] { return m_control.start(); });
        if (succeeded(started)) {
            m_log->info("started", {{LogField::Address, m_settings.m_callerListen.m_ip},
                                    {LogField::Port, m_settings.m_callerListen.m_port}});
        }
        return started;
    }

    void shutDown(DrainCause cause)
    {
        m_controlLoop.spawn([this, cause] { m_control.shutDown(cause, std::nullopt); });
    }

    std::size_t cutRequests() const { return m_cut; }
    bool isEnded() const { return m_isEnded; }

    void stop()
    {
        m_log->reportSuppressed();
        for (FiberLoop *loop : m_traffic.loops())
            loop->stop();
        m_controlLoop.stop();
    }

private:
    Result<HttpServer> listen(const Address &address, HttpHandler handler)
    {
        return HttpServerBuilder()
                .listenOn(address.m_ip, address.m_port)
                .runOn(m_traffic.loops())
                .handleWith(std::move(handler))
                .build();
    }

    void end(const UnfinishedWork &cut)
    {
        m_cut = cut.m_requests + cut.m_jobs;
        m_isEnded = true;
        kill(getpid(), shutdownEndSignal);
    }

    NodeSettings m_settings;
    Clock m_clock;
    std::unique_ptr<Logger> m_log;
    Metrics m_metrics;
    DecisionJournal m_journal;
    FiberLoop m_controlLoop;
    HttpClient m_controlClient;
    PlatformClient m_platform;
    PeerLink m_peers;
    Traffic m_traffic;
    JobRunner m_jobRunner;
    Control m_control;
    CallerApi m_callerApi;
    AdminApi m_adminApi;
    std::optional<HttpServer> m_callerServer;
    std::optional<HttpServer> m_adminServer;
    std::atomic<std::size_t> m_cut = 0;
    std::atomic<bool> m_isEnded = false;
};

} // namespace

Result<std::size_t> runDaemon(const NodeSettings &settings)
{
    const auto secret = readSecret(settings.m_peerSecret);
    if (!succeeded(secret))
        return errorOf(secret);
    // Blocked before any thread starts, so that only this thread, which waits for them, receives
    // them.
    const sigset_t signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Writing to a closed connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    // Never deleted, as its fibers refer to it until the process ends; see FiberLoop::stop.
    auto *daemon = new Daemon(settings, valueOf(secret));
    const auto started = daemon->start();
    if (!succeeded(started))
        return errorOf(started);
    while (!daemon->isEnded()) {
        int signal = 0;
        sigwait(&signals, &signal);
        if (signal != shutdownEndSignal)
            daemon->shutDown(DrainCause::Signal);
    }
    daemon->stop();
    return daemon->cutRequests();
}

} // namespace gypsumdale
