#include <gypsumdale/kernel/traffic.hpp>

#include <fmt/format.h>

namespace gypsumdale {

Traffic::Traffic(const Clock &clock, int threads)
    : m_clock(clock)
{
    for (int number = 0; number < threads; ++number)
        m_threads.push_back(std::make_unique<TrafficThread>(number));
}

void Traffic::attach(Control &control, FiberLoop &controlLoop)
{
    m_control = &control;
    m_controlLoop = &controlLoop;
    const ControlContext &context = control.context();
    m_metrics = &context.m_metrics;
    m_idPrefix = fmt::format("{}.{:x}", context.m_settings.m_node.text(), context.m_incarnation);
}

void Traffic::start()
{
    for (const auto &thread : m_threads)
        thread->m_loop.start();
}

std::vector<FiberLoop *> Traffic::loops()
{
    std::vector<FiberLoop *> result;
    for (const auto &thread : m_threads)
        result.push_back(&thread->m_loop);
    return result;
}

TrafficThread &Traffic::current()
{
    for (const auto &thread : m_threads) {
        if (thread->m_loop.isCurrent())
            return *thread;
    }
    return *m_threads.front();
}

TrafficThread &Traffic::next()
{
    return *m_threads[m_next++ % m_threads.size()];
}

RequestId Traffic::nextRequestId()
{
    return RequestId(fmt::format("{}.r{:x}", m_idPrefix, ++m_requests));
}

Duration Traffic::processorTime() const
{
    Duration sum{};
    for (const auto &thread : m_threads)
        sum += thread->m_loop.processorTime();
    return sum;
}

} // namespace gypsumdale
