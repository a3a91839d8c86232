#pragma once

#include <gypsumdale/core/result.hpp>

#include <cstddef> // size_t
#include <cstdint> // int64_t
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// The text of an answer so far and the offset at which each token ends. In addition to the text, a
/// token takes one byte on the wire (two from 128 bytes on) and four bytes of memory.
class AnswerText
{
public:
    /// Appends one token. Complexity: amortised constant.
    void append(std::string_view token);

    /// Appends all tokens of another answer. Complexity: linear in its size.
    void append(const AnswerText &other);

    std::int64_t tokens() const { return static_cast<std::int64_t>(m_ends.size()); }
    const std::string &text() const { return m_text; }
    bool isEmpty() const { return m_ends.empty(); }

    /// Returns the byte offset at which the first `tokens` tokens end. Token numbers beyond the
    /// answer give its end. Complexity: constant.
    std::size_t bytesBefore(std::int64_t tokens) const;

    /// Returns the text of one token, valid until the answer is changed. Complexity: constant.
    std::string_view token(std::int64_t index) const;

    /// Returns the text after the first `tokens` tokens. Complexity: constant.
    std::string_view textFrom(std::int64_t tokens) const;

    /// Returns a copy of the tokens after the first `tokens` tokens. Complexity: linear in the
    /// copied text.
    AnswerText from(std::int64_t tokens) const;

    /// Removes all tokens after the first `tokens` tokens. Complexity: constant.
    void truncateTo(std::int64_t tokens);

    /// Encodes the byte lengths of the tokens from index `fromToken` on as unsigned LEB128.
    /// Complexity: linear.
    std::string encodedLengths(std::int64_t fromToken = 0) const;

    /// Decodes an answer. Fails with PeerMalformed if the lengths do not add up to the text.
    /// Complexity: linear.
    static Result<AnswerText> decode(std::string_view text, std::string_view lengths);

    friend bool operator==(const AnswerText &, const AnswerText &) = default;

private:
    std::string m_text;
    std::vector<std::uint32_t> m_ends;
};

} // namespace gypsumdale
