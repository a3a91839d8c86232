#pragma once

#include <gypsumdale/core/names.hpp>

#include <cstdint> // int64_t
#include <string> // string

namespace gypsumdale {

/// What an operator may order about a roll-out.
enum class RolloutAction {
    /// Place nothing on the new version until it is resumed. Its time goes on.
    Pause,
    Resume,
    RollBack,
};

inline constexpr NameTable<RolloutAction, 3> rolloutActionNames = {{
        {RolloutAction::Pause, "pause"},
        {RolloutAction::Resume, "resume"},
        {RolloutAction::RollBack, "rollback"},
}};

/// An operator's order about the roll-out of a name.
struct RolloutOrder
{
    std::string m_rollout;
    RolloutAction m_action = RolloutAction::Pause;
};

/// A roll-out as operators see it.
struct RolloutView
{
    std::string m_rollout;
    std::string m_service;
    std::string m_target;
    std::string m_stage;
    std::string m_reason;
    double m_share = 0;
    std::int64_t m_answers = 0;
    std::int64_t m_badAnswers = 0;
    std::int64_t m_controlAnswers = 0;
    std::int64_t m_remainingMillis = 0;
    bool m_isPaused = false;
};

} // namespace gypsumdale
