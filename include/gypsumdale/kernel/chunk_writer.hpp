#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/jobs/answer_text.hpp>
#include <gypsumdale/jobs/epoch_history.hpp>

#include <cstdint> // int64_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view

namespace gypsumdale {

/// Whether a later reader of the same job may be given another answer. A provisional one says so in
/// its last chunk, or its body: `"provisional":true`.
enum class Finality { Final, Provisional };

/// Writes the server-sent events of one answer, in the shape of chat completion chunks.
class ChunkWriter
{
public:
    /// `name` is what the caller knows the answer by: the request's id, or the job's.
    ChunkWriter(std::string name, const ServiceId &service);

    /// Appends one token's event. With a position the event carries it as its id, which names where
    /// the caller is once it has this token. Linear in the token.
    void appendToken(std::string &buffer, std::int64_t index, std::string_view text,
                     const std::optional<AnswerPosition> &position = std::nullopt) const;

    /// Appends the last chunk, with the finish reason, and the end marker.
    void appendEnd(std::string &buffer, std::int64_t tokens, std::string_view finishReason,
                   Finality finality = Finality::Final) const;

    /// Returns the whole answer as one chat completion.
    std::string whole(const AnswerText &answer, std::string_view finishReason,
                      std::uint32_t promptTokens, Finality finality = Finality::Final) const;

private:
    std::string m_name;
    std::string m_service;
    /// What every chunk begins with.
    std::string m_head;
};

/// Appends a server-sent event of a name of its own, which chat clients pass over.
void appendNamedEvent(std::string &buffer, std::string_view event, std::string_view data);

} // namespace gypsumdale
