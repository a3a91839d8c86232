#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm> // min
#include <cstdint> // uint64_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale::standins {

/// Returns the hash that every token of an answer is computed from. Linear.
inline std::uint64_t promptHash(std::string_view prompt)
{
    return XXH64(prompt.data(), prompt.size(), 0);
}

/// Returns the token at an index of the answer to a prompt, a word with a leading space. Depends on
/// nothing else, so that a resumed answer goes on exactly where the first attempt stopped.
/// Constant.
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

/// Returns how many tokens the answer to a prompt has when nothing bounds it. Constant.
inline int naturalLength(std::uint64_t hash)
{
    constexpr std::uint64_t shortest = 16;
    constexpr std::uint64_t spread = 240;
    return static_cast<int>(shortest + hash % spread);
}

/// Returns how many tokens the answer has: the length asked for by `target_tokens`, or the prompt's
/// natural one, cut at the caller's `max_tokens`. Constant.
inline int answerLength(std::uint64_t hash, int maxTokens,
                        std::optional<int> targetTokens = std::nullopt)
{
    return std::min(maxTokens, targetTokens.value_or(naturalLength(hash)));
}

/// Returns the whole text that an engine stand-in answers to a prompt. Linear in its length.
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
