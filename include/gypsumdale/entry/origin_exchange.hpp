#pragma once

#include <gypsumdale/entry/entry_context.hpp>
#include <gypsumdale/entry/peer_table.hpp>
#include <gypsumdale/serving/stream_origins.hpp>

#include <cstddef> // size_t
#include <deque> // deque
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale::entrywire {
class EntryExchange;
class OriginQuestion;
class StreamOrigin;
} // namespace gypsumdale::entrywire

namespace gypsumdale {

/// Sends records of where streams began to the peers that are to hold copies, asks them for such
/// records, and answers their messages. The VMs that hold a stream's record follow from its id, so
/// a VM that has never seen the stream knows whom to ask. Used on the control thread.
class OriginExchange
{
public:
    /// Number of VMs that hold a record, the one that made it included where it is among them.
    static constexpr std::size_t copies = 3;
    /// Number of VMs that are asked for one: more, as VMs' views of the fleet differ for a while.
    static constexpr std::size_t askedVms = 6;

    OriginExchange(EntryContext &context, const PeerTable &table)
        : m_context(context)
        , m_table(table)
    {}

    /// Sends a record to its holders. Doesn't wait.
    void announce(const StreamOriginRecord &record);

    /// Sends records again that did not reach a holder, or had none. To be called several times per
    /// second.
    void resend();

    /// Asks the VMs that may hold a record, all at once. Returns the first record that one of them
    /// has, or nothing if none has or too much time passes.
    std::optional<StreamOriginRecord> ask(const RequestId &request);

    /// Answer a peer's record or question with what this VM knows of the stream.
    entrywire::EntryExchange answerRecord(const entrywire::StreamOrigin &received);
    entrywire::EntryExchange answerQuestion(const entrywire::OriginQuestion &question);

private:
    /// Records for one holder, in order.
    struct Outbox
    {
        KnownPeerPointer m_peer;
        std::deque<StreamOriginRecord> m_records;
        bool m_isSending = false;
    };

    std::vector<KnownPeerPointer> holders(const RequestId &request, std::size_t count) const;
    void placeLate();
    void startSending(Outbox &outbox);
    void sendAll(Outbox &outbox);
    bool send(const KnownPeerPointer &peer, const StreamOriginRecord &record);

    EntryContext &m_context;
    const PeerTable &m_table;
    /// By the holder's address. Entries stay until their peer is no longer known and nothing is
    /// being sent to it.
    std::map<std::string, Outbox> m_outboxes;
    /// Records of streams that began while no peer responded.
    std::deque<StreamOriginRecord> m_unplaced;
};

} // namespace gypsumdale
