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

/// Walks over JSON as engines write it, without blanks. Every step that finds anything else says
/// so, and the full parser has the word.
class KnownShape
{
public:
    explicit KnownShape(std::string_view data)
        : m_rest(data)
    {}

    bool skip(std::string_view expected)
    {
        if (!m_rest.starts_with(expected))
            return false;
        m_rest.remove_prefix(expected.size());
        return true;
    }

    /// Reads an object whose members' values `takeValue` reads, told their key.
    template <typename TakeValue>
    bool object(std::string &scratch, TakeValue takeValue)
    {
        if (!skip("{"))
            return false;
        if (skip("}"))
            return true;
        do {
            const auto key = string(scratch);
            if (!key || !skip(":") || !takeValue(*key))
                return false;
        } while (skip(","));
        return skip("}");
    }

    /// Reads a string. Only printable ASCII passes; escapes are undone into `scratch`.
    std::optional<std::string_view> string(std::string &scratch)
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
        return escapedString(scratch);
    }

    std::optional<std::int64_t> number()
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

    std::optional<std::string_view> escapedString(std::string &scratch)
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

/// Takes in the members of an event that are known, in any order. An unknown one, or one that comes
/// twice, is left to the full parser.
class KnownEvent
{
public:
    KnownEvent(std::string_view data, const Scratch &scratch)
        : m_shape(data)
        , m_scratch(scratch)
    {}

    std::optional<TokenEvent> read()
    {
        const bool isRead =
                m_shape.object(m_skipped, [this](std::string_view key) { return takeMember(key); });
        const bool isWhole = m_hasAttempt && m_hasIndex && m_hasDelta;
        if (!isRead || !isWhole || !m_shape.isAtEnd())
            return std::nullopt;
        return m_event;
    }

private:
    bool takeMember(std::string_view key)
    {
        if (key == "id")
            return isFirst(m_hasAttempt) && takeString(m_scratch.m_attempt, m_event.m_attempt);
        if (key == "object" || key == "model")
            return m_shape.string(m_skipped).has_value();
        if (key == "token_index")
            return isFirst(m_hasIndex) && takeIndex();
        return key == "choices" && isFirst(m_hasChoices) && takeChoices();
    }

    bool takeChoices()
    {
        const auto takeChoice = [this](std::string_view key) {
            if (key == "index")
                return m_shape.number().has_value();
            if (key == "delta")
                return isFirst(m_hasDelta) && takeDelta();
            return key == "finish_reason" && isFirst(m_hasFinishReason) && takeFinishReason();
        };
        return m_shape.skip("[") && m_shape.object(m_skipped, takeChoice) && m_shape.skip("]");
    }

    bool takeDelta()
    {
        return m_shape.object(m_skipped, [this](std::string_view key) {
            return key == "content" && isFirst(m_hasText)
                   && takeString(m_scratch.m_text, m_event.m_text);
        });
    }

    bool takeFinishReason()
    {
        return m_shape.skip("null") || takeString(m_scratch.m_finishReason, m_event.m_finishReason);
    }

    bool takeIndex()
    {
        const auto index = m_shape.number();
        m_event.m_index = index.value_or(0);
        return index.has_value();
    }

    bool takeString(std::string &scratch, std::string_view &target)
    {
        const auto text = m_shape.string(scratch);
        target = text.value_or(std::string_view());
        return text.has_value();
    }

    static bool isFirst(bool &isSeen) { return !std::exchange(isSeen, true); }

    KnownShape m_shape;
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

/// Returns the member of that name, or nullptr for a value without one.
const nlohmann::json *memberOf(const nlohmann::json &value, const char *name)
{
    if (!value.is_object())
        return nullptr;
    const auto found = value.find(name);
    return found == value.end() ? nullptr : &*found;
}

/// Copies a string member; an absent one and null count as empty. Tells whether it was neither.
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
    if (const auto event = KnownEvent(data, scratch).read())
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
