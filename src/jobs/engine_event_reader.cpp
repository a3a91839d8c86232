#include <gypsumdale/jobs/sse_parser.hpp>

#include <nlohmann/json.hpp>

#include <limits> // numeric_limits
#include <optional> // optional

namespace gypsumdale {

namespace {

constexpr std::string_view endMarker = "[DONE]";
constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char firstBeyondAscii = 0x80;
constexpr std::size_t maximumDigits = 18;

/// Walks over one event in the exact shape that engines write. Every step that finds anything else
/// says so, and the full parser has the word.
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

    /// Reads up to the closing quote. Only printable ASCII passes; escapes are undone into
    /// `scratch`.
    std::optional<std::string_view> string(std::string &scratch)
    {
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

std::optional<TokenEvent> readKnownShape(std::string_view data, const Scratch &scratch)
{
    KnownShape shape(data);
    TokenEvent event;
    if (!shape.skip(R"({"id":")"))
        return std::nullopt;
    const auto attempt = shape.string(scratch.m_attempt);
    if (!attempt || !shape.skip(R"(,"object":"chat.completion.chunk","token_index":)"))
        return std::nullopt;
    const auto index = shape.number();
    if (!index || !shape.skip(R"(,"choices":[{"index":0,"delta":{)"))
        return std::nullopt;
    if (shape.skip(R"("content":")")) {
        const auto text = shape.string(scratch.m_text);
        if (!text)
            return std::nullopt;
        event.m_text = *text;
    }
    if (!shape.skip(R"(},"finish_reason":)"))
        return std::nullopt;
    if (!shape.skip("null")) {
        if (!shape.skip("\""))
            return std::nullopt;
        const auto finishReason = shape.string(scratch.m_finishReason);
        if (!finishReason)
            return std::nullopt;
        event.m_finishReason = *finishReason;
    }
    if (!shape.skip("}]}") || !shape.isAtEnd())
        return std::nullopt;
    event.m_attempt = *attempt;
    event.m_index = *index;
    return event;
}

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
    if (const auto event = readKnownShape(data, scratch))
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
