#include <gypsumdale/entry/exchange_pacing.hpp>
#include <gypsumdale/entry/text_fetch.hpp>

#include <catch2/catch.hpp>
#include <pcg_random.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm> // count_if, max, min
#include <map> // map
#include <string> // string, to_string
#include <vector> // vector

using namespace gypsumdale;
using namespace std::chrono_literals;

namespace {

constexpr Duration step = 5ms;
constexpr double textBytes = 500'000;
/// 10 Mbit/s.
constexpr double slowLink = 1'250'000;
/// 200 Mbit/s.
constexpr double fastLink = 25'000'000;
/// Delay between a VM's attempts at a store that refuses it, including the time until the refusal
/// arrives.
constexpr Duration storeRetry = 150ms;
/// Silence after which a transfer is given up, and after which the next source is asked.
constexpr Duration silence = 600ms;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// A VM and the bandwidth of its link in both directions.
struct Vm
{
    explicit Vm(std::uint64_t seed)
        : m_fetch(seed)
    {}

    bool hasText() const { return m_hasText; }

    TextFetch m_fetch;
    TextSendLimiter m_serving;
    double m_bandwidth = slowLink;
    bool m_isTurnedAway = false;
    bool m_isStoreLost = false;
    /// Accepts requests for texts, but sends no byte of them.
    bool m_isMute = false;
    bool m_hasText = false;
    Duration m_hasTextAt{};
    Duration m_storeTriesAt{};
    double m_received = 0;
    /// Peers that reported that they hold the text.
    std::map<std::size_t, TextSource> m_heard;
};

/// A transfer of a text to a VM, from the store or from a peer.
struct Transfer
{
    std::size_t m_to = 0;
    std::optional<std::size_t> m_from;
    double m_left = textBytes;
    Duration m_silentFor{};
};

/// A fleet whose VMs all start at the same time without a text. Each link is modelled as a fluid
/// queue: all transfers on it share its bandwidth evenly.
class Fleet
{
public:
    Fleet(std::uint32_t seed, std::size_t vms)
        : m_random(seed)
        , m_pace(vms - 1)
    {
        m_clock.pause();
        m_start = m_clock.now();
        for (std::size_t vm = 0; vm < vms; ++vm) {
            m_vms.emplace_back(seed + vm);
            m_vms.back().m_bandwidth = m_random(4) == 0 ? fastLink : slowLink;
            m_vms.back().m_storeTriesAt = std::chrono::milliseconds(m_random(1000));
        }
    }

    std::vector<Vm> &vms() { return m_vms; }

    void play(Duration length)
    {
        for (Duration played{}; played < length; played += step) {
            if (elapsed() % ExchangePacing::exchangeInterval == Duration::zero())
                exchange();
            for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
                decide(vm);
            move();
            m_clock.advance(step);
        }
    }

private:
    Duration elapsed() const { return m_clock.now() - m_start; }

    /// Each VM receives the digests of a part of the others, the same number each time.
    void exchange()
    {
        const auto stretch = static_cast<std::size_t>(m_pace.stretch());
        ++m_turns;
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
            for (std::size_t peer = 0; peer < m_vms.size(); ++peer) {
                const bool isTurn = (vm + peer + m_turns) % stretch == 0;
                if (peer != vm && isTurn && m_vms[peer].hasText())
                    m_vms[vm].m_heard[peer] = {std::to_string(peer), 1};
            }
        }
    }

    void decide(std::size_t number)
    {
        Vm &vm = m_vms[number];
        if (vm.hasText())
            return;
        readStore(number);
        std::vector<TextSource> sources;
        for (const auto &[peer, source] : vm.m_heard)
            sources.push_back(source);
        const auto asked = vm.m_fetch.begin({0, vm.m_isStoreLost, {}}, sources, m_clock.now());
        if (!asked)
            return;
        const std::size_t from = std::stoul(*asked);
        if (m_vms[from].m_serving.tryBegin())
            m_transfers.push_back({number, from});
        else
            vm.m_fetch.onFailed(m_clock.now());
    }

    void readStore(std::size_t number)
    {
        Vm &vm = m_vms[number];
        if (elapsed() < vm.m_storeTriesAt || vm.m_fetch.isUnderWay() || isReading(number))
            return;
        vm.m_isStoreLost = vm.m_isTurnedAway;
        if (vm.m_isTurnedAway)
            vm.m_storeTriesAt = elapsed() + storeRetry;
        else
            m_transfers.push_back({number, std::nullopt});
    }

    bool isReading(std::size_t vm) const
    {
        return std::ranges::any_of(m_transfers, [vm](const Transfer &transfer) {
            return transfer.m_to == vm && !transfer.m_from;
        });
    }

