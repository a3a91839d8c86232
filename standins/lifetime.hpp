#pragma once

#include <gypsumdale/runtime/http_server.hpp>

#include <atomic> // atomic

namespace gypsumdale::standins {

/// Whether a stand-in serves, and how its connections behave if not.
enum class LifeState {
    Alive,
    /// Connections are closed without sending another byte, as when a process is killed.
    Stopped,
    /// Connections stay open and nothing more is sent, as when a VM vanishes.
    Silent,
};

/// Life state of a stand-in. Its fibers check the state between two steps of their work.
class Lifetime
{
public:
    LifeState state() const { return m_state.load(); }
    bool isAlive() const { return state() == LifeState::Alive; }
    void set(LifeState state) { m_state.store(state); }

    /// Suspends the fiber for a time, in short steps. Returns early with false if the caller closed
    /// its connection or the stand-in is no longer alive, else true.
    bool wait(Duration duration, const HttpResponder &responder) const;

    /// Suspends the fiber until the caller closes its connection or the stand-in is stopped, for at
    /// most ten minutes. Simulates a connection on which nothing is sent.
    void waitUntilGone(const HttpResponder &responder) const;

private:
    std::atomic<LifeState> m_state = LifeState::Alive;
};

} // namespace gypsumdale::standins
