#pragma once

#include <gypsumdale/runtime/http_server.hpp>

#include <atomic> // atomic

namespace gypsumdale::standins {

/// How a stand-in that was told to die behaves from then on.
enum class LifeState {
    Alive,
    /// Connections are closed without a further byte, as when a process is killed.
    Stopped,
    /// Connections stay open and nothing comes any more, as when a VM vanishes.
    Silent,
};

/// Whether a stand-in is alive; read by each of its fibers between two steps.
class Lifetime
{
public:
    LifeState state() const { return m_state.load(); }
    bool isAlive() const { return state() == LifeState::Alive; }
    void set(LifeState state) { m_state.store(state); }

    /// Suspends the fiber for a time, in steps, and returns early when the caller has gone or the
    /// stand-in has died. Returns whether to go on.
    bool wait(Duration duration, const HttpResponder &responder) const;

    /// Suspends the fiber until the caller has gone or the stand-in was stopped, for at most ten
    /// minutes. This is what a caller of a silent connection meets.
    void waitUntilGone(const HttpResponder &responder) const;

private:
    std::atomic<LifeState> m_state = LifeState::Alive;
};

} // namespace gypsumdale::standins
