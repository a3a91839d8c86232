#include "reader.hpp"

#include <gypsumdale/settings/checker.hpp>

#include <fmt/format.h>
#include <yaml-cpp/eventhandler.h>

#include <algorithm> // max, min, stable_sort
#include <numeric> // iota
#include <sstream> // istringstream
#include <tuple> // tie

namespace gypsumdale::detail {

namespace {

/// Maximum number of findings reported for one document; further ones add no information.
constexpr std::size_t maxFindings = 100;

/// Processes a document's parser events without building its nodes, and reports violations of the
/// size limits.
class BoundsCheck : public YAML::EventHandler
{
public:
    explicit BoundsCheck(Reader &reader)
        : m_reader(reader)
    {}

    void OnDocumentStart(const YAML::Mark &) override {}
    void OnDocumentEnd() override {}
    void OnNull(const YAML::Mark &, YAML::anchor_t) override {}
    void OnScalar(const YAML::Mark &, const std::string &, YAML::anchor_t,
                  const std::string &) override
    {}

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t) override
    {
        m_reader.addAt(ErrorId::SettingsSyntax, mark, "aliases are not allowed",
                       "write the value out");
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string &, YAML::anchor_t,
                         YAML::EmitterStyle::value) override
    {
        enter(mark);
    }
    void OnSequenceEnd() override { --m_depth; }

    void OnMapStart(const YAML::Mark &mark, const std::string &, YAML::anchor_t,
                    YAML::EmitterStyle::value) override
    {
        enter(mark);
    }
    void OnMapEnd() override { --m_depth; }

private:
    void enter(const YAML::Mark &mark)
    {
        ++m_depth;
        if (m_depth != deepestNesting + 1)
            return;
        m_reader.addAt(ErrorId::SettingsSyntax, mark,
                       fmt::format("nested deeper than {} levels", deepestNesting));
    }

    Reader &m_reader;
    int m_depth = 0;
};

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t changed = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, changed});
        }
    }
    return row.back();
}

/// Checks the limits and the number of documents in the text.
void checkBounds(const std::string &text, Reader &reader)
{
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    BoundsCheck check(reader);
    parser.HandleNextDocument(check);
    if (reader.isClean() && parser.HandleNextDocument(check))
        reader.addAt(ErrorId::SettingsSyntax, YAML::Mark::null_mark(),
                     "the text contains more than one document");
}

} // namespace

void Reader::add(ErrorId id, const YAML::Node &node, std::string text, std::string hint)
{
    const auto mark = node.IsDefined() ? node.Mark() : YAML::Mark::null_mark();
    addAt(id, mark, std::move(text), std::move(hint));
}

void Reader::addAt(ErrorId id, const YAML::Mark &mark, std::string text, std::string hint)
{
    if (m_findings.size() >= maxFindings)
        return;
    Place place{m_document, mark.line + 1, mark.column + 1};
    m_findings.push_back({id, std::move(place), std::move(text), std::move(hint)});
}

Findings Reader::take()
{
    const auto earlier = [](const Finding &left, const Finding &right) {
        return std::tie(left.m_place.m_line, left.m_place.m_column)
               < std::tie(right.m_place.m_line, right.m_place.m_column);
    };
    std::stable_sort(m_findings.begin(), m_findings.end(), earlier);
    return std::move(m_findings);
}

std::optional<YAML::Node> parseDocument(std::string_view text, Reader &reader)
{
    if (text.size() > maxDocumentBytes) {
        reader.addAt(
                ErrorId::SettingsUnreadable, YAML::Mark::null_mark(),
                fmt::format("{} bytes exceed the maximum of {}", text.size(), maxDocumentBytes));
        return std::nullopt;
    }
    const std::string copy(text);
    try {
        checkBounds(copy, reader);
        if (!reader.isClean())
            return std::nullopt;
        return YAML::Load(copy);
    } catch (const YAML::Exception &error) {
        reader.addAt(ErrorId::SettingsSyntax, error.mark, error.msg);
        return std::nullopt;
    }
}

YAML::Node nodeAt(const YAML::Node &root, std::initializer_list<const char *> path)
{
    YAML::Node node = root;
    for (const char *key : path) {
        const YAML::Node &parent = node;
        if (!parent.IsMap() || !parent[key].IsDefined())
            break;
        node.reset(parent[key]);
    }
    return node;
}

std::string nearestHint(std::string_view wrong, const std::vector<std::string> &names)
{
    constexpr std::size_t longestCompared = 64;
    if (wrong.size() > longestCompared)
        return {};
    std::size_t best = std::max<std::size_t>(2, wrong.size() / 3) + 1;
    std::string nearest;
    for (const auto &name : names) {
        const std::size_t distance = editDistance(wrong, name);
        if (distance >= best)
            continue;
        best = distance;
        nearest = name;
    }
    return nearest.empty() ? std::string() : fmt::format("did you mean {}?", nearest);
}

} // namespace gypsumdale::detail
