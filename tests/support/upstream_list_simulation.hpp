#pragma once

#include "support/event_queue.hpp"
#include "support/simulated_vm.hpp"
#include "support/upstream_store.hpp"

#include <platform/store_client.hpp>

#include <pcg_random.hpp>

#include <algorithm> // max, min
#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <functional> // function
#include <memory> // make_shared, make_unique, unique_ptr
#include <optional> // nullopt
#include <string> // to_string
#include <utility> // exchange, move
#include <vector> // vector

namespace gypsumdale::testing {

/// Fleet that follows a list of upstreams, on a paused clock: store, readers, followers and peers
/// with all their decisions. Network and timeouts are those of the processes.
class UpstreamListSimulation
{
public:
    /// Longest time from learning that an upstream leaves until the last request reaches it: the
    /// traffic thread receives the list, and a connection may take its time.
    static constexpr Duration placement = std::chrono::milliseconds(450);

    /// `playedDataCentres` is the number of simulated data centres. Data centres send each other
    /// nothing while the store answers, so that one represents all where peers' lists are left out.
    UpstreamListSimulation(std::size_t vms, std::size_t dataCentres, Duration bound,
                           SimulatedFaults troubles, std::uint64_t seed,
                           std::size_t playedDataCentres = 1)
        : m_troubles(troubles)
        , m_random(seed)
        , m_near(std::max<std::size_t>(vms / dataCentres, 3))
        , m_playedDataCentres(playedDataCentres)
    {
        m_bounds.m_leavingApply = bound;
        for (std::size_t index = 0; index < m_near * m_playedDataCentres; ++index)
            m_vms.push_back(std::make_unique<SimulatedVm>(m_bounds, index / m_near));
        m_isLarge = vms > 12;
    }
    virtual ~UpstreamListSimulation() = default;
    UpstreamListSimulation(const UpstreamListSimulation &) = delete;
    UpstreamListSimulation &operator=(const UpstreamListSimulation &) = delete;

    /// Runs the simulation for a time. Returns how many undisturbed VMs used an upstream for longer
    /// after its leaving than the bound allows.
    int play(Duration time)
    {
        for (std::size_t index = 0; index < upstreams; ++index)
            m_store.put(idOf(m_nextUpstream++), false);
        for (const auto &vm : m_vms)
            begin(*vm);
        chooseReaders();
        changeUpstreams();
        disturb();
        m_agenda.runUntil(m_agenda.now() + time);
        return m_late;
    }

protected:
    static constexpr std::size_t upstreams = 8;
    /// Time after its last fault from which a VM counts as undisturbed.
    static constexpr Duration settling = std::chrono::seconds(4);

    /// Called when the process of a VM has started.
    virtual void begun(SimulatedVm & /*vm*/) {}
    /// Called when a VM's list was confirmed by the store, a reader or a peer.
    virtual void confirmed(SimulatedVm & /*vm*/) {}
    /// Called when the store has left a VM's call unanswered.
    virtual void onUnanswered(SimulatedVm & /*vm*/) {}
    /// Called when the store has received an upstream's report that it leaves.
    virtual void left(const UpstreamId & /*upstream*/) {}

    static UpstreamId idOf(std::size_t number) { return UpstreamId(std::to_string(number)); }
    /// Returns the number of the upstream that leaves next.
    std::size_t nextToLeave() const { return m_nextUpstream - upstreams; }
    bool isUndisturbed(const SimulatedVm &vm) const
    {
        const bool isStruck = vm.m_isDead || vm.m_isSlow || vm.m_isTurnedAway;
        return !isStruck && m_agenda.now() - vm.m_troubledAt >= settling;
    }
    /// Does something later unless the process has ended by then.
    void later(SimulatedVm &vm, Duration delay, std::function<void()> work)
    {
        m_agenda.after(delay, [&vm, life = vm.m_life, work = std::move(work)] {
            if (vm.m_life == life)
                work();
        });
    }
    Duration pathDelay(const SimulatedVm &vm)
    {
        return draw(vm.m_isSlow ? m_troubles.m_slowest : std::chrono::milliseconds(3));
    }
    EventQueue &agenda() { return m_agenda; }
    const EntryBounds &bounds() const { return m_bounds; }
    const std::vector<std::unique_ptr<SimulatedVm>> &vms() const { return m_vms; }

private:
    static constexpr std::size_t readers = 2;
    /// Time until peers notice that a reader is silent or refused by the store.
    static constexpr Duration noticed = std::chrono::milliseconds(2500);

