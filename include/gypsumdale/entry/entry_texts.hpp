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

/// The texts that VMs request from each other, by their numbers on the wire.
enum class TextKind : std::int32_t { Config = 1, Upstreams = 2 };

inline constexpr NameTable<TextKind, 2> textKindNames = {{
        {TextKind::Config, "config"},
        {TextKind::Upstreams, "upstreams"},
}};

/// The answer to a request for a text, and an object to keep alive until the peer has received it.
struct TextReply
{
    std::shared_ptr<entrywire::EntryExchange> m_message;
    std::shared_ptr<void> m_held;
};

/// Requests full texts from peers when this VM is behind and the store doesn't provide them, and
/// answers such requests. Used on the control thread.
class EntryTexts
{
public:
    EntryTexts(EntryContext &context, EntryConfigFeed &config, EntryUpstreamFeed &upstreams,
               const PeerTable &table, EntryPeers &peers);

    /// Sends the requests to peers that are due. Doesn't wait. Complexity: linear in the number of
    /// peers.
    void startFetches();

    /// Returns the answer to a peer's request.
    TextReply answer(const entrywire::TextRequest &request);

private:
    void fetchConfigIfDue();
    void fetchUpstreamsIfDue();
    void startFetch(TextKind kind, const std::string &address, const char *reason);
    void fetchFrom(TextKind kind, const KnownPeerPointer &peer);
    Result<Done> applyAnswer(TextKind kind, const KnownPeerPointer &peer,
                             const entrywire::EntryExchange &answer);
    bool applyText(TextKind kind, const KnownPeerPointer &peer,
                   const entrywire::EntryExchange &answer);
    TextFetchState configFetchState() const;
    std::int64_t heldVersion(TextKind kind) const;
    TextFetch &fetchOf(TextKind kind);
    TextSendLimiter &sendLimiterOf(TextKind kind);

    EntryContext &m_context;
    EntryConfigFeed &m_config;
    EntryUpstreamFeed &m_upstreams;
    const PeerTable &m_table;
    EntryPeers &m_peers;
    TextFetch m_configFetch;
    TextFetch m_upstreamFetch;
    TextSendLimiter m_configSendLimiter;
    TextSendLimiter m_upstreamSendLimiter;
};

} // namespace gypsumdale
