#include "standins/lifetime.hpp"

#include <algorithm> // min

namespace gypsumdale::standins {

namespace {

constexpr Duration waitStep = std::chrono::milliseconds(50);
constexpr Duration longestHang = std::chrono::minutes(10);

} // namespace

bool Lifetime::wait(Duration duration, const HttpResponder &responder) const
{
    while (duration > Duration::zero()) {
        if (!isAlive() || responder.isCallerGone())
            return false;
        const Duration part = std::min(duration, waitStep);
        sleepFiber(part);
        duration -= part;
    }
    return isAlive() && !responder.isCallerGone();
}

void Lifetime::waitUntilGone(const HttpResponder &responder) const
{
    Duration left = longestHang;
    while (left > Duration::zero()) {
        if (state() == LifeState::Stopped || responder.isCallerGone())
            return;
        sleepFiber(waitStep);
        left -= waitStep;
    }
}

} // namespace gypsumdale::standins
