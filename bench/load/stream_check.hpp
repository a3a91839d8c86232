#pragma once

#include <cstddef> // size_t
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::load {

/// Reads a streamed answer and compares it with what it has to be.
class StreamCheck
{
public:
    explicit StreamCheck(std::string expected)
        : m_expected(std::move(expected))
    {}

    /// Takes the next piece of the body; returns how many tokens it completed. Linear.
    std::size_t take(std::string_view piece);

    /// Returns an empty text if the answer came whole, else what is wrong with it.
    std::string verdict() const;

private:
    bool takeLine(std::string_view line);

    std::string m_expected;
    std::string m_pending;
    std::string m_answer;
    std::string m_error;
    bool m_ended = false;
};

} // namespace gypsumdale::load
