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

enum class HeaderKey { Kind, Name, Version };

constexpr NameTable<HeaderKey, 3> headerKeyNames = {{
        {HeaderKey::Kind, "kind"},
        {HeaderKey::Name, "name"},
        {HeaderKey::Version, "version"},
}};

struct HeaderValue
{
    std::string m_text;
    int m_line = 0;
};

/// Values of the lines `kind:`, `name:` and `version:`.
using Header = std::array<HeaderValue, headerKeyNames.size()>;

/// Returns the header key that a line begins with, without indentation, if any.
std::optional<HeaderKey> headerKeyOf(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    return enumFromName(headerKeyNames, line.substr(0, colon));
}

/// Returns the scalar after the colon, without quotes and comment.
std::string scalarOf(std::string_view line)
{
    try {
        const YAML::Node node = YAML::Load(std::string(line.substr(line.find(':') + 1)));
        return node.IsScalar() ? node.Scalar() : std::string();
    } catch (const YAML::Exception &) {
        return {};
    }
}

/// Separates the header lines from the body.
Header splitDocument(std::string_view text, Document &document)
{
    Header header;
    int lineNumber = 0;
    while (!text.empty()) {
        const std::size_t end = text.find('\n');
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
        ++lineNumber;
        if (const auto key = headerKeyOf(line)) {
            header[static_cast<std::size_t>(*key)] = {scalarOf(line), lineNumber};
            continue;
        }
        document.m_body += line;
        document.m_body += '\n';
        document.m_lines.push_back(lineNumber);
    }
    return header;
}

const HeaderValue &valueOf(const Header &header, HeaderKey key)
{
    return header[static_cast<std::size_t>(key)];
}

/// Adds kind and name from a path such as "profile/phone.yaml" if neither flags nor header give
/// them.
DocumentFlags completeFromPath(DocumentFlags flags, const Header &header, const std::string &path)
{
    const std::filesystem::path parts(path);
    const std::string folder = parts.parent_path().filename().string();
    const bool hasKind = !flags.m_kind.empty() || !valueOf(header, HeaderKey::Kind).m_text.empty();
    if (hasKind || !enumFromName(documentKindNames, folder))
        return flags;
    flags.m_kind = folder;
    if (flags.m_name.empty() && valueOf(header, HeaderKey::Name).m_text.empty())
        flags.m_name = parts.stem().string();
    return flags;
}

void readKind(const Header &header, const DocumentFlags &flags, Document &document,
              Findings &findings)
{
    const HeaderValue &written = valueOf(header, HeaderKey::Kind);
    const std::string &name = flags.m_kind.empty() ? written.m_text : flags.m_kind;
    if (const auto kind = enumFromName(documentKindNames, name)) {
        document.m_kind = *kind;
        return;
    }
    const bool isMissing = name.empty();
    findings.push_back(
            {isMissing ? ErrorId::SettingsMissingKey : ErrorId::SettingsUnknownName,
             {document.m_path, written.m_line, 0},
             isMissing ? "the document has no kind" : fmt::format("unknown kind '{}'", name),
             "write 'kind: profile' (or fleet, member) on a line of its own, pass --kind, or store "
             "the file as profile/NAME.yaml"});
}

void readName(const Header &header, const DocumentFlags &flags, Document &document,
              Findings &findings)
{
    const HeaderValue &written = valueOf(header, HeaderKey::Name);
    document.m_name = flags.m_name.empty() ? written.m_text : flags.m_name;
    if (document.m_name.empty() && document.m_kind == DocumentKind::Fleet)
        document.m_name = fleetSettingsName;
    if (isValidName(document.m_name) || document.m_kind == DocumentKind::Node)
        return;
    const bool isMissing = document.m_name.empty();
    findings.push_back({isMissing ? ErrorId::SettingsMissingKey : ErrorId::SettingsOutOfRange,
                        {document.m_path, written.m_line, 0},
                        isMissing ? "the document has no name" : "the name is not valid",
                        "write 'name: NAME' on a line of its own, or pass --name; names consist "
                        "of a-z, 0-9, '-' and '.'"});
}

void readVersion(const Header &header, const DocumentFlags &flags, Document &document,
                 Findings &findings)
{
    document.m_version = flags.m_version;
    const HeaderValue &written = valueOf(header, HeaderKey::Version);
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
                        "the version is not a non-negative integer",
                        "remove the line to replace the current version"});
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
    return fmt::format("{}/{}", enumName(documentKindNames, m_kind), m_name);
}

Checked<Document> readDocument(std::string_view text, const std::string &path,
                               const DocumentFlags &given)
{
    Document document;
    document.m_path = path;
    const Header header = splitDocument(text, document);
    const DocumentFlags flags = completeFromPath(given, header, path);
    Findings findings;
    readKind(header, flags, document, findings);
    if (findings.empty())
        readName(header, flags, document, findings);
    readVersion(header, flags, document, findings);
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
