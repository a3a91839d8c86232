#pragma once

#include <gypsumdale/core/clock.hpp>
#include <gypsumdale/core/error.hpp>
#include <gypsumdale/core/log_level.hpp>
#include <gypsumdale/observe/log_field.hpp>

#include <cstddef> // size_t
#include <cstdint> // uint64_t
#include <functional> // function
#include <initializer_list> // initializer_list
#include <memory> // unique_ptr
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale {

/// The name of a kind of event, such as "upstream-left". Made from a literal at compile time only,
/// so that the names are few, carry nothing of a caller's and can be counted one by one.
class LogEvent
{
public:
    consteval LogEvent(const char *literal)
        : m_name(literal)
    {
        for (const char letter : m_name) {
            const bool plain = (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9');
            if (!plain && letter != '-')
                throw "an event's name is made of a-z, 0-9 and '-'";
        }
    }
    constexpr std::string_view name() const { return m_name; }

private:
    std::string_view m_name;
};

/// Longest line in bytes, its newline included. No more than what a pipe takes in one piece
/// (PIPE_BUF), so that lines of several threads and processes on one pipe never mix.
constexpr std::size_t maxLogLineBytes = 4096;

/// Longest text of one field in bytes before escaping; what exceeds it is cut and marked by "...".
constexpr std::size_t maxLogTextBytes = 512;

/// Takes one whole line, its newline included. Returns false if it could not be taken.
using LogSink = std::function<bool(std::string_view line)>;

/// Returns the sink that writes each line to standard error by one write. It never waits: while
/// the reader of the pipe has stopped reading, lines are refused rather than a thread held up.
LogSink standardErrorSink();

/// A sink that holds lines back for a moment, and what writes them.
struct BatchedSink
{
    LogSink m_sink;
    std::function<void()> m_flush;
};

/// Returns a sink that writes lines to standard output in batches of up to 4 KB, the most that a
/// pipe takes in one piece: at 40 lines a second, a system call a line was most of what logging
/// cost. Like standardErrorSink() it never waits: while the reader has stopped, lines are refused.
BatchedSink standardOutputSink();

/// How many lines of one event may be written: a burst, then a rate. The rest are counted.
struct LogRate
{
    std::size_t m_burst = 20;
    double m_perSecond = 2.0;
};

/// Writes events as lines of key=value pairs (logfmt) or as JSON objects: the time in UTC, level,
/// event, node and data centre of the process, then the event's fields. Safe from any thread; a
/// call takes a lock for as long as a line takes to write.
///
/// No line holds a credential: no field is made for one, and a text that contains what looks like
/// one (see redactSecrets) has it replaced.
class Logger
{
public:
    ~Logger();
    Logger(const Logger &) = delete;
    Logger &operator=(const Logger &) = delete;

    /// Writes one line, or counts it as suppressed when its event is over the rate. Linear in the
    /// fields.
    void write(LogLevel level, LogEvent event, std::initializer_list<LogItem> fields = {});

    void debug(LogEvent event, std::initializer_list<LogItem> fields = {});
    void info(LogEvent event, std::initializer_list<LogItem> fields = {});
    void warning(LogEvent event, std::initializer_list<LogItem> fields = {});
    void error(LogEvent event, std::initializer_list<LogItem> fields = {});

    /// Writes an event at level error with the error's number, name and text ahead of the fields.
    void failure(LogEvent event, const Error &error, std::initializer_list<LogItem> fields = {});

    /// Writes one "log-suppressed" line for each event that has uncounted lines left over. To be
    /// called every few seconds and at the end, as the end of a storm brings no further line that
    /// could carry the count. Linear in the events.
    void reportSuppressed();

    /// Writes what a batched sink holds back. To be called several times a second, so that a
    /// process that is killed leaves its last lines but for those of a moment.
    void flush();

    /// Tells whether a line of that level would be written. Constant.
    bool isEnabled(LogLevel level) const;

    /// Returns the number of lines held back by the rate so far.
    std::uint64_t suppressedLines() const;

    /// Returns the number of lines the sink did not take so far.
    std::uint64_t lostLines() const;

private:
    friend class LoggerBuilder;
    struct State;
    explicit Logger(std::unique_ptr<State> state);
    std::unique_ptr<State> m_state;
};

/// Builds a Logger: `LoggerBuilder(clock).node(id).dataCentre(id).level(LogLevel::Info).build()`.
class LoggerBuilder
{
public:
    /// The clock must outlive the logger.
    explicit LoggerBuilder(const Clock &clock);

    LoggerBuilder &level(LogLevel least);
    LoggerBuilder &node(NodeId node);
    LoggerBuilder &dataCentre(DataCentreId dataCentre);
    LoggerBuilder &rate(LogRate rate);
    LoggerBuilder &format(LogFormat format);
    /// Takes the place of standard error.
    LoggerBuilder &sink(LogSink sink);
    LoggerBuilder &sink(BatchedSink sink);

    std::unique_ptr<Logger> build() const;

private:
    const Clock &m_clock;
    LogLevel m_level = LogLevel::Info;
    NodeId m_node;
    DataCentreId m_dataCentre;
    LogRate m_rate;
    LogFormat m_format = LogFormat::Logfmt;
    LogSink m_sink;
    std::function<void()> m_flush;
};

/// Begins every key that `gypsumctl keys new` makes, so that a key is known as one wherever it
/// turns up by mistake.
constexpr std::string_view secretKeyPrefix = "gypsum-key-";

/// Returns the text with everything that looks like a credential replaced by "[redacted]": what
/// follows "Bearer " or "Basic ", and keys that begin with secretKeyPrefix. Linear.
std::string redactSecrets(std::string_view text);

} // namespace gypsumdale
