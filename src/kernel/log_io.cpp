#include <gypsumdale/core/result.hpp>
#include <gypsumdale/kernel/log_io.hpp>

#include <fmt/format.h>

namespace gypsumdale {

namespace {

/// Delay of a log after a lost answer, unless the platform gave a retry-after.
constexpr Duration defaultRetryAfter = std::chrono::milliseconds(250);

LogAnswer failureAnswer(const PlatformFailure &failure)
{
    const Duration wait =
            failure.m_retryAfter > Duration::zero() ? failure.m_retryAfter : defaultRetryAfter;
    if (failure.m_failureKind == PlatformFailureKind::NoEffect)
        return LogRefused{wait};
    return LogAnswerLost{wait};
}

std::string objectName(std::string_view log, SegmentNumber number)
{
    return fmt::format("{}/{}", log, segmentName(number));
}

LogAnswer listSegments(PlatformClient &platform, std::string_view kind, std::string_view log)
{
    const auto result = platform.list(kind, fmt::format("{}/", log), false);
    const auto *objects = std::get_if<PlatformObjects>(&result);
    if (!objects)
        return failureAnswer(std::get<PlatformFailure>(result));
    SegmentsListed listed;
    for (const PlatformObject &object : objects->m_objects) {
        const auto number = segmentNumberIn(object.m_name);
        if (number)
            listed.m_numbers.push_back(*number);
    }
    return listed;
}

LogAnswer readSegment(PlatformClient &platform, std::string_view kind, const std::string &name)
{
    auto result = platform.read(kind, name);
    if (auto *object = std::get_if<PlatformObject>(&result))
        return SegmentRead{std::move(object->m_body)};
    const auto &failure = std::get<PlatformFailure>(result);
    if (failure.m_failureKind == PlatformFailureKind::NotFound)
        return SegmentMissing{};
    return failureAnswer(failure);
}

LogAnswer createSegment(PlatformClient &platform, std::string_view kind, const std::string &name,
                        const std::string &body)
{
    const auto result = platform.create(kind, name, body);
    if (std::holds_alternative<ObjectVersion>(result))
        return SegmentCreated{};
    const auto &failure = std::get<PlatformFailure>(result);
    if (failure.m_failureKind == PlatformFailureKind::Conflict)
        return SegmentConflict{};
    return failureAnswer(failure);
}

LogAnswer deleteSegment(PlatformClient &platform, std::string_view kind, const std::string &name)
{
    const auto result = platform.remove(kind, name, std::nullopt);
    if (std::holds_alternative<Done>(result))
        return SegmentDeleted{};
    const auto &failure = std::get<PlatformFailure>(result);
    if (failure.m_failureKind == PlatformFailureKind::NotFound)
        return SegmentDeleted{};
    return failureAnswer(failure);
}

} // namespace

LogAnswer performLogCommand(PlatformClient &platform, std::string_view kind, std::string_view log,
                            const LogCommand &command)
{
    return std::visit(
            Overloaded{
                    [&](const ListSegments &) { return listSegments(platform, kind, log); },
                    [&](const ReadSegment &read) {
                        return readSegment(platform, kind, objectName(log, read.m_number));
                    },
                    [&](const CreateSegment &create) {
                        return createSegment(platform, kind, objectName(log, create.m_number),
                                             create.m_body);
                    },
                    [&](const DeleteSegment &remove) {
                        return deleteSegment(platform, kind, objectName(log, remove.m_number));
                    },
            },
            command);
}

} // namespace gypsumdale
