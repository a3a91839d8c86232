#include <entry/thread_connections.hpp>

namespace gypsumdale {

namespace {

/// Connects the traffic thread's records of streams' origins with those of the peers.
void connectOrigins(EntryContext &context, EntryPeers &peers)
{
    const auto announce = [&context, &peers](const StreamOriginRecord &record) {
        context.m_loop.spawn([&peers, record] { peers.origins().announce(record); });
    };
    const auto ask = [&context, &peers](const RequestId &request) {
        return context.m_loop.call([&peers, request] { return peers.origins().ask(request); });
    };
    context.m_traffic.origins().connect(announce, ask);
}

/// Connects the traffic thread's broken runs with what the peers know of them.
void connectCrashes(EntryContext &context, EntryPeers &peers)
{
    const auto report = [&context, &peers](const BrokenRun &run) {
        context.m_loop.spawn([&peers, run] { peers.crashes().report(run); });
    };
    const auto proven = [&context, &peers](const ServiceId &service,
                                           const CrashElements &elements) {
        context.m_loop.spawn(
                [&peers, service, elements] { peers.crashes().recordProof(service, elements); });
    };
    context.m_traffic.crashes().connect(report, proven);
}

/// Connects the traffic thread's requests with the VMs that own the quotas.
void connectQuotas(EntryContext &context, EntryPeers &peers)
{
    context.m_traffic.onQuotaOwnerAsked(
            [&context, &peers](const ClientAccount &account, double cost) {
                return context.m_loop.call(
                        [&peers, &account, cost] { return peers.quotas().admit(account, cost); });
            });
}

} // namespace

void connectThreads(EntryContext &context, EntryPeers &peers)
{
    context.m_traffic.onRetriesTaken(
            [&context, &peers] { context.m_loop.spawn([&peers] { peers.reportRetries(); }); });
    context.m_traffic.onLongPromptPlaced([&context, &peers](const UpstreamId &upstream,
                                                            InFlightLoad load) {
        context.m_loop.spawn([&peers, upstream, load] { peers.announceLoad(upstream, load); });
    });
    connectOrigins(context, peers);
    connectCrashes(context, peers);
    connectQuotas(context, peers);
}

} // namespace gypsumdale
