#include <gypsumdale/settings/checker.hpp>

#include <fmt/format.h>

namespace gypsumdale {

std::string toMarkdown(const KeyReferences &keys)
{
    std::string page =
            "| key | kind | default | range | meaning |\n| --- | --- | --- | --- | --- |\n";
    for (const auto &key : keys)
        page += fmt::format("| `{}` | {} | {} | {} | {} |\n", key.m_path, key.m_type, key.m_default,
                            key.m_range, key.m_text);
    return page;
}

} // namespace gypsumdale
