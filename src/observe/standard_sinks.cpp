#include <gypsumdale/observe/log.hpp>

#include <observe/detail/descriptor_write.hpp>
#include <observe/detail/log_backlog.hpp>

#include <cerrno> // EINTR, errno
#include <memory> // make_shared

#include <poll.h> // poll, pollfd
#include <unistd.h> // STDERR_FILENO, STDOUT_FILENO, write

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

} // namespace

std::size_t detail::writeWithoutBlocking(int file, std::string_view text)
{
    if (!isWritable(file))
        return 0;
    ssize_t written = -1;
    do {
        written = ::write(file, text.data(), text.size());
    } while (written < 0 && errno == EINTR);
    return written < 0 ? 0 : static_cast<std::size_t>(written);
}

LogSink standardErrorSink()
{
    return [](std::string_view line) {
        return detail::writeWithoutBlocking(STDERR_FILENO, line) == line.size();
    };
}

BatchedSink standardOutputSink()
{
    const auto backlog = std::make_shared<detail::LogBacklog>(STDOUT_FILENO);
    BatchedSink result;
    result.m_flush = [backlog] {
        return backlog->write();
    };
    result.m_sink = [backlog](std::string_view line) {
        return backlog->add(line);
    };
    return result;
}

} // namespace gypsumdale
