#pragma once

#include "support/agenda.hpp"
#include "support/upstream_store.hpp"

#include <gypsumdale/entry/message_age.hpp>
#include <gypsumdale/entry/news_pace.hpp>
#include <gypsumdale/entry/upstream_following.hpp>
#include <gypsumdale/policy/circuit_breaker.hpp>
#include <gypsumdale/serving/upstream_news.hpp>

#include <platform/store_client.hpp>

#include <pcg_random.hpp>

#include <algorithm> // max, min
#include <cstddef> // size_t
#include <cstdint> // int64_t, uint32_t, uint64_t
#include <functional> // function
#include <map> // map
#include <memory> // make_shared, make_unique, unique_ptr
#include <optional> // optional
#include <string> // to_string
#include <utility> // exchange, move
#include <vector> // vector

namespace gypsumdale::testing {

/// What a play disturbs.
struct NewsTroubles
{
    /// Answers and messages of slow VMs take up to this.
    Duration m_slowest{};
    /// VMs that are slow, turned away by the store, or killed, one after the other.
    bool m_hasSlow = false;
    bool m_hasTurnedAway = false;
    bool m_hasKilled = false;
    /// The store drops its history.
    bool m_hasDropped = false;
    /// An answer of the store is lost, for each VM at most once in the bound.
    bool m_hasLostAnswers = false;
    /// Changes of upstreams are rare, so that watches wait.
    bool m_isQuiet = false;
};

/// A fleet that follows a list of upstreams, on a paused clock: store, readers, followers and peers
/// with all their decisions; network and patience as the processes have them.
class UpstreamNewsWorld
{
public:
    /// From learning that an upstream leaves until the last request reaches it: the traffic thread
    /// takes the list over, and a connection may take its time.
    static constexpr Duration placement = std::chrono::milliseconds(450);

    UpstreamNewsWorld(std::size_t vms, std::size_t dataCentres, Duration bound,
                      NewsTroubles troubles, std::uint64_t seed)
        : m_troubles(troubles)
        , m_random(seed)
    {
        m_bounds.m_leavingApply = bound;
        // Between data centres nothing is told while the store answers: a part stands for a whole.
        const std::size_t near = vms / dataCentres;
        for (std::size_t index = 0; index < std::max<std::size_t>(near, 3); ++index)
            m_vms.push_back(std::make_unique<Vm>(m_bounds));
        m_isLarge = vms > 12;
    }

    /// Plays for a time. Returns how many VMs that nothing disturbed used an upstream for longer
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

private:
    static constexpr std::size_t upstreams = 8;
    static constexpr std::size_t readers = 2;
    /// A VM counts as undisturbed so long after its last trouble.
    static constexpr Duration settling = std::chrono::seconds(4);
    /// Until peers notice that a reader is silent or turned away.
    static constexpr Duration noticed = std::chrono::milliseconds(2500);

    struct Told
    {
        FollowerState m_state;
        bool m_isBusy = false;
    };
    struct Vm
    {
        explicit Vm(const EntryBounds &bounds)
            : m_following(std::make_unique<UpstreamFollowing>(bounds))
        {}

        std::unique_ptr<UpstreamFollowing> m_following;
        CircuitBreaker m_breaker;
        NewsPace m_pace;
        std::map<Vm *, Told> m_told;
        /// Of the followers' clocks, as their receipts brought them.
        std::map<Vm *, HeardMark> m_marks;
        StoreRole m_role = StoreRole::Follower;
        /// Counts its processes: what an earlier one began ends with it.
        int m_life = 0;
        bool m_isSlow = false;
        bool m_isTurnedAway = false;
        bool m_isDead = false;
        TimePoint m_troubledAt{};
        TimePoint m_lostAnswerAt{};
    };

    /// A call to the store: a watch from a revision, or the list.
    struct Call
    {
        std::optional<std::int64_t> m_revision;
        Duration m_wait{};
        Duration m_timeout{};
        TimePoint m_sentAt{};
    };

    static UpstreamId idOf(std::size_t number) { return UpstreamId(std::to_string(number)); }
    Duration draw(Duration most) { return most * (m_random(1000) + 1) / 1000; }
    Duration wayOf(const Vm &vm)
    {
        return draw(vm.m_isSlow ? m_troubles.m_slowest : std::chrono::milliseconds(3));
    }
    /// Does something later unless the process has ended by then.
    void later(Vm &vm, Duration delay, std::function<void()> work)
    {
        m_agenda.after(delay, [&vm, life = vm.m_life, work = std::move(work)] {
            if (vm.m_life == life)
                work();
        });
    }

