#include <gypsumdale/jobs/sse_parser.hpp>

#include <nlohmann/json.hpp>

#include <limits> // numeric_limits
#include <optional> // optional
#include <utility> // exchange

namespace gypsumdale {

namespace {

constexpr std::string_view endMarker = "[DONE]";
constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char firstBeyondAscii = 0x80;
constexpr std::size_t maximumDigits = 18;

/// Scans JSON as engines write it, without whitespace. Every step reports whether it matched;
/// anything else is left to the full parser.
class JsonScanner
{
public:
    explicit JsonScanner(std::string_view data)
        : m_rest(data)
    {}

    bool skip(std::string_view expected)
    {
        if (!m_rest.starts_with(expected))
            return false;
        m_rest.remove_prefix(expected.size());
        return true;
    }

    /// Reads an object; `readValue` receives each key and reads its value.
    template <typename ReadValue>
    bool readObject(std::string &scratch, ReadValue readValue)
    {
        if (!skip("{"))
            return false;
        if (skip("}"))
            return true;
        do {
            const auto key = readString(scratch);
            if (!key || !skip(":") || !readValue(*key))
                return false;
        } while (skip(","));
        return skip("}");
    }

    /// Reads a string. Accepts printable ASCII only; escapes are decoded into `scratch`.
    std::optional<std::string_view> readString(std::string &scratch)
    {
        if (!skip("\""))
            return std::nullopt;
        std::size_t length = 0;
        while (length < m_rest.size() && isPlain(m_rest[length]))
            ++length;
        if (length == m_rest.size())
            return std::nullopt;
        if (m_rest[length] == '"') {
            const std::string_view text = m_rest.substr(0, length);
            m_rest.remove_prefix(length + 1);
            return text;
        }
        return readEscapedString(scratch);
    }

    std::optional<std::int64_t> readNumber()
    {
        std::size_t length = 0;
        std::int64_t value = 0;
        while (length < m_rest.size() && m_rest[length] >= '0' && m_rest[length] <= '9') {
            if (length == maximumDigits)
                return std::nullopt;
            value = value * 10 + (m_rest[length] - '0');
            ++length;
        }
        const bool hasLeadingZero = length > 1 && m_rest.front() == '0';
        if (length == 0 || hasLeadingZero)
            return std::nullopt;
        m_rest.remove_prefix(length);
        return value;
    }

    bool isAtEnd() const { return m_rest.empty(); }

private:
    static bool isPlain(char character)
    {
        const auto byte = static_cast<unsigned char>(character);
        return byte >= firstPrintable && byte < firstBeyondAscii && character != '"'
               && character != '\\';
    }

    static std::optional<char> unescaped(char character)
    {
        switch (character) {
        case 'n':
            return '\n';
        case 't':
            return '\t';
        case 'r':
            return '\r';
        case '"':
        case '\\':
        case '/':
            return character;
        default:
            return std::nullopt;
        }
    }

    std::optional<std::string_view> readEscapedString(std::string &scratch)
    {
        scratch.clear();
        for (std::size_t at = 0; at < m_rest.size(); ++at) {
            if (m_rest[at] == '"') {
                m_rest.remove_prefix(at + 1);
                return scratch;
            }
            if (isPlain(m_rest[at])) {
                scratch.push_back(m_rest[at]);
                continue;
            }
            if (m_rest[at] != '\\' || ++at == m_rest.size())
                return std::nullopt;
            const std::optional<char> character = unescaped(m_rest[at]);
            if (!character)
                return std::nullopt;
            scratch.push_back(*character);
        }
        return std::nullopt;
    }

    std::string_view m_rest;
};

struct Scratch
{
    std::string &m_attempt;
    std::string &m_text;
    std::string &m_finishReason;
};

/// Reads the known members of an event in any order. An event with an unknown or repeated member is
/// left to the full parser.
class EventScanner
{
public:
    EventScanner(std::string_view data, const Scratch &scratch)
        : m_scanner(data)
        , m_scratch(scratch)
    {}

    std::optional<TokenEvent> read()
    {
        const bool isRead = m_scanner.readObject(
                m_skipped, [this](std::string_view key) { return readMember(key); });
        const bool hasRequired = m_hasAttempt && m_hasIndex && m_hasDelta;
        if (!isRead || !hasRequired || !m_scanner.isAtEnd())
            return std::nullopt;
        return m_event;
    }

private:
    bool readMember(std::string_view key)
    {
        if (key == "id")
            return isFirst(m_hasAttempt) && readString(m_scratch.m_attempt, m_event.m_attempt);
        if (key == "object" || key == "model")
            return m_scanner.readString(m_skipped).has_value();
        if (key == "token_index")
            return isFirst(m_hasIndex) && readIndex();
        return key == "choices" && isFirst(m_hasChoices) && readChoices();
    }

