#include <gypsumdale/settings/entry_settings.hpp>
#include <gypsumdale/settings/fleet_settings.hpp>
#include <gypsumdale/settings/member.hpp>
#include <gypsumdale/settings/node_settings.hpp>
#include <gypsumdale/settings/profile.hpp>

#include <catch2/catch.hpp>

#include <chrono> // milliseconds, seconds
#include <cstdlib> // getenv
#include <filesystem> // path, recursive_directory_iterator
#include <fstream> // ifstream
#include <iterator> // istreambuf_iterator
#include <map> // map
#include <string> // string

using namespace gypsumdale;
using std::chrono::milliseconds;

namespace {

const std::string goodProfile = "latency: {first-token: 350ms, deadline: 12s}\n"
                                "durability: none\n"
                                "repeat: repeatable\n";

Findings findingsOf(const std::string &text)
{
    auto checked = checkProfile(ProfileId("p"), text, "p.yaml");
    auto *findings = std::get_if<Findings>(&checked);
    return findings ? *findings : Findings{};
}

/// Expects exactly one finding with the given id at the given position.
void expectOne(const std::string &text, ErrorId id, int line, int column)
{
    const auto findings = findingsOf(text);
    INFO(text);
    REQUIRE(findings.size() == 1);
    INFO(toLine(findings[0]));
    CHECK(findings[0].m_id == id);
    CHECK(findings[0].m_place.m_document == "p.yaml");
    CHECK(findings[0].m_place.m_line == line);
    CHECK(findings[0].m_place.m_column == column);
}

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream stream(path);
    return {std::istreambuf_iterator<char>(stream), {}};
}

template <typename Value>
void expectClean(const Checked<Value> &checked)
{
    if (const auto *findings = std::get_if<Findings>(&checked)) {
        for (const auto &finding : *findings)
            FAIL_CHECK(toLine(finding));
    }
}

std::filesystem::path samplesFolder()
{
    const char *folder = std::getenv("GYPSUMDALE_SAMPLES");
    return folder ? folder : "samples";
}

} // namespace

TEST_CASE("a profile is read with its defaults", "[settings]")
{
    const auto checked = checkProfile(ProfileId("p"), goodProfile + "priority: 1\n", "p.yaml");
    expectClean(checked);
    const auto &profile = std::get<Profile>(checked);
    CHECK(profile.m_id == ProfileId("p"));
    CHECK(profile.m_latency.m_firstToken == milliseconds(350));
    CHECK(profile.m_priority == 1);
    CHECK(profile.m_retries == 2);
    CHECK(profile.allowsService(ServiceId("any")));

    SECTION("a once profile has no retries by default, and its queue ends at the deadline")
    {
        const auto once =
                checkProfile(ProfileId("p"),
                             "latency: {first-token: 1s, deadline: 2s}\ndurability: none\n"
                             "repeat: once\n",
                             "p.yaml");
        expectClean(once);
        CHECK(std::get<Profile>(once).m_retries == 0);
        CHECK(std::get<Profile>(once).m_queue.m_wait == std::chrono::seconds(2));
    }
}

TEST_CASE("each fault has its number and place", "[settings]")
{
    expectOne(goodProfile + "prioritee: 1\n", ErrorId::SettingsUnknownKey, 4, 1);
    CHECK(findingsOf(goodProfile + "prioritee: 1\n")[0].m_hint == "did you mean priority?");
    expectOne("latency: {first-token: 1s, deadline: 2s}\nrepeat: once\n",
              ErrorId::SettingsMissingKey, 1, 1);
    expectOne(goodProfile + "priority: high\n", ErrorId::SettingsWrongType, 4, 11);
    expectOne(goodProfile + "priority:\n", ErrorId::SettingsWrongType, 4, 1);
    expectOne(goodProfile + "priority: 10\n", ErrorId::SettingsOutOfRange, 4, 11);
    expectOne(goodProfile + "priority: 99999999999999\n", ErrorId::SettingsOutOfRange, 4, 11);
    expectOne(goodProfile + "priority: 1\npriority: 2\n", ErrorId::SettingsDuplicate, 5, 1);
    expectOne(goodProfile + "services: [a, b, a]\n", ErrorId::SettingsDuplicate, 4, 18);
    expectOne(goodProfile + "queue: {wait: 13s}\n", ErrorId::SettingsContradiction, 4, 15);
    expectOne(goodProfile + "queue: [\n", ErrorId::SettingsSyntax, 5, 1);
    expectOne("", ErrorId::SettingsWrongType, 0, 0);
    expectOne(goodProfile + "---\na: b\n", ErrorId::SettingsSyntax, 0, 0);
    expectOne(std::string(maxDocumentBytes + 1, '#'), ErrorId::SettingsUnreadable, 0, 0);
    for (const char *wrong : {"5", "5 s", "-5s", "s", "1.5s", "99999999999999999999h"})
        expectOne(goodProfile + "queue: {wait: " + wrong + "}\n", ErrorId::SettingsWrongType, 4,
                  15);

    const std::string once = "latency: {first-token: 1s, deadline: 2s}\nrepeat: once\n";
    expectOne(once + "durability: job\n", ErrorId::SettingsContradiction, 3, 13);
    expectOne(once + "durability: none\nretries: 1\n", ErrorId::SettingsContradiction, 4, 10);
    expectOne(once + "durability: jib\n", ErrorId::SettingsUnknownName, 3, 13);
}

