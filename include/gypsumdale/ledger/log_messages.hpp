#pragma once

#include <gypsumdale/core/clock.hpp>

#include <cstdint> // uint64_t
#include <optional> // optional
#include <string> // string
#include <string_view> // string_view
#include <variant> // variant
#include <vector> // vector

namespace gypsumdale {

/// Counts the segments of a log from 1.
using SegmentNumber = std::uint64_t;

/// Returns the last part of a segment's object name, zero-padded so that names sort as the numbers
/// do. Constant.
std::string segmentName(SegmentNumber number);

/// Returns the number in the last part of an object's name, or nothing if it is not a segment's.
/// Linear in the name.
std::optional<SegmentNumber> segmentNumberIn(std::string_view objectName);

/// List the names below the log's prefix.
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

/// What a log asks of the platform; at most one command of a log is outstanding.
using LogCommand = std::variant<ListSegments, ReadSegment, CreateSegment, DeleteSegment>;

/// The answer to ListSegments, in any order.
struct SegmentsListed
{
    std::vector<SegmentNumber> m_numbers;
};

/// 200 to ReadSegment.
struct SegmentRead
{
    std::string m_body;
};

/// 404 to ReadSegment.
struct SegmentMissing
{};

/// 201 to CreateSegment.
struct SegmentCreated
{};

/// 412 to CreateSegment: the object exists.
struct SegmentConflict
{};

/// 204 or 404 to DeleteSegment.
struct SegmentDeleted
{};

/// The command may or may not have taken effect, or may yet: no answer, a broken connection, 5xx.
struct LogAnswerLost
{
    /// How long the next command shall wait.
    Duration m_retryAfter{};
};

/// The command certainly had no effect: 429, or nothing was sent.
struct LogRefused
{
    Duration m_retryAfter{};
};

/// How the platform answered the outstanding command.
using LogAnswer = std::variant<SegmentsListed, SegmentRead, SegmentMissing, SegmentCreated,
                               SegmentConflict, SegmentDeleted, LogAnswerLost, LogRefused>;

/// One record that the caller handed to append().
using LogTicket = std::uint64_t;

/// A record stands in the log. Reported in log order, once each.
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

/// An abandoned record is now known never to take effect.
struct RecordDropped
{
    LogTicket m_ticket = 0;
};

/// All segments that existed when this reading began have been applied.
struct LogCaughtUp
{};

/// Segments are gone unread: trimmed, so that their records had expired or stand again in
/// later ones, or removed by an operator.
struct LogGap
{
    SegmentNumber m_first = 0;
    SegmentNumber m_last = 0;
};

/// A segment that was applied turned out not to belong to the log: a writer that had been paused
/// for longer than records are kept put it where a trimmed one had been. Its records had expired.
struct LogStray
{
    SegmentNumber m_number = 0;
};

/// A segment that can't be read as one, or an end of the log that is gone. The log stops in front
/// of it, and reads it again from time to time, until it is mended or removed.
struct LogCorrupt
{
    SegmentNumber m_number = 0;
    std::string m_reason;
};

using PlatformLogEvent =
        std::variant<RecordApplied, RecordDropped, LogCaughtUp, LogGap, LogStray, LogCorrupt>;

} // namespace gypsumdale
