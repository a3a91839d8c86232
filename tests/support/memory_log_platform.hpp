#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/ledger/log_messages.hpp>

#include <map> // map
#include <string> // string

namespace gypsumdale::testing {

/// The segments of one log, as the platform would hold them.
class MemoryLogPlatform
{
public:
    /// Carries out a command and returns the answer.
    LogAnswer perform(const LogCommand &command)
    {
        return std::visit(Overloaded{
                                  [this](const ListSegments &) { return list(); },
                                  [this](const ReadSegment &read) { return find(read.m_number); },
                                  [this](const CreateSegment &create) { return add(create); },
                                  [this](const DeleteSegment &remove) {
                                      m_segments.erase(remove.m_number);
                                      return LogAnswer(SegmentDeleted{});
                                  },
                          },
                          command);
    }

    std::map<SegmentNumber, std::string> m_segments;

private:
    LogAnswer list() const
    {
        SegmentsListed listed;
        for (const auto &[number, body] : m_segments)
            listed.m_numbers.push_back(number);
        return listed;
    }

    LogAnswer find(SegmentNumber number) const
    {
        const auto found = m_segments.find(number);
        if (found == m_segments.end())
            return SegmentMissing{};
        return SegmentRead{found->second};
    }

    LogAnswer add(const CreateSegment &create)
    {
        if (!m_segments.emplace(create.m_number, create.m_body).second)
            return SegmentConflict{};
        return SegmentCreated{};
    }
};

} // namespace gypsumdale::testing
