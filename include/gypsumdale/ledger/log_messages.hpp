#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstdint> // uint64_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// The number of a segment of a log, counted from 1.
using SegmentNumber = std::uint64_t;

/// Returns the last part of the object name of a segment, zero-padded so that names sort like the
/// numbers. Complexity: constant.
std::string segmentName(SegmentNumber number);

/// Returns the segment number in the last part of an object name, or nothing if the object is not a
/// segment. Complexity: linear in the length of the name.
std::optional<SegmentNumber> segmentNumberIn(std::string_view objectName);

/// List the object names below the prefix of the log.
struct ListSegments
{};

struct ReadSegment
{
    SegmentNumber m_number = 0;
};

/// Create the object only if it is absent (`If-None-Match: *`).
struct CreateSegment
{
    SegmentNumber m_number = 0;
    std::string m_body;
};

struct DeleteSegment
{
    SegmentNumber m_number = 0;
};

/// A command of a log to the platform; a log has at most one outstanding command.
using LogCommand = std::variant<ListSegments, ReadSegment, CreateSegment, DeleteSegment>;

/// Answer to ListSegments: the segment numbers in any order.
struct SegmentsListed
{
    std::vector<SegmentNumber> m_numbers;
};

/// Answer 200 to ReadSegment.
struct SegmentRead
{
    std::string m_body;
};

/// Answer 404 to ReadSegment.
struct SegmentMissing
{};

/// Answer 201 to CreateSegment.
struct SegmentCreated
{};

/// Answer 412 to CreateSegment: the object exists.
struct SegmentConflict
{};

/// Answer 204 or 404 to DeleteSegment.
struct SegmentDeleted
{};

/// No answer, a broken connection, or 5xx: the command may have taken effect, or may still do so.
struct LogAnswerLost
{
    /// Minimum delay before the next command.
    Duration m_retryAfter{};
};

/// Answer 429, or nothing was sent: the command had no effect.
struct LogRefused
{
    Duration m_retryAfter{};
};

/// An answer of the platform to the outstanding command.
using LogAnswer = std::variant<SegmentsListed, SegmentRead, SegmentMissing, SegmentCreated,
                               SegmentConflict, SegmentDeleted, LogAnswerLost, LogRefused>;

/// Identifies one record passed to append().
using LogTicket = std::uint64_t;

/// A record is part of the log. Reported in log order, once for each record.
struct RecordApplied
{
    SegmentNumber m_number = 0;
    std::size_t m_index = 0;
    std::string m_writer;
    WallMillis m_writtenAt = 0;
    std::string m_record;
    /// Set if this object appended the record.
    std::optional<LogTicket> m_ticket;
};

/// An abandoned record will certainly never take effect.
struct RecordDropped
{
    LogTicket m_ticket = 0;
};

/// All segments that existed when this read began have been applied.
struct LogCaughtUp
{};

/// Segments vanished unread. They were trimmed, when their records had expired or are repeated in
/// later segments, or were removed by an operator.
struct LogGap
{
    SegmentNumber m_first = 0;
    SegmentNumber m_last = 0;
};

/// An applied segment turned out not to belong to the log: a writer that had been paused for longer
/// than segments are kept created it in place of a trimmed one. Its records had expired.
struct LogStray
{
    SegmentNumber m_number = 0;
};

/// A segment cannot be decoded, or the end of the log is missing. The log stops before it and reads
/// it again from time to time, until it is repaired or removed.
struct LogCorrupt
{
    SegmentNumber m_number = 0;
    std::string m_reason;
};

using PlatformLogEvent =
        std::variant<RecordApplied, RecordDropped, LogCaughtUp, LogGap, LogStray, LogCorrupt>;

} // namespace gypsumdale
