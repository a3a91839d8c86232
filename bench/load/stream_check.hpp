#pragma once

#include <cstddef> // size_t
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::load {

/// Parses a streamed answer and compares it with the expected text.
class StreamCheck
{
public:
    explicit StreamCheck(std::string expected)
        : m_expected(std::move(expected))
    {}

    /// Parses the next piece of the body; returns the number of tokens that it completed.
    /// Complexity: linear in the length of the piece.
    std::size_t take(std::string_view piece);

    /// Returns an empty text if the answer is complete and correct, else the error.
    std::string verdict() const;

private:
    bool parseLine(std::string_view line);

    std::string m_expected;
    std::string m_pending;
    std::string m_answer;
    std::string m_error;
    bool m_ended = false;
};

} // namespace gypsumdale::load
