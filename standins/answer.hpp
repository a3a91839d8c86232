#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm> // min
#include <cstdint> // uint64_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::standins {

/// Returns the hash from which every token of an answer is computed.
/// Complexity: linear in the length of the prompt.
inline std::uint64_t promptHash(std::string_view prompt)
{
    return XXH64(prompt.data(), prompt.size(), 0);
}

/// Returns the token at an index of the answer to a prompt: a word with a leading space. It depends
/// only on the hash and the index, so a resumed answer continues exactly where the first attempt
/// stopped. Complexity: constant.
inline std::string answerToken(std::uint64_t hash, int index)
{
    constexpr std::string_view consonants = "bcdfghjklmnprstvwxyz";
    constexpr std::string_view vowels = "aeiou";
    constexpr int syllables = 4;
    std::uint64_t rest = XXH64(&index, sizeof(index), hash);
    std::string token = " ";
    for (int syllable = 0; syllable < syllables; ++syllable) {
        token += consonants[rest % consonants.size()];
        rest /= consonants.size();
        token += vowels[rest % vowels.size()];
        rest /= vowels.size();
    }
    return token;
}

/// Returns the number of tokens of an answer without a length limit. Complexity: constant.
inline int naturalLength(std::uint64_t hash)
{
    constexpr std::uint64_t shortest = 16;
    constexpr std::uint64_t spread = 240;
    return static_cast<int>(shortest + hash % spread);
}

/// Returns the number of tokens of an answer: the requested `target_tokens`, or the natural length
/// of the prompt's answer, limited by the caller's `max_tokens`. Complexity: constant.
inline int answerLength(std::uint64_t hash, int maxTokens,
                        std::optional<int> targetTokens = std::nullopt)
{
    return std::min(maxTokens, targetTokens.value_or(naturalLength(hash)));
}

/// Returns the full text that an engine stand-in answers to a prompt.
/// Complexity: linear in the length of the answer.
inline std::string expectedAnswer(std::string_view prompt, int maxTokens,
                                  std::optional<int> targetTokens = std::nullopt)
{
    const std::uint64_t hash = promptHash(prompt);
    const int length = answerLength(hash, maxTokens, targetTokens);
    std::string answer;
    for (int index = 0; index < length; ++index)
        answer += answerToken(hash, index);
    return answer;
}

} // namespace gypsumdale::standins
