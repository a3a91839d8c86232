#pragma once

#include "support/simulated_vm.hpp"

#include <gypsumdale/entry/exchange_pacing.hpp>
#include <gypsumdale/entry/message_age.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <map> // map
#include <memory> // make_shared, shared_ptr
#include <optional> // optional
#include <utility> // move
#include <vector> // vector

namespace gypsumdale::testing {

/// What a VM reports about itself to another one, with its list if that one needs it.
struct PeerWord
{
    std::int64_t m_revision = 0;
    bool m_isStale = false;
    std::shared_ptr<const UpstreamList> m_list;
    /// Age of the list.
    Duration m_age{};
    ClockMark m_mark;
    std::optional<ClockEcho> m_echo;
};

/// The lists that VMs send each other in their exchanges: to a VM that is behind and to which
/// neither the store nor a reader has sent anything for long.
class PeerLists
{
public:
    static constexpr Duration exchangeInterval = ExchangePacing::exchangeInterval;

    explicit PeerLists(std::size_t vms)
        : m_heard(vms)
    {}

    /// Clears what a process has received, as it ends.
    void forget(std::size_t vm) { m_heard[vm].clear(); }

    /// Returns what one VM sends to another now.
    PeerWord reportFor(const SimulatedVm &sender, std::size_t senderNumber,
                       std::size_t receiverNumber, TimePoint now) const
    {
        const UpstreamListSync &following = *sender.m_following;
        PeerWord word;
        word.m_revision = following.feed().revision();
        word.m_isStale = following.isStale(now);
        word.m_mark = {sender.m_life, now};
        const auto heard = m_heard[senderNumber].find(receiverNumber);
        if (heard == m_heard[senderNumber].end())
            return word;
        word.m_echo = heard->second.m_mark.echo(now);
        const bool isBehind = heard->second.m_revision < word.m_revision;
        if (!isBehind || !heard->second.m_isStale || word.m_isStale)
            return word;
        UpstreamList list;
        list.m_revision = word.m_revision;
        list.m_upstreams = following.feed().present();
        word.m_list = std::make_shared<const UpstreamList>(std::move(list));
        word.m_age = following.age(now);
        return word;
    }

    /// Receives a report. Returns whether its list was accepted.
    bool take(SimulatedVm &vm, std::size_t number, std::size_t senderNumber, const PeerWord &word,
              TimePoint now)
    {
        Heard &heard = m_heard[number][senderNumber];
        heard.m_revision = word.m_revision;
        heard.m_isStale = word.m_isStale;
        heard.m_mark.recordReceived(word.m_mark, now);
        if (!word.m_list)
            return false;
        const ReportedAge age{word.m_age, sentAfter(word.m_echo, vm.m_life, now)};
        return vm.m_following->applyFromPeer(*word.m_list, age, now);
    }

private:
    /// What a VM last received from another one.
    struct Heard
    {
        std::int64_t m_revision = 0;
        bool m_isStale = false;
        LastPeerTimestamp m_mark;
    };

    std::vector<std::map<std::size_t, Heard>> m_heard;
};

} // namespace gypsumdale::testing
