#include <gypsumdale/jobs/job_id.hpp>

#include <fmt/format.h>

#include <charconv> // from_chars
#include <string_view> // string_view

namespace gypsumdale {

namespace {

constexpr int hexadecimal = 16;

template <typename Number>
bool parseHex(std::string_view text, Number &number)
{
    const auto [end, error] =
            std::from_chars(text.data(), text.data() + text.size(), number, hexadecimal);
    return error == std::errc() && end == text.data() + text.size();
}

} // namespace

JobLogId logOf(const ProcessRef &process)
{
    return JobLogId(fmt::format("{}.{:x}", process.m_node.text(), process.m_incarnation));
}

std::optional<ProcessRef> processOf(const JobLogId &log)
{
    const std::string_view text = log.text();
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos || dot == 0)
        return std::nullopt;
    ProcessRef process{NodeId(std::string(text.substr(0, dot))), 0};
    if (!parseHex(text.substr(dot + 1), process.m_incarnation))
        return std::nullopt;
    return process;
}

JobId makeJobId(const ProcessRef &origin, std::uint64_t number, std::uint64_t salt)
{
    return JobId(fmt::format("{}.{:x}.{:016x}", logOf(origin).text(), number, salt));
}

std::optional<JobLogId> logOf(const JobId &job)
{
    const std::string_view text = job.text();
    const std::size_t saltDot = text.rfind('.');
    if (saltDot == std::string_view::npos || saltDot == 0)
        return std::nullopt;
    const std::size_t numberDot = text.rfind('.', saltDot - 1);
    if (numberDot == std::string_view::npos)
        return std::nullopt;
    std::uint64_t number = 0;
    if (!parseHex(text.substr(saltDot + 1), number)
        || !parseHex(text.substr(numberDot + 1, saltDot - numberDot - 1), number)) {
        return std::nullopt;
    }
    JobLogId log(std::string(text.substr(0, numberDot)));
    if (!processOf(log))
        return std::nullopt;
    return log;
}

} // namespace gypsumdale
