#include <gypsumdale/observe/log.hpp>

#include <cerrno> // EINTR, errno
#include <memory> // make_shared
#include <string> // string

#include <poll.h> // poll, pollfd
#include <unistd.h> // STDERR_FILENO, write

namespace gypsumdale {

namespace {

/// Returns whether a standard stream accepts a line without blocking. If the reader of a pipe does
/// not read, a write would block the logging thread and every request on that thread. A pipe that
/// polls as writable has a free page, and a line is no longer than a page, so that the following
/// write does not block. A pipe without a reader polls as an error; a write to it would raise
/// SIGPIPE.
bool isWritable(int file)
{
    pollfd target{file, POLLOUT, 0};
    constexpr int noWait = 0;
    return ::poll(&target, 1, noWait) == 1 && target.revents == POLLOUT;
}

bool writeLine(int file, std::string_view line)
{
    if (!isWritable(file))
        return false;
    ssize_t written = -1;
    do {
        written = ::write(file, line.data(), line.size());
    } while (written < 0 && errno == EINTR);
    return written == static_cast<ssize_t>(line.size());
}

} // namespace

LogSink standardErrorSink()
{
    return [](std::string_view line) {
        return writeLine(STDERR_FILENO, line);
    };
}

BatchedSink standardOutputSink()
{
    const auto batch = std::make_shared<std::string>();
    const auto flush = [batch] {
        if (batch->empty() || !writeLine(STDOUT_FILENO, *batch))
            return false;
        batch->clear();
        return true;
    };
    BatchedSink result;
    result.m_flush = [flush] {
        flush();
    };
    result.m_sink = [batch, flush](std::string_view line) {
        if (batch->size() + line.size() > maxLogLineBytes && !flush())
            return false;
        *batch += line;
        return true;
    };
    return result;
}

} // namespace gypsumdale