    Duration draw(Duration most) { return most * (m_random(1000) + 1) / 1000; }

    void begin(SimulatedVm &vm)
    {
        vm.m_following = std::make_unique<UpstreamListSync>(m_bounds);
        vm.m_following->setRole(vm.m_role);
        vm.m_breaker = CircuitBreaker();
        vm.m_told.clear();
        vm.m_marks.clear();
        follow(vm);
        sendLoop(vm);
        begun(vm);
    }

    void follow(SimulatedVm &vm)
    {
        const TimePoint now = m_agenda.now();
        vm.m_following->expire(now);
        const SyncStep step = vm.m_following->next(now);
        if (const auto *rest = std::get_if<IdleStep>(&step))
            later(vm, rest->m_time, [this, &vm] { follow(vm); });
        else if (const auto *watch = std::get_if<WatchStep>(&step))
            ask(vm, {watch->m_revision, watch->m_wait,
                     watch->m_wait + platform::StoreClient::watchSlack, now});
        else
            ask(vm, {std::nullopt, {}, platform::StoreClient::listTimeout, now});
    }

    /// Sends a call to the store; its answer, or the lack of one, follows later.
    void ask(SimulatedVm &vm, const StoreCall &call)
    {
        if (!vm.m_breaker.tryCall(call.m_sentAt))
            return failed(vm, ReadFailure::Unanswered);
        if (vm.m_isTurnedAway)
            return fail(vm, call, std::min(pathDelay(vm), call.m_timeout));
        if (loses(vm))
            return fail(vm, call, call.m_timeout);
        later(vm, pathDelay(vm), [this, &vm, call] { answer(vm, call, call.m_wait); });
    }

    void fail(SimulatedVm &vm, const StoreCall &call, Duration delay)
    {
        later(vm, call.m_sentAt + delay - m_agenda.now(), [this, &vm, call] {
            vm.m_breaker.onFailed(call.m_sentAt, m_agenda.now());
            failed(vm, ReadFailure::Unanswered);
        });
    }

    bool loses(SimulatedVm &vm)
    {
        const bool isDue = m_agenda.now() - vm.m_lostAnswerAt > settling;
        if (!m_troubles.m_hasLostAnswers || !isDue || m_random(8) != 0)
            return false;
        vm.m_lostAnswerAt = m_agenda.now();
        return true;
    }

    /// Handles a call in the store: a watch waits until something changes or its time is over.
    void answer(SimulatedVm &vm, const StoreCall &call, Duration wait)
    {
        const UpstreamList &list = m_store.list();
        const bool isHistoryGone = call.m_revision && !m_store.hasSince(*call.m_revision);
        const bool isQuiet = !isHistoryGone && call.m_revision == list.m_revision;
        if (isQuiet && wait > Duration::zero())
            return waitForChange(vm, call, wait);
        const Duration way = pathDelay(vm);
        if (m_agenda.now() + way - call.m_sentAt > call.m_timeout)
            return fail(vm, call, call.m_timeout);
        std::vector<UpstreamChange> changes;
        if (call.m_revision && !isHistoryGone)
            changes = m_store.since(*call.m_revision);
        later(vm, way, [this, &vm, call, isHistoryGone, list, changes] {
            vm.m_breaker.onAnswered();
            if (isHistoryGone)
                return failed(vm, ReadFailure::HistoryDropped);
            const TimePoint now = m_agenda.now();
            const WatchTimes times{call.m_sentAt, call.m_wait, now};
            if (call.m_revision)
                vm.m_following->applyChanges(changes, list.m_revision, times);
            else
                vm.m_following->applyListing(list, call.m_sentAt, now);
            confirmed(vm);
            pause(vm);
        });
    }