    double rateOf(const Transfer &transfer) const
    {
        if (transfer.m_from && m_vms[*transfer.m_from].m_isMute)
            return 0;
        const auto into = std::ranges::count_if(
                m_transfers, [&](const Transfer &other) { return other.m_to == transfer.m_to; });
        const double taken = m_vms[transfer.m_to].m_bandwidth / static_cast<double>(into);
        if (!transfer.m_from)
            return taken;
        const auto outOf = std::ranges::count_if(m_transfers, [&](const Transfer &other) {
            return other.m_from == transfer.m_from;
        });
        const double given = m_vms[*transfer.m_from].m_bandwidth / static_cast<double>(outOf);
        return std::min(taken, given);
    }

    void move()
    {
        std::vector<double> moved;
        for (const Transfer &transfer : m_transfers)
            moved.push_back(std::min(rateOf(transfer) * seconds(step), transfer.m_left));
        for (std::size_t number = 0; number < moved.size(); ++number) {
            Transfer &transfer = m_transfers[number];
            transfer.m_left -= moved[number];
            transfer.m_silentFor =
                    moved[number] > 0 ? Duration::zero() : transfer.m_silentFor + step;
            m_vms[transfer.m_to].m_received += moved[number];
            if (transfer.m_left <= 0)
                onFetched(transfer);
            else if (transfer.m_silentFor >= silence)
                onSilent(transfer);
        }
        std::erase_if(m_transfers, [](const Transfer &transfer) {
            return transfer.m_left <= 0 || transfer.m_silentFor >= silence;
        });
    }

    void onFetched(const Transfer &transfer)
    {
        Vm &vm = m_vms[transfer.m_to];
        vm.m_hasText = true;
        vm.m_hasTextAt = elapsed();
        if (!transfer.m_from)
            return;
        vm.m_fetch.onFetched();
        m_vms[*transfer.m_from].m_serving.end();
    }

    void onSilent(const Transfer &transfer)
    {
        m_vms[transfer.m_to].m_fetch.onFailed(m_clock.now());
        m_vms[*transfer.m_from].m_serving.end();
    }

    pcg32 m_random;
    ExchangePacing m_pace;
    Clock m_clock;
    TimePoint m_start{};
    std::vector<Vm> m_vms;
    std::vector<Transfer> m_transfers;
    std::size_t m_turns = 0;
};

/// Time at which the last VM starts and reads.
constexpr Duration lastStart = 1s;

/// Returns how long a text takes on the slowest link if so many transfers share it.
Duration transferTime(int atOnce)
{
    return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(atOnce * textBytes / slowLink));
}

void checkAll(Fleet &fleet, Duration bound, double mostBytes)
{
    fleet.play(2 * bound);
    for (const Vm &vm : fleet.vms()) {
        RC_ASSERT(vm.hasText());
        RC_ASSERT(vm.m_hasTextAt <= bound);
        RC_ASSERT(vm.m_received <= mostBytes);
    }
}

std::size_t drawnFleet()
{
    return *rc::gen::element<std::size_t>(9, 65);
}

} // namespace

TEST_CASE("a fleet that restarts at once reads the configuration from the store")
{
    rc::prop("each VM once, as fast as its link is", [] {
        Fleet fleet(*rc::gen::arbitrary<std::uint32_t>(), drawnFleet());
        checkAll(fleet, lastStart + transferTime(1) + 2 * step, textBytes * 1.05);
    });
}

// Guards against transfers that fill all links so that none of them completes.
TEST_CASE("a fleet that restarts at once while the store turns a part of it away")
{
    rc::prop("each VM gets the text from one peer, and takes in little more than that", [] {
        Fleet fleet(*rc::gen::arbitrary<std::uint32_t>(), drawnFleet());
        const std::size_t turnedAway = *rc::gen::inRange<std::size_t>(1, fleet.vms().size() / 2);
        for (std::size_t vm = 0; vm < turnedAway; ++vm)
            fleet.vms()[vm].m_isTurnedAway = true;
        // VMs that the store serves have the text. Added are the time until a digest reports that,
        // the time in which the peer serves as many as its limit allows, and the backoff of a VM
        // that was redirected a few times.
        const Duration heard = ExchangePacing::exchangeInterval * 6;
        const Duration turned = 3 * TextFetch::maxBackoff;
        checkAll(fleet,
                 lastStart + transferTime(1) + heard
                         + transferTime(TextSendLimiter::maxConcurrentSends) + turned,
                 textBytes * 1.05);
    });
    rc::prop("also while some peers send nothing of what they begin", [] {
        Fleet fleet(*rc::gen::arbitrary<std::uint32_t>(), drawnFleet());
        const std::size_t turnedAway = *rc::gen::inRange<std::size_t>(1, fleet.vms().size() / 3);
        for (std::size_t vm = 0; vm < turnedAway; ++vm)
            fleet.vms()[vm].m_isTurnedAway = true;
        fleet.vms().back().m_isMute = true;
        const Duration heard = ExchangePacing::exchangeInterval * 6;
        const Duration turned = 3 * TextFetch::maxBackoff + 2 * silence;
        checkAll(fleet,
                 lastStart + transferTime(1) + heard
                         + transferTime(TextSendLimiter::maxConcurrentSends) + turned,
                 textBytes * 1.05);
    });
}