    bool readChoices()
    {
        const auto readChoice = [this](std::string_view key) {
            if (key == "index")
                return m_scanner.readNumber().has_value();
            if (key == "delta")
                return isFirst(m_hasDelta) && readDelta();
            return key == "finish_reason" && isFirst(m_hasFinishReason) && readFinishReason();
        };
        return m_scanner.skip("[") && m_scanner.readObject(m_skipped, readChoice)
               && m_scanner.skip("]");
    }

    bool readDelta()
    {
        return m_scanner.readObject(m_skipped, [this](std::string_view key) {
            return key == "content" && isFirst(m_hasText)
                   && readString(m_scratch.m_text, m_event.m_text);
        });
    }

    bool readFinishReason()
    {
        return m_scanner.skip("null")
               || readString(m_scratch.m_finishReason, m_event.m_finishReason);
    }

    bool readIndex()
    {
        const auto index = m_scanner.readNumber();
        m_event.m_index = index.value_or(0);
        return index.has_value();
    }

    bool readString(std::string &scratch, std::string_view &target)
    {
        const auto text = m_scanner.readString(scratch);
        target = text.value_or(std::string_view());
        return text.has_value();
    }

    static bool isFirst(bool &isSeen) { return !std::exchange(isSeen, true); }

    JsonScanner m_scanner;
    const Scratch &m_scratch;
    std::string m_skipped;
    TokenEvent m_event;
    bool m_hasAttempt = false;
    bool m_hasIndex = false;
    bool m_hasChoices = false;
    bool m_hasDelta = false;
    bool m_hasText = false;
    bool m_hasFinishReason = false;
};

/// Returns the member with this name, or nullptr if the value has none.
const nlohmann::json *memberOf(const nlohmann::json &value, const char *name)
{
    if (!value.is_object())
        return nullptr;
    const auto found = value.find(name);
    return found == value.end() ? nullptr : &*found;
}

/// Copies a string member; an absent one and null count as empty. Returns false for any other type.
bool copyText(const nlohmann::json *value, std::string &text)
{
    text.clear();
    if (value == nullptr || value->is_null())
        return true;
    if (!value->is_string())
        return false;
    text = value->get_ref<const std::string &>();
    return true;
}

bool readDocument(const nlohmann::json &document, const Scratch &scratch, std::int64_t &index)
{
    const nlohmann::json *position = memberOf(document, "token_index");
    const nlohmann::json *choices = memberOf(document, "choices");
    if (position == nullptr || !position->is_number_integer() || choices == nullptr
        || !choices->is_array() || choices->size() != 1) {
        return false;
    }
    const bool isBeyond = position->is_number_unsigned()
                          && position->get<std::uint64_t>() > static_cast<std::uint64_t>(
                                     std::numeric_limits<std::int64_t>::max());
    if (isBeyond || position->get<std::int64_t>() < 0)
        return false;
    index = position->get<std::int64_t>();
    const nlohmann::json *delta = memberOf(choices->front(), "delta");
    if (delta == nullptr)
        return false;
    return copyText(memberOf(document, "id"), scratch.m_attempt)
           && copyText(memberOf(*delta, "content"), scratch.m_text)
           && copyText(memberOf(choices->front(), "finish_reason"), scratch.m_finishReason);
}

} // namespace

Result<EngineEvent> EngineEventReader::read(std::string_view data)
{
    if (data == endMarker)
        return EngineEvent(EndMarker{});
    const Scratch scratch{m_attempt, m_text, m_finishReason};
    if (const auto event = EventScanner(data, scratch).read())
        return EngineEvent(*event);
    const auto document = nlohmann::json::parse(data, nullptr, false);
    if (memberOf(document, "error") != nullptr)
        return Error{ErrorId::UpstreamFailed, "the engine reported an error in its stream"};
    TokenEvent event;
    if (!readDocument(document, scratch, event.m_index))
        return Error{ErrorId::UpstreamFailed, "not an event of a chat completion"};
    event.m_attempt = m_attempt;
    event.m_text = m_text;
    event.m_finishReason = m_finishReason;
    return EngineEvent(event);
}

} // namespace gypsumdale
