#pragma once

#include <gypsumdale/observe/log.hpp>

#include <cstddef> // size_t
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::detail {

/// Lines for a file descriptor, in the order in which they were added. Whole lines are written in
/// pieces of at most maxLogLineBytes, and only while the descriptor accepts bytes. A line of which
/// only a part was accepted is continued where it stopped. Bounded by maxLogBacklogBytes.
class LogBacklog
{
public:
    explicit LogBacklog(int file)
        : m_file(file)
    {}

    /// Adds a line, after writing those before it if they fill a batch. Returns false, and does not
    /// take the line, if the bound would be exceeded.
    bool add(std::string_view line);

    /// Writes as much as the descriptor accepts without blocking. Returns the number of lines that
    /// are left. Complexity: linear in the bytes that are held.
    std::size_t write();

private:
    std::string_view held() const;
    std::string_view nextPiece() const;
    void consume(std::size_t bytes);
    void compact();

    int m_file;
    std::string m_bytes;
    /// Bytes at the front of m_bytes that were written.
    std::size_t m_written = 0;
    std::size_t m_lines = 0;
    /// Bytes added since the descriptor was last tried.
    std::size_t m_untried = 0;
};

} // namespace gypsumdale::detail
