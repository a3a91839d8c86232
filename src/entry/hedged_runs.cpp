#include <entry/hedged_runs.hpp>

#include <algorithm> // any_of, count_if
#include <mutex> // unique_lock
#include <utility> // move

namespace gypsumdale {

HedgedRun &HedgedRuns::add(PlacedRun placed, bool isRelayed)
{
    m_runs.push_back(HedgedRun{std::move(placed), isRelayed});
    return m_runs.back();
}

bool HedgedRuns::isAnyUnderWay() const
{
    return std::ranges::any_of(
            m_runs, [](const HedgedRun &run) { return run.m_state == HedgeState::UnderWay; });
}

int HedgedRuns::waiting() const
{
    return static_cast<int>(std::ranges::count_if(m_runs, [](const HedgedRun &run) {
        return run.m_state == HedgeState::UnderWay
               && (!run.m_answer || run.m_answer->m_stage == RunStage::Waiting);
    }));
}

void HedgedRuns::recordEnd(HedgedRun &run, HedgeState state)
{
    run.m_state = state;
    m_changed.notify_all();
}

bool HedgedRuns::wait(Duration atMost)
{
    const auto hasChanged = [this] {
        const bool isDelivering = std::ranges::any_of(
                m_runs, [](const HedgedRun &run) { return run.m_state == HedgeState::Delivering; });
        return isDelivering || !isAnyUnderWay();
    };
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, atMost, hasChanged);
}

std::optional<HedgedRun> HedgedRuns::takeDelivering()
{
    const auto found = std::ranges::find(m_runs, HedgeState::Delivering, &HedgedRun::m_state);
    if (found == m_runs.end())
        return std::nullopt;
    std::optional<HedgedRun> run(std::move(*found));
    m_runs.erase(found);
    return run;
}

void HedgedRuns::cancel()
{
    for (HedgedRun &run : m_runs)
        run.m_cancellation->cancel();
}

void HedgedRuns::drop()
{
    if (m_runs.empty())
        return;
    for (HedgedRun &run : m_runs)
        run.m_isDropped = true;
    cancel();
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return !isAnyUnderWay(); });
    m_runs.clear();
}

} // namespace gypsumdale