    void begin(Vm &vm)
    {
        vm.m_following = std::make_unique<UpstreamFollowing>(m_bounds);
        vm.m_following->setRole(vm.m_role);
        vm.m_breaker = CircuitBreaker();
        vm.m_told.clear();
        vm.m_marks.clear();
        follow(vm);
        tellLoop(vm);
    }

    void follow(Vm &vm)
    {
        const TimePoint now = m_agenda.now();
        vm.m_following->expire(now);
        const FollowingStep step = vm.m_following->next(now);
        if (const auto *rest = std::get_if<RestStep>(&step))
            later(vm, rest->m_time, [this, &vm] { follow(vm); });
        else if (const auto *watch = std::get_if<WatchStep>(&step))
            ask(vm, {watch->m_revision, watch->m_wait,
                     watch->m_wait + platform::StoreClient::watchSlack, now});
        else
            ask(vm, {std::nullopt, {}, platform::StoreClient::listTimeout, now});
    }

    /// Sends a call to the store; its answer, or the lack of one, comes later.
    void ask(Vm &vm, const Call &call)
    {
        if (!vm.m_breaker.tryCall(call.m_sentAt))
            return failed(vm, ReadingFailure::Unanswered);
        if (vm.m_isTurnedAway)
            return fail(vm, call, std::min(wayOf(vm), call.m_timeout));
        if (loses(vm))
            return fail(vm, call, call.m_timeout);
        later(vm, wayOf(vm), [this, &vm, call] { answer(vm, call, call.m_wait); });
    }

    void fail(Vm &vm, const Call &call, Duration delay)
    {
        later(vm, call.m_sentAt + delay - m_agenda.now(), [this, &vm, call] {
            vm.m_breaker.onFailed(call.m_sentAt, m_agenda.now());
            failed(vm, ReadingFailure::Unanswered);
        });
    }

    bool loses(Vm &vm)
    {
        const bool isDue = m_agenda.now() - vm.m_lostAnswerAt > settling;
        if (!m_troubles.m_hasLostAnswers || !isDue || m_random(8) != 0)
            return false;
        vm.m_lostAnswerAt = m_agenda.now();
        return true;
    }

    /// The store's side of a call: a watch waits until something changes or its time is over.
    void answer(Vm &vm, const Call &call, Duration wait)
    {
        const UpstreamList &list = m_store.list();
        const bool isHistoryGone = call.m_revision && !m_store.hasSince(*call.m_revision);
        const bool isQuiet = !isHistoryGone && call.m_revision == list.m_revision;
        if (isQuiet && wait > Duration::zero())
            return waitForChange(vm, call, wait);
        const Duration way = wayOf(vm);
        if (m_agenda.now() + way - call.m_sentAt > call.m_timeout)
            return fail(vm, call, call.m_timeout);
        std::vector<UpstreamChange> changes;
        if (call.m_revision && !isHistoryGone)
            changes = m_store.since(*call.m_revision);
        later(vm, way, [this, &vm, call, isHistoryGone, list, changes] {
            vm.m_breaker.onAnswered();
            if (isHistoryGone)
                return failed(vm, ReadingFailure::HistoryGone);
            const TimePoint now = m_agenda.now();
            const WatchTimes times{call.m_sentAt, call.m_wait, now};
            if (call.m_revision)
                vm.m_following->takeChanges(changes, list.m_revision, times);
            else
                vm.m_following->takeListing(list, call.m_sentAt, now);
            pause(vm);
        });
    }

    void waitForChange(Vm &vm, const Call &call, Duration wait)
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

    void failed(Vm &vm, ReadingFailure failure)
    {
        vm.m_following->noteFailed(failure);
        pause(vm);
    }

    void pause(Vm &vm)
    {
        later(vm, vm.m_following->pauseAfterReading(m_agenda.now()), [this, &vm] { follow(vm); });
    }

