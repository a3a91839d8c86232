#include <gypsumdale/settings/fleet_settings.hpp>
#include <gypsumdale/settings/member.hpp>
#include <gypsumdale/settings/node_settings.hpp>
#include <gypsumdale/settings/profile.hpp>
#include <gypsumdale/settings/settings_kind.hpp>

#include <ctl/document.hpp>

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <array> // array
#include <charconv> // from_chars
#include <filesystem> // path
#include <utility> // move
#include <variant> // get_if

namespace gypsumdale::ctl {

namespace {

enum class HeadKey { Kind, Name, Version };

constexpr NameTable<HeadKey, 3> headKeyNames = {{
        {HeadKey::Kind, "kind"},
        {HeadKey::Name, "name"},
        {HeadKey::Version, "version"},
}};

struct HeadValue
{
    std::string m_text;
    int m_line = 0;
};

/// What the lines `kind:`, `name:` and `version:` say.
using Head = std::array<HeadValue, headKeyNames.size()>;

/// Returns the key of a line that begins with one at the top level.
std::optional<HeadKey> headKeyOf(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    return valueIn(headKeyNames, line.substr(0, colon));
}

/// Returns the scalar behind the colon, without quotes and comment.
std::string scalarOf(std::string_view line)
{
    try {
        const YAML::Node node = YAML::Load(std::string(line.substr(line.find(':') + 1)));
        return node.IsScalar() ? node.Scalar() : std::string();
    } catch (const YAML::Exception &) {
        return {};
    }
}

/// Parts the head lines from the body.
Head splitDocument(std::string_view text, Document &document)
{
    Head head;
    int lineNumber = 0;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        ++lineNumber;
        if (const auto key = headKeyOf(line)) {
            head[static_cast<std::size_t>(*key)] = {scalarOf(line), lineNumber};
            continue;
        }
        document.m_body += line;
        document.m_body += '\n';
        document.m_lines.push_back(lineNumber);
    }
    return head;
}

const HeadValue &valueOf(const Head &head, HeadKey key)
{
    return head[static_cast<std::size_t>(key)];
}

/// Fills in from a path such as "profile/phone.yaml" what neither flags nor lines say.
DocumentFlags completeFromPath(DocumentFlags flags, const Head &head, const std::string &path)
{
    const std::filesystem::path parts(path);
    const std::string folder = parts.parent_path().filename().string();
    const bool saysKind = !flags.m_kind.empty() || !valueOf(head, HeadKey::Kind).m_text.empty();
    if (saysKind || !valueIn(documentKindNames, folder))
        return flags;
    flags.m_kind = folder;
    if (flags.m_name.empty() && valueOf(head, HeadKey::Name).m_text.empty())
        flags.m_name = parts.stem().string();
    return flags;
}

void readKind(const Head &head, const DocumentFlags &flags, Document &document, Findings &findings)
{
    const HeadValue &written = valueOf(head, HeadKey::Kind);
    const std::string &name = flags.m_kind.empty() ? written.m_text : flags.m_kind;
    if (const auto kind = valueIn(documentKindNames, name)) {
        document.m_kind = *kind;
        return;
    }
    const bool isMissing = name.empty();
    findings.push_back(
            {isMissing ? ErrorId::SettingsMissingKey : ErrorId::SettingsUnknownName,
             {document.m_path, written.m_line, 0},
             isMissing ? "nothing says what kind of document this is"
                       : fmt::format("there is no kind '{}'", name),
             "write 'kind: profile' (or fleet, member) on a line of its own, pass --kind, or keep "
             "the file as profile/NAME.yaml"});
}

void readName(const Head &head, const DocumentFlags &flags, Document &document, Findings &findings)
{
    const HeadValue &written = valueOf(head, HeadKey::Name);
    document.m_name = flags.m_name.empty() ? written.m_text : flags.m_name;
    if (document.m_name.empty() && document.m_kind == DocumentKind::Fleet)
        document.m_name = fleetSettingsName;
    if (isValidName(document.m_name) || document.m_kind == DocumentKind::Node)
        return;
    const bool isMissing = document.m_name.empty();
    findings.push_back({isMissing ? ErrorId::SettingsMissingKey : ErrorId::SettingsOutOfRange,
                        {document.m_path, written.m_line, 0},
                        isMissing ? "the document has no name" : "this can't be a name",
                        "write 'name: NAME' on a line of its own, or pass --name; names are made "
                        "of a-z, 0-9, '-' and '.'"});
}

void readVersion(const Head &head, const DocumentFlags &flags, Document &document,
                 Findings &findings)
{
    document.m_version = flags.m_version;
    const HeadValue &written = valueOf(head, HeadKey::Version);
    if (document.m_version || written.m_line == 0)
        return;
    std::int64_t version = 0;
    const char *begin = written.m_text.data();
    const char *end = begin + written.m_text.size();
    const auto [stop, error] = std::from_chars(begin, end, version);
    if (error == std::errc() && stop == end && version >= 0) {
        document.m_version = version;
        return;
    }
    findings.push_back({ErrorId::SettingsWrongType,
                        {document.m_path, written.m_line, 0},
                        "the version is not a whole number",
                        "leave the line out to edit whatever version is current"});
}

template <typename Value>
Findings findingsOf(const Checked<Value> &checked)
{
    const auto *findings = std::get_if<Findings>(&checked);
    return findings == nullptr ? Findings() : *findings;
}

Findings checkBody(const Document &document)
{
    switch (document.m_kind) {
    case DocumentKind::Profile:
        return findingsOf(
                checkProfile(ProfileId(document.m_name), document.m_body, document.m_path));
    case DocumentKind::Fleet:
        return findingsOf(checkFleetSettings(document.m_body, document.m_path));
    case DocumentKind::Member:
        return findingsOf(checkMember(MemberId(document.m_name), document.m_body, document.m_path));
    case DocumentKind::Node:
        return findingsOf(checkNodeSettings(document.m_body, document.m_path));
    }
    return {};
}

} // namespace

int Document::fileLine(int bodyLine) const
{
    const bool isKnown = bodyLine >= 1 && static_cast<std::size_t>(bodyLine) <= m_lines.size();
    return isKnown ? m_lines[static_cast<std::size_t>(bodyLine) - 1] : bodyLine;
}

std::string Document::title() const
{
    return fmt::format("{}/{}", nameIn(documentKindNames, m_kind), m_name);
}

Checked<Document> readDocument(std::string_view text, const std::string &path,
                               const DocumentFlags &given)
{
    Document document;
    document.m_path = path;
    const Head head = splitDocument(text, document);
    const DocumentFlags flags = completeFromPath(given, head, path);
    Findings findings;
    readKind(head, flags, document, findings);
    if (findings.empty())
        readName(head, flags, document, findings);
    readVersion(head, flags, document, findings);
    if (!findings.empty())
        return findings;
    return document;
}

Findings checkDocument(const Document &document)
{
    Findings findings = checkBody(document);
    for (Finding &finding : findings)
        finding.m_place.m_line = document.fileLine(finding.m_place.m_line);
    return findings;
}

std::string writeDocument(std::string_view kind, std::string_view name, std::int64_t version,
                          std::string_view body)
{
    return fmt::format("kind: {}\nname: {}\nversion: {}\n{}", kind, name, version, body);
}

} // namespace gypsumdale::ctl
