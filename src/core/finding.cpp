#include <gypsumdale/core/finding.hpp>

#include <fmt/format.h>

namespace gypsumdale {

std::string toLine(const Finding &finding)
{
    const Place &place = finding.m_place;
    std::string line = fmt::format("{}:{}:{}: error {} ({}): {}", place.m_document, place.m_line,
                                   place.m_column, static_cast<int>(finding.m_id),
                                   errorName(finding.m_id), finding.m_text);
    if (!finding.m_hint.empty())
        line += fmt::format(" ({})", finding.m_hint);
    return line;
}

} // namespace gypsumdale