    void waitForChange(SimulatedVm &vm, const StoreCall &call, Duration wait)
    {
        const auto isAnswered = std::make_shared<bool>(false);
        const auto again = [this, &vm, call, isAnswered] {
            if (!std::exchange(*isAnswered, true))
                answer(vm, call, {});
        };
        later(vm, wait, again);
        m_store.onChange([this, &vm, again, life = vm.m_life] {
            if (vm.m_life == life)
                later(vm, {}, again);
        });
    }

    void failed(SimulatedVm &vm, ReadFailure failure)
    {
        vm.m_following->noteFailed(failure);
        if (failure == ReadFailure::Unanswered)
            onUnanswered(vm);
        pause(vm);
    }

    void pause(SimulatedVm &vm)
    {
        later(vm, vm.m_following->delayAfterRead(m_agenda.now()), [this, &vm] { follow(vm); });
    }

    void sendLoop(SimulatedVm &vm)
    {
        const TimePoint now = m_agenda.now();
        const UpdateState state{vm.m_following->feed().history().newest(), 0,
                                vm.m_following->readAt()};
        const bool isReader = vm.m_role == StoreRole::Reader && vm.m_following->feed().isKnown();
        if (isReader && vm.m_pace.isDue(state, now)) {
            vm.m_pace.recordSent(state, now);
            for (const auto &other : m_vms) {
                const bool isNear = other->m_dataCentre == vm.m_dataCentre;
                if (isNear && other.get() != &vm && !vm.m_told[other.get()].m_isBusy)
                    tell(vm, *other);
            }
        }
        later(vm, UpdatePacing::tick, [this, &vm] { sendLoop(vm); });
    }

    void tell(SimulatedVm &reader, SimulatedVm &follower)
    {
        SentUpdate &told = reader.m_told[&follower];
        told.m_isBusy = true;
        const TimePoint now = m_agenda.now();
        const UpstreamListUpdate news = told.m_state.updateFor(reader.m_following->feed(), now);
        const Duration age = reader.m_following->age(now);
        const auto echo = reader.m_marks[&follower].echo(now);
        const auto receipt = std::make_shared<bool>(false);
        const Duration way = pathDelay(reader.m_isSlow ? reader : follower);
        const int life = reader.m_life;
        later(follower, way, [this, &reader, &follower, news, age, echo, receipt, now, life] {
            if (follower.m_isDead)
                return;
            const TimePoint takenAt = m_agenda.now();
            const ReportedAge toldAge{age, sentAfter(echo, follower.m_life, takenAt)};
            const auto taking = follower.m_following->receiveUpdate(news, toldAge, takenAt);
            if (taking != UpstreamFeed::ApplyResult::ChangesMissing)
                confirmed(follower);
            const Duration back = pathDelay(reader);
            if (reader.m_life != life || takenAt + back - now > UpdatePacing::receiptTimeout)
                return;
            *receipt = true;
            const ClockMark mark{follower.m_life, takenAt};
            later(reader, back, [this, &reader, &follower, news, taking, mark] {
                reader.m_marks[&follower].recordReceived(mark, m_agenda.now());
                SentUpdate &answered = reader.m_told[&follower];
                answered.m_isBusy = false;
                if (taking == UpstreamFeed::ApplyResult::ChangesMissing)
                    answered.m_state.onMissingChanges();
                else
                    answered.m_state.onApplied(news);
            });
        });
        later(reader, UpdatePacing::receiptTimeout, [&reader, &follower, receipt] {
            if (!*receipt)
                reader.m_told[&follower].m_isBusy = false;
        });
    }

