#include <gypsumdale/observe/log.hpp>

#include <observe/detail/log_limiter.hpp>
#include <observe/detail/log_line.hpp>

#include <chrono> // steady_clock
#include <mutex> // lock_guard, mutex
#include <span> // span
#include <thread> // sleep_for
#include <utility> // exchange, move
#include <vector> // vector

namespace gypsumdale {

namespace {

/// Interval at which the last lines are tried again, a fraction of the time that a process has.
constexpr Duration finishInterval = std::chrono::milliseconds(5);

} // namespace

struct Logger::State
{
    State(const Clock &clock, LogLevel level, LogRate rate, LogFormat format, BatchedSink sink)
        : m_clock(clock)
        , m_level(level)
        , m_format(format)
        , m_sink(std::move(sink.m_sink))
        , m_flush(std::move(sink.m_flush))
        , m_limiter(rate)
    {}

    /// Starts a line with the fields that all lines of the process share.
    detail::LogLine begin(LogLevel level, std::string_view event) const
    {
        detail::LogLine line(m_clock.wallNow(), level, event, m_format);
        line.addRaw(m_origin);
        return line;
    }

    void write(LogLevel level, LogEvent event, std::span<const LogFieldValue> fields);

    void deliver(detail::LogLine line)
    {
        if (m_sink(line.finish()))
            return;
        ++m_lost;
        ++m_unreportedLost;
    }

    void reportLost();

    const Clock &m_clock;
    LogLevel m_level;
    LogFormat m_format;
    LogSink m_sink;
    std::function<std::size_t()> m_flush;
    std::string m_origin;
    mutable std::mutex m_mutex;
    detail::LogLimiter m_limiter;
    std::uint64_t m_lost = 0;
    std::uint64_t m_unreportedLost = 0;
};

/// Writes how many lines the sink refused, or leaves that for the next call if it refuses that line
/// as well.
void Logger::State::reportLost()
{
    if (m_unreportedLost == 0)
        return;
    const std::uint64_t count = std::exchange(m_unreportedLost, 0);
    detail::LogLine line = begin(LogLevel::Warning, "log-lost");
    line.add({LogField::Count, count});
    if (!m_sink(line.finish()))
        m_unreportedLost += count;
}

void Logger::State::write(LogLevel level, LogEvent event, std::span<const LogFieldValue> fields)
{
    if (level < m_level)
        return;
    const std::lock_guard lock(m_mutex);
    if (!m_limiter.admit(event.name(), m_clock.now()))
        return;
    detail::LogLine line = begin(level, event.name());
    for (const LogFieldValue &field : fields)
        line.add(field);
    const std::uint64_t suppressed = m_limiter.takeSuppressed(event.name());
    if (suppressed > 0)
        line.add({LogField::Suppressed, suppressed});
    deliver(std::move(line));
}

Logger::Logger(std::unique_ptr<State> state)
    : m_state(std::move(state))
{}

Logger::~Logger() = default;

void Logger::write(LogLevel level, LogEvent event, std::initializer_list<LogFieldValue> fields)
{
    m_state->write(level, event, fields);
}

void Logger::failure(LogEvent event, const Error &error,
                     std::initializer_list<LogFieldValue> fields)
{
    std::vector<LogFieldValue> items = {{LogField::ErrorNumber, static_cast<int>(error.m_id)},
                                        {LogField::ErrorName, errorName(error.m_id)},
                                        {LogField::Text, error.m_text}};
    items.insert(items.end(), fields.begin(), fields.end());
    m_state->write(LogLevel::Error, event, items);
}

void Logger::debug(LogEvent event, std::initializer_list<LogFieldValue> fields)
{
    write(LogLevel::Debug, event, fields);
}

void Logger::info(LogEvent event, std::initializer_list<LogFieldValue> fields)
{
    write(LogLevel::Info, event, fields);
}

void Logger::warning(LogEvent event, std::initializer_list<LogFieldValue> fields)
{
    write(LogLevel::Warning, event, fields);
}

void Logger::error(LogEvent event, std::initializer_list<LogFieldValue> fields)
{
    write(LogLevel::Error, event, fields);
}

void Logger::reportSuppressed()
{
    const std::lock_guard lock(m_state->m_mutex);
    for (const auto &[event, count] : m_state->m_limiter.takeAllSuppressed()) {
        detail::LogLine line = m_state->begin(LogLevel::Warning, "log-suppressed");
        line.add({LogField::SuppressedEvent, event});
        line.add({LogField::Suppressed, count});
        m_state->deliver(std::move(line));
    }
    m_state->reportLost();
}

void Logger::flush()
{
    const std::lock_guard lock(m_state->m_mutex);
    if (m_state->m_flush)
        m_state->m_flush();
}

std::size_t Logger::finish(Duration limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    for (;;) {
        {
            const std::lock_guard lock(m_state->m_mutex);
            const std::size_t held = m_state->m_flush ? m_state->m_flush() : 0;
            if (held == 0 || std::chrono::steady_clock::now() >= end) {
                m_state->m_lost += held;
                return held;
            }
        }
        std::this_thread::sleep_for(finishInterval);
    }
}

bool Logger::isEnabled(LogLevel level) const
{
    return level >= m_state->m_level;
}

std::uint64_t Logger::suppressedLines() const
{
    const std::lock_guard lock(m_state->m_mutex);
    return m_state->m_limiter.totalSuppressed();
}

std::uint64_t Logger::lostLines() const
{
    const std::lock_guard lock(m_state->m_mutex);
    return m_state->m_lost;
}

LoggerBuilder::LoggerBuilder(const Clock &clock)
    : m_clock(clock)
    , m_sink(standardErrorSink())
{}

LoggerBuilder &LoggerBuilder::level(LogLevel least)
{
    m_level = least;
    return *this;
}

LoggerBuilder &LoggerBuilder::node(NodeId node)
{
    m_node = std::move(node);
    return *this;
}

LoggerBuilder &LoggerBuilder::dataCentre(DataCentreId dataCentre)
{
    m_dataCentre = std::move(dataCentre);
    return *this;
}

LoggerBuilder &LoggerBuilder::rate(LogRate rate)
{
    m_rate = rate;
    return *this;
}

LoggerBuilder &LoggerBuilder::format(LogFormat format)
{
    m_format = format;
    return *this;
}

LoggerBuilder &LoggerBuilder::sink(LogSink sink)
{
    m_sink = std::move(sink);
    return *this;
}

LoggerBuilder &LoggerBuilder::sink(BatchedSink sink)
{
    m_sink = std::move(sink.m_sink);
    m_flush = std::move(sink.m_flush);
    return *this;
}

std::unique_ptr<Logger> LoggerBuilder::build() const
{
    auto state = std::make_unique<Logger::State>(m_clock, m_level, m_rate, m_format,
                                                 BatchedSink{m_sink, m_flush});
    if (!m_node.isEmpty())
        state->m_origin += detail::writeLogItem(m_node, m_format);
    if (!m_dataCentre.isEmpty())
        state->m_origin += detail::writeLogItem(m_dataCentre, m_format);
    return std::unique_ptr<Logger>(new Logger(std::move(state)));
}

} // namespace gypsumdale
