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

/// Name of a kind of event, such as "upstream-left". Constructible from a literal at compile time
/// only, so that the set of names is small, contains no caller's text, and events can be counted by
/// name.
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

/// Maximum length of a line in bytes, including its newline. It does not exceed PIPE_BUF, the most
/// that a pipe accepts atomically, so that lines of several threads and processes on one pipe never
/// mix.
constexpr std::size_t maxLogLineBytes = 4096;

/// Maximum length of a field's text in bytes before escaping. Longer texts are truncated and end in
/// "...".
constexpr std::size_t maxLogTextBytes = 512;

/// Accepts one complete line, including its newline. Returns false if the line could not be
/// accepted.
using LogSink = std::function<bool(std::string_view line)>;

/// Maximum size in bytes of the lines that a batched sink holds while the reader does not read. The
/// requests that a stop cuts are logged within milliseconds, in up to 400 lines of each of three
/// events of about 400 bytes, while a pipe holds 64 KiB.
constexpr std::size_t maxLogBacklogBytes = std::size_t{512} * 1024;

/// Returns a sink that writes each line to standard error with one write. It never blocks: while
/// the reader of the pipe does not read, lines are refused.
LogSink standardErrorSink();

/// Buffering sink, with the function that writes its buffer as far as the reader accepts it and
/// returns the number of lines that are left.
struct BatchedSink
{
    LogSink m_sink;
    std::function<std::size_t()> m_flush;
};

/// Returns a sink that writes lines to standard output in batches of up to 4 KB, the most that a
/// pipe accepts atomically. At 40 lines per second, one system call per line accounted for most of
/// the cost of logging. It never blocks: while the reader does not read, lines are held, and
/// refused once maxLogBacklogBytes are held.
BatchedSink standardOutputSink();

/// Limit on the lines of one event: a burst, then a rate. Lines beyond it are only counted.
struct LogRate
{
    std::size_t m_burst = 20;
    double m_perSecond = 2.0;
};

/// Writes events as lines of key=value pairs (logfmt) or as JSON objects: the time in UTC, the
/// level, the event, the node and data centre of the process, then the event's fields. Safe from
/// any thread; a call holds a lock while it writes its line.
///
/// No line contains a credential: there is no field for one, and text that looks like a credential
/// is replaced (see redactSecrets).
class Logger
{
public:
    ~Logger();
    Logger(const Logger &) = delete;
    Logger &operator=(const Logger &) = delete;

    /// Writes one line, or counts it as suppressed if its event exceeds the rate. Complexity:
    /// linear in the number of fields.
    void write(LogLevel level, LogEvent event, std::initializer_list<LogFieldValue> fields = {});

    void debug(LogEvent event, std::initializer_list<LogFieldValue> fields = {});
    void info(LogEvent event, std::initializer_list<LogFieldValue> fields = {});
    void warning(LogEvent event, std::initializer_list<LogFieldValue> fields = {});
    void error(LogEvent event, std::initializer_list<LogFieldValue> fields = {});

    /// Writes an event at level error, with the error's number, name and text before the fields.
    void failure(LogEvent event, const Error &error,
                 std::initializer_list<LogFieldValue> fields = {});

    /// Writes one "log-suppressed" line for each event with suppressed lines that were not reported
    /// yet, and a "log-lost" line if the sink has refused lines since the last one. Must be called
    /// every few seconds and at shutdown, as no further line that could carry the count may follow
    /// a burst. Complexity: linear in the number of events.
    void reportSuppressed();

    /// Flushes a batched sink. Must be called several times per second, so that a killed process
    /// loses at most the lines of the last moment.
    void flush();

    /// Flushes a batched sink until all its lines are written, for at most the given time. Blocks
    /// the calling thread, but no other one that logs. Called last: lines that are still held then
    /// are counted as lost. Returns the number of those.
    std::size_t finish(Duration limit);

    /// Returns whether a line of the given level would be written. Complexity: constant.
    bool isEnabled(LogLevel level) const;

    /// Returns the number of lines suppressed by the rate limit so far.
    std::uint64_t suppressedLines() const;

    /// Returns the number of lines that the sink refused so far, or still held at finish().
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
    /// Sets the sink. The default is standard error.
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
    std::function<std::size_t()> m_flush;
};

/// Prefix of every key that `gypsumctl keys new` creates, so that a key can be recognised wherever
/// it appears by mistake.
constexpr std::string_view secretKeyPrefix = "gypsum-key-";

/// Returns the text with everything that looks like a credential replaced by "[redacted]": the word
/// after "Bearer " or "Basic ", and the rest of keys that begin with secretKeyPrefix. Complexity:
/// linear in the length of the text.
std::string redactSecrets(std::string_view text);

} // namespace gypsumdale