TEST_CASE("all findings come together, in the order of lines", "[settings]")
{
    const auto findings = findingsOf("repeat: twice\n"
                                     "latency: {first-token: 9s, deadline: 2s, first: 1}\n"
                                     "hedging: perhaps\n"
                                     "colour: red\n");
    std::vector<int> lines;
    for (const auto &finding : findings)
        lines.push_back(finding.m_place.m_line);
    CHECK(lines == std::vector<int>{1, 1, 2, 2, 3, 4});
}

// An operator pastes ten lines of nested aliases that expand to 10^9 nodes, or a megabyte of
// brackets. The admin call must return a finding immediately instead of exhausting the VM's memory.
TEST_CASE("a document that would expand or nest without end is refused", "[settings]")
{
    std::string bomb = "a: &a [x, x, x, x, x, x, x, x, x, x]\n";
    for (char name = 'b'; name < 'k'; ++name) {
        const char last = static_cast<char>(name - 1);
        bomb += std::string(1, name) + ": &" + name + " [";
        for (int i = 0; i < 10; ++i)
            bomb += std::string("*") + last + (i < 9 ? ", " : "]\n");
    }
    const auto findings = findingsOf(bomb);
    REQUIRE_FALSE(findings.empty());
    CHECK(findings.size() <= 100);
    CHECK(findings[0].m_id == ErrorId::SettingsSyntax);
    for (const std::string &open : {std::string("["), std::string("{a: "), std::string("- ")}) {
        std::string deep;
        for (int i = 0; i < 5000; ++i)
            deep += open;
        CHECK_FALSE(findingsOf(deep).empty());
    }
    // Keys that are maps, aliases to an enclosing node, and bytes that are not UTF-8.
    for (const char *odd :
         {"? {a: b}\n: c\n", "&a [*a]", "\xff\xfe\x00", "%YAML 9\n---\n", "!!binary x"})
        CHECK_FALSE(findingsOf(odd).empty());
}

TEST_CASE("node settings are checked across their parts", "[settings]")
{
    const auto file = samplesFolder() / "wholesale" / "node" / "olten-a-1.yaml";
    const auto text = readFile(file);
    const auto first = [](const std::string &document) {
        const auto checked = checkNodeSettings(document, "n.yaml");
        const auto *findings = std::get_if<Findings>(&checked);
        return findings && findings->size() == 1 ? findings->front().m_id : ErrorId::Internal;
    };
    const auto with = [&text](const std::string &old, const std::string &fresh) {
        auto copy = text;
        return copy.replace(copy.find(old), old.size(), fresh);
    };
    const auto secret = "text: wholesale-sample-peer-secret";
    CHECK(first(with("18101", "18100")) == ErrorId::SettingsContradiction);
    CHECK(first(with("- node: olten-a-2", "- node: olten-a-1")) == ErrorId::SettingsContradiction);
    CHECK(first(with(secret, "{}")) == ErrorId::SettingsMissingKey);
    CHECK(first(with(secret, "{text: a, file: /b}")) == ErrorId::SettingsContradiction);
    CHECK(first(with("127.0.0.1:18000", "localhost:18000")) == ErrorId::SettingsWrongType);
    CHECK(first(with("127.0.0.1:18000", "127.0.0.1:0")) == ErrorId::SettingsWrongType);
    CHECK(first(text + "intervals: {heartbeat: 2s}\n") == ErrorId::SettingsContradiction);
    CHECK(std::holds_alternative<NodeSettings>(
            checkNodeSettings(with("127.0.0.1:18000", "'[::1]:18000'"), "n.yaml")));
}

