#pragma once

#include <gypsumdale/core/names.hpp>
#include <gypsumdale/entry/entry_config_feed.hpp>
#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/entry_upstream_feed.hpp>
#include <gypsumdale/entry/peer_table.hpp>
#include <gypsumdale/entry/text_fetch.hpp>

#include <cstdint> // int32_t
#include <memory> // shared_ptr
#include <vector> // vector

namespace gypsumdale::entrywire {
class EntryExchange;
class TextRequest;
} // namespace gypsumdale::entrywire

namespace gypsumdale {

class EntryPeers;

/// The texts that VMs ask each other for, by their numbers on the wire.
enum class TextKind : std::int32_t { Config = 1, Upstreams = 2 };

inline constexpr NameTable<TextKind, 2> textKindNames = {{
        {TextKind::Config, "config"},
        {TextKind::Upstreams, "upstreams"},
}};

/// The answer to a request for a text, and what to hold until the peer has it.
struct TextReply
{
    std::shared_ptr<entrywire::EntryExchange> m_message;
    std::shared_ptr<void> m_held;
};

/// Asks peers for whole texts that this VM lacks and the store doesn't bring, and answers peers
/// that ask. Used on the control thread.
class EntryTexts
{
public:
    EntryTexts(EntryContext &context, EntryConfigFeed &config, EntryUpstreamFeed &upstreams,
               const PeerTable &table, EntryPeers &peers);

    /// Asks a peer where it is time to. Doesn't wait. Linear in the peers.
    void startFetches();

    /// Returns the answer to a peer that asks.
    TextReply answer(const entrywire::TextRequest &request);

private:
    void pursueConfig();
    void pursueUpstreams();
    void fetch(TextKind kind, const std::string &address, const char *reason);
    void fetchFrom(TextKind kind, const KnownPeerPointer &peer);
    Result<Done> take(TextKind kind, const KnownPeerPointer &peer,
                      const entrywire::EntryExchange &answer);
    bool takeText(TextKind kind, const KnownPeerPointer &peer,
                  const entrywire::EntryExchange &answer);
    TextFetchState configNeed() const;
    std::int64_t held(TextKind kind) const;
    TextFetch &fetchOf(TextKind kind);
    TextSendLimiter &servingOf(TextKind kind);

    EntryContext &m_context;
    EntryConfigFeed &m_config;
    EntryUpstreamFeed &m_upstreams;
    const PeerTable &m_table;
    EntryPeers &m_peers;
    TextFetch m_configFetch;
    TextFetch m_upstreamFetch;
    TextSendLimiter m_configServing;
    TextSendLimiter m_upstreamServing;
};

} // namespace gypsumdale
