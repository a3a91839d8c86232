#include <observe/detail/log_backlog.hpp>

#include <observe/detail/descriptor_write.hpp>

#include <algorithm> // count

namespace gypsumdale::detail {

namespace {

/// A buffer of this size is kept when it is empty; a larger one is released.
constexpr std::size_t keptCapacityBytes = std::size_t{16} * 1024;

} // namespace

bool LogBacklog::add(std::string_view line)
{
    const bool isFull = held().size() + line.size() > maxLogBacklogBytes;
    if (isFull || m_untried + line.size() > maxLogLineBytes)
        write();
    if (held().size() + line.size() > maxLogBacklogBytes)
        return false;
    compact();
    m_bytes += line;
    m_untried += line.size();
    ++m_lines;
    return true;
}

std::size_t LogBacklog::write()
{
    m_untried = 0;
    while (!held().empty()) {
        const std::string_view piece = nextPiece();
        const std::size_t accepted = writeWithoutBlocking(m_file, piece);
        const bool isWhole = accepted == piece.size();
        consume(accepted);
        if (!isWhole)
            break;
    }
    return m_lines;
}

std::string_view LogBacklog::held() const
{
    return std::string_view(m_bytes).substr(m_written);
}

/// Returns the lines from the front that fit into one write.
std::string_view LogBacklog::nextPiece() const
{
    const std::string_view most = held().substr(0, maxLogLineBytes);
    const std::size_t lastEnd = most.rfind('\n');
    return lastEnd == std::string_view::npos ? most : most.substr(0, lastEnd + 1);
}

void LogBacklog::consume(std::size_t bytes)
{
    m_lines -= static_cast<std::size_t>(std::ranges::count(held().substr(0, bytes), '\n'));
    m_written += bytes;
    if (m_written < m_bytes.size())
        return;
    m_written = 0;
    m_bytes.clear();
    if (m_bytes.capacity() > keptCapacityBytes)
        m_bytes.shrink_to_fit();
}

/// Removes the bytes that were written once they are half of the buffer, so that each byte is moved
/// once on average.
void LogBacklog::compact()
{
    if (2 * m_written <= m_bytes.size())
        return;
    m_bytes.erase(0, m_written);
    m_written = 0;
}

} // namespace gypsumdale::detail
