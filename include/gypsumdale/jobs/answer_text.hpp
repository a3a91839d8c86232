#pragma once

#include <gypsumdale/core/result.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// An answer so far: its text and where each token ends in it. One byte of wire and four bytes of
/// memory per token beside the text.
class AnswerText
{
public:
    /// Adds one token behind the rest. Constant, amortised.
    void append(std::string_view token);

    /// Adds all tokens of another piece behind the rest. Linear in the piece.
    void append(const AnswerText &piece);

    std::int64_t tokens() const { return static_cast<std::int64_t>(m_ends.size()); }
    const std::string &text() const { return m_text; }
    bool isEmpty() const { return m_ends.empty(); }

    /// Returns the byte offset at which the first `tokens` tokens end; offsets beyond the answer
    /// count as its end. Constant.
    std::size_t bytesBefore(std::int64_t tokens) const;

    /// Returns one token's text; it lives as long as the answer is not changed. Constant.
    std::string_view token(std::int64_t index) const;

    /// Returns the text behind the first `tokens` tokens. Constant.
    std::string_view textFrom(std::int64_t tokens) const;

    /// Returns the tokens from an offset on as an answer of their own. Linear in what is copied.
    AnswerText from(std::int64_t tokens) const;

    /// Drops all behind the first `tokens` tokens. Constant.
    void truncateTo(std::int64_t tokens);

    /// Writes the byte lengths of the tokens from an offset on as unsigned LEB128. Linear.
    std::string encodedLengths(std::int64_t fromToken = 0) const;

    /// Reads an answer back. Fails with PeerMalformed if the lengths do not add up to the text.
    /// Linear.
    static Result<AnswerText> decode(std::string_view text, std::string_view lengths);

    friend bool operator==(const AnswerText &, const AnswerText &) = default;

private:
    std::string m_text;
    std::vector<std::uint32_t> m_ends;
};

} // namespace gypsumdale