    void tellLoop(Vm &vm)
    {
        const TimePoint now = m_agenda.now();
        const NewsState state{vm.m_following->feed().history().newest(), 0,
                              vm.m_following->readAt()};
        const bool isReader = vm.m_role == StoreRole::Reader && vm.m_following->feed().isKnown();
        if (isReader && vm.m_pace.isDue(state, now)) {
            vm.m_pace.noteTold(state, now);
            for (const auto &other : m_vms) {
                if (other.get() != &vm && !vm.m_told[other.get()].m_isBusy)
                    tell(vm, *other);
            }
        }
        later(vm, NewsPace::tick, [this, &vm] { tellLoop(vm); });
    }

    void tell(Vm &reader, Vm &follower)
    {
        Told &told = reader.m_told[&follower];
        told.m_isBusy = true;
        const TimePoint now = m_agenda.now();
        const UpstreamNews news = told.m_state.newsFor(reader.m_following->feed(), now);
        const Duration age = reader.m_following->age(now);
        const auto echo = reader.m_marks[&follower].echo(now);
        const auto receipt = std::make_shared<bool>(false);
        const Duration way = wayOf(reader.m_isSlow ? reader : follower);
        const int life = reader.m_life;
        later(follower, way, [this, &reader, &follower, news, age, echo, receipt, now, life] {
            if (follower.m_isDead)
                return;
            const TimePoint takenAt = m_agenda.now();
            const ToldAge toldAge{age, sentAfter(echo, follower.m_life, takenAt)};
            const auto taking = follower.m_following->takeNews(news, toldAge, takenAt);
            const Duration back = wayOf(reader);
            if (reader.m_life != life || takenAt + back - now > NewsPace::receiptTimeout)
                return;
            *receipt = true;
            const ClockMark mark{follower.m_life, takenAt};
            later(reader, back, [this, &reader, &follower, news, taking, mark] {
                reader.m_marks[&follower].hear(mark, m_agenda.now());
                Told &answered = reader.m_told[&follower];
                answered.m_isBusy = false;
                if (taking == UpstreamFeed::Taking::Lacking)
                    answered.m_state.onLacking();
                else
                    answered.m_state.onTaken(news);
            });
        });
        later(reader, NewsPace::receiptTimeout, [&reader, &follower, receipt] {
            if (!*receipt)
                reader.m_told[&follower].m_isBusy = false;
        });
    }

    /// The first two that are not known to be lost read for the others.
    void chooseReaders()
    {
        std::size_t chosen = 0;
        const TimePoint now = m_agenda.now();
        for (const auto &vm : m_vms) {
            const bool isLost = vm->m_isDead || vm->m_isTurnedAway;
            const bool isNoticed = isLost && now - vm->m_troubledAt > noticed;
            StoreRole role = StoreRole::Follower;
            if (!m_isLarge)
                role = StoreRole::Alone;
            else if (!isNoticed && chosen++ < readers)
                role = StoreRole::Reader;
            if (role == vm->m_role)
                continue;
            vm->m_role = role;
            vm->m_told.clear();
            vm->m_following->setRole(role);
        }
        m_agenda.after(NewsPace::tick, [this] { chooseReaders(); });
    }

    void changeUpstreams()
    {
        const UpstreamId leaving = idOf(m_nextUpstream - upstreams);
        m_store.put(idOf(m_nextUpstream++), false);
        m_store.put(leaving, true);
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
            if (vm->m_isDead || vm->m_isSlow || vm->m_isTurnedAway
                || m_agenda.now() - vm->m_troubledAt < settling)
                continue;
            const auto &known = vm->m_following->feed().upstreams();
            const auto found = known.find(leaving);
            if (found != known.end() && !found->second.m_isDraining)
                ++m_late;
        }
    }

    /// Troubles strike readers more than others: what they do wrong reaches all.
    void disturb()
    {
        const bool strikesReader = m_random(2) == 0;
        Vm &vm = *m_vms[strikesReader ? m_random(readers) : m_random(m_vms.size())];
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

    void trouble(Vm &vm, bool &flag, Duration time)
    {
        flag = true;
        vm.m_troubledAt = m_agenda.now();
        m_agenda.after(time, [this, &vm, &flag] {
            flag = false;
            vm.m_troubledAt = m_agenda.now();
        });
    }

    void kill(Vm &vm, Duration time)
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
    NewsTroubles m_troubles;
    pcg32 m_random;
    Agenda m_agenda;
    UpstreamStore m_store;
    std::vector<std::unique_ptr<Vm>> m_vms;
    bool m_isLarge = false;
    std::size_t m_nextUpstream = 0;
    int m_late = 0;
};

} // namespace gypsumdale::testing
