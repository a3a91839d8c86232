#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/jobs/answer_text.hpp>
#include <gypsumdale/jobs/epoch_history.hpp>

#include <cstdint> // int64_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale {

/// Whether the answer is final, or a later reader of the same job may receive a different one. A
/// provisional answer is marked with `"provisional":true` in its last chunk or its body.
enum class Finality { Final, Provisional };

/// Writes the server-sent events of an answer as chat completion chunks.
class ChunkWriter
{
public:
    /// `name` identifies the answer to the caller: the id of the request or the job.
    ChunkWriter(std::string name, const ServiceId &service);

    /// Appends the event of one token. If a position is given it becomes the event's id, from which
    /// the caller can resume after this token. Complexity: linear in the token.
    void appendToken(std::string &buffer, std::int64_t index, std::string_view text,
                     const std::optional<AnswerPosition> &position = std::nullopt) const;

    /// Appends the last chunk, with the finish reason, and the end marker.
    void appendEnd(std::string &buffer, std::int64_t tokens, std::string_view finishReason,
                   Finality finality = Finality::Final) const;

    /// Returns the complete answer as one chat completion.
    std::string whole(const AnswerText &answer, std::string_view finishReason,
                      std::uint32_t promptTokens, Finality finality = Finality::Final) const;

private:
    std::string m_name;
    std::string m_service;
    /// Start of every chunk.
    std::string m_chunkStart;
};

/// Appends a server-sent event with a custom name, which chat clients ignore.
void appendNamedEvent(std::string &buffer, std::string_view event, std::string_view data);

} // namespace gypsumdale