    /// Selects the first two VMs of a data centre that are not known to be lost as readers for its
    /// others.
    void chooseReaders()
    {
        std::vector<std::size_t> chosen(m_playedDataCentres);
        const TimePoint now = m_agenda.now();
        for (const auto &vm : m_vms) {
            const bool isLost = vm->m_isDead || vm->m_isTurnedAway;
            const bool isNoticed = isLost && now - vm->m_troubledAt > noticed;
            StoreRole role = StoreRole::Follower;
            if (!m_isLarge)
                role = StoreRole::Alone;
            else if (!isNoticed && chosen[vm->m_dataCentre]++ < readers)
                role = StoreRole::Reader;
            if (role == vm->m_role)
                continue;
            vm->m_role = role;
            vm->m_told.clear();
            vm->m_following->setRole(role);
        }
        m_agenda.after(UpdatePacing::tick, [this] { chooseReaders(); });
    }

    void changeUpstreams()
    {
        const UpstreamId leaving = idOf(nextToLeave());
        m_store.put(idOf(m_nextUpstream++), false);
        m_store.put(leaving, true);
        left(leaving);
        const Duration checkedAfter = m_bounds.m_leavingApply - placement;
        m_agenda.after(checkedAfter, [this, leaving] { check(leaving); });
        m_agenda.after(checkedAfter + draw(std::chrono::seconds(2)),
                       [this, leaving] { m_store.remove(leaving); });
        const Duration gap =
                m_troubles.m_isQuiet ? std::chrono::seconds(3) : std::chrono::milliseconds(400);
        m_agenda.after(draw(gap), [this] { changeUpstreams(); });
    }

    void check(const UpstreamId &leaving)
    {
        for (const auto &vm : m_vms) {
            if (!isUndisturbed(*vm))
                continue;
            const auto &known = vm->m_following->feed().upstreams();
            const auto found = known.find(leaving);
            if (found != known.end() && !found->second.m_isDraining)
                ++m_late;
        }
    }

    /// Injects faults. They hit readers more often than others, as a reader's faults reach all.
    void disturb()
    {
        const bool strikesReader = m_random(2) == 0;
        SimulatedVm &vm = *m_vms[strikesReader ? drawReader() : m_random(m_vms.size())];
        const Duration time = draw(std::chrono::seconds(6));
        switch (m_random(4)) {
        case 0:
            if (m_troubles.m_hasSlow)
                trouble(vm, vm.m_isSlow, time);
            break;
        case 1:
            if (m_troubles.m_hasTurnedAway)
                trouble(vm, vm.m_isTurnedAway, time);
            break;
        case 2:
            if (m_troubles.m_hasKilled)
                kill(vm, time);
            break;
        default:
            if (m_troubles.m_hasDropped)
                m_store.dropHistory();
            break;
        }
        m_agenda.after(draw(std::chrono::milliseconds(1500)), [this] { disturb(); });
    }

    std::size_t drawReader()
    {
        const std::size_t first = m_random(readers);
        return m_playedDataCentres == 1 ? first : first + m_near * m_random(m_playedDataCentres);
    }

    void trouble(SimulatedVm &vm, bool &flag, Duration time)
    {
        flag = true;
        vm.m_troubledAt = m_agenda.now();
        m_agenda.after(time, [this, &vm, &flag] {
            flag = false;
            vm.m_troubledAt = m_agenda.now();
        });
    }

    void kill(SimulatedVm &vm, Duration time)
    {
        if (vm.m_isDead)
            return;
        ++vm.m_life;
        vm.m_isDead = true;
        vm.m_troubledAt = m_agenda.now();
        m_agenda.after(time, [this, &vm] {
            vm.m_isDead = false;
            vm.m_troubledAt = m_agenda.now();
            begin(vm);
        });
    }

    EntryBounds m_bounds;
    SimulatedFaults m_troubles;
    pcg32 m_random;
    EventQueue m_agenda;
    UpstreamStore m_store;
    /// Number of VMs of a data centre.
    std::size_t m_near;
    std::size_t m_playedDataCentres;
    std::vector<std::unique_ptr<SimulatedVm>> m_vms;
    bool m_isLarge = false;
    std::size_t m_nextUpstream = 0;
    int m_late = 0;
};

} // namespace gypsumdale::testing
