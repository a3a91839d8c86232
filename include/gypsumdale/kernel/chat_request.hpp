#pragma once

#include <gypsumdale/core/ids.hpp>
#include <gypsumdale/core/result.hpp>
#include <gypsumdale/jobs/answer_text.hpp>

#include <cstdint> // uint32_t, uint64_t
#include <memory> // shared_ptr
#include <string> // string
#include <string_view> // string_view
#include <vector> // vector

namespace gypsumdale {

/// A caller's request for a chat completion.
class ChatRequest
{
public:
    /// Parses a request's body. Fails with RequestMalformed and a description.
    static Result<ChatRequest> parse(std::string_view body);

    /// Returns the service, which the body names as the model.
    const ServiceId &service() const { return m_service; }
    bool isStreamed() const { return m_isStreamed; }
    /// Estimated tokens of the prompt and of the answer, corrected by the engine's report.
    std::uint32_t promptTokens() const { return m_promptTokens; }
    std::uint32_t expectedTokens() const { return m_expectedTokens; }
    const std::vector<std::uint64_t> &prefixBlocks() const { return m_prefixBlocks; }

    /// Returns the body for an engine: streamed, with the priority, and with the answer so far for
    /// the engine to continue. Complexity: linear in the body and the answer.
    std::string bodyFor(int priority, const AnswerText &soFar) const;

private:
    struct Document;

    ServiceId m_service;
    bool m_isStreamed = false;
    std::uint32_t m_promptTokens = 0;
    std::uint32_t m_expectedTokens = 0;
    std::vector<std::uint64_t> m_prefixBlocks;
    std::shared_ptr<const Document> m_document;
};

} // namespace gypsumdale