TEST_CASE("fleet settings name only what they declare", "[settings]")
{
    const std::string base = "data-centres: [{name: a, region: r}]\n"
                             "services: [{name: s, kind: model}]\n";
    expectClean(checkFleetSettings(base, "f"));
    const auto limits = [&base](const std::string &entry) {
        return checkFleetSettings(base + "scaling: {limits: [" + entry + "]}\n", "f");
    };
    expectClean(limits("{service: s, data-centre: a, class: c, max: 1}"));
    for (const char *wrong : {"{service: t, data-centre: a, class: c, max: 1}",
                              "{service: s, data-centre: b, class: c, max: 1}",
                              "{service: s, data-centre: a, class: c, min: 2, max: 1}"})
        CHECK(std::holds_alternative<Findings>(limits(wrong)));
    CHECK(std::holds_alternative<Findings>(
            checkFleetSettings("data-centres: []\nservices: [{name: s, kind: model}]\n", "f")));
}

TEST_CASE("the configuration page lists the keys that the checker knows", "[settings]")
{
    const auto page = readFile(samplesFolder().parent_path() / "docs" / "CONFIGURATION.md");
    const auto section = [&page](const std::string &name) {
        const auto mark = "<!-- keys: " + name + " -->\n";
        const auto start = page.find(mark);
        REQUIRE(start != std::string::npos);
        const auto from = start + mark.size();
        return page.substr(from, page.find("<!-- end -->", from) - from);
    };
    CHECK(section("node") == toMarkdown(nodeSettingsReference()));
    CHECK(section("entry") == toMarkdown(entrySettingsReference()));
    CHECK(section("profile") == toMarkdown(profileReference()));
    CHECK(section("fleet") == toMarkdown(fleetSettingsReference()));
    CHECK(section("member") == toMarkdown(memberReference()));
}

TEST_CASE("every sample file passes its check", "[settings]")
{
    std::map<std::string, int> counts;
    for (const auto &entry : std::filesystem::recursive_directory_iterator(samplesFolder())) {
        const auto &path = entry.path();
        if (path.extension() != ".yaml")
            continue;
        const auto kind = path.parent_path().filename().string();
        const auto name = path.stem().string();
        const auto text = readFile(path);
        ++counts[kind];
        if (kind == "node") {
            const auto checked = checkNodeSettings(text, path.string());
            expectClean(checked);
            CHECK(std::get<NodeSettings>(checked).m_node.text() == name);
        } else if (kind == "profile") {
            expectClean(checkProfile(ProfileId(name), text, path.string()));
        } else if (kind == "fleet") {
            expectClean(checkFleetSettings(text, path.string()));
        } else if (kind == "member") {
            expectClean(checkMember(MemberId(name), text, path.string()));
        }
    }
    const std::map<std::string, int> expected{
            {"fleet", 2}, {"member", 10}, {"node", 12}, {"profile", 10}};
    CHECK(counts == expected);
}

TEST_CASE("settings of an entry process", "[settings]")
{
    const std::string whole = "node: front-a-1\ndata-centre: a\nregion: r\n"
                              "caller-listen: 10.0.0.1:80\nready-listen: 10.0.0.1:81\n"
                              "peer-listen: 10.0.0.1:82\nstore: 10.0.0.9:1\n"
                              "data-centres: [a, b]\nbounds: {lease-term: 3000ms}\n"
                              "scaling: {least-share: 0.5}\n";
    const auto check = [](const std::string &text) {
        return checkEntrySettings(text, "entry.yaml");
    };

    SECTION("are read whole")
    {
        const auto checked = check(whole);
        expectClean(checked);
        const auto &settings = std::get<EntrySettings>(checked);
        CHECK(settings.m_peerListen.m_port == 82);
        CHECK_FALSE(settings.m_cloud);
        CHECK(settings.m_bounds.m_leaseTerm == std::chrono::seconds(3));
        CHECK_FALSE(settings.m_isFirstStart);
        CHECK_FALSE(settings.m_peerAdvertise);
    }
    SECTION("may tell peers another address than the one it listens at")
    {
        const auto checked = check(whole + "peer-advertise: 10.1.0.1:9082\n");
        expectClean(checked);
        const auto &settings = std::get<EntrySettings>(checked);
        REQUIRE(settings.m_peerAdvertise);
        CHECK(settings.m_peerAdvertise->m_port == 9082);
        expectClean(check(whole + "peer-advertise: 10.0.0.1:82\n"));
        CHECK(std::holds_alternative<Findings>(check(whole + "peer-advertise: 10.0.0.1:80\n")));
    }
    SECTION("that are wrong give findings with their places")
    {
        CHECK(std::holds_alternative<Findings>(check("")));
        CHECK(std::holds_alternative<Findings>(check(whole + "unknown: 1\n")));
        CHECK(std::holds_alternative<Findings>(check(whole + "metrics-listen: 10.0.0.1:82\n")));
        const auto elsewhere = check("data-centre: c\n" + whole.substr(whole.find("region")));
        REQUIRE(std::holds_alternative<Findings>(elsewhere));
        CHECK(std::get<Findings>(elsewhere).size() >= 2);
    }
}
