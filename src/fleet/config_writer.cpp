#include <gypsumdale/fleet/config_writer.hpp>

#include <utility> // move

namespace gypsumdale {

namespace {

constexpr std::string_view writeIdPrefix = "# write: ";

/// Maximum number of calls of one write.
constexpr int maxCalls = 8;

/// Returns the position at which the body's last line starts.
std::size_t lastLine(std::string_view body)
{
    const auto end = body.find_last_not_of('\n');
    if (end == std::string_view::npos)
        return 0;
    const auto lineBreak = body.rfind('\n', end);
    return lineBreak == std::string_view::npos ? 0 : lineBreak + 1;
}

} // namespace

std::string withWriteId(std::string_view body, std::string_view writeId)
{
    std::string tagged(body);
    if (writeIdOf(body))
        tagged.resize(lastLine(body));
    if (!tagged.empty() && tagged.back() != '\n')
        tagged += '\n';
    tagged += writeIdPrefix;
    tagged += writeId;
    tagged += '\n';
    return tagged;
}

std::optional<std::string> writeIdOf(std::string_view body)
{
    auto line = body.substr(lastLine(body));
    if (!line.starts_with(writeIdPrefix))
        return std::nullopt;
    line.remove_prefix(writeIdPrefix.size());
    return std::string(line.substr(0, line.find('\n')));
}

ConfigWriter::ConfigWriter(ConfigEdit edit)
    : m_edit(std::move(edit))
    , m_callsLeft(maxCalls)
{}

ConfigWriterStep ConfigWriter::start()
{
    if (m_edit.m_delete)
        return write();
    m_edit.m_body = withWriteId(m_edit.m_body, m_edit.m_writeId);
    auto checked = checkConfigBody(m_edit.m_key, m_edit.m_body);
    if (auto *findings = std::get_if<Findings>(&checked))
        return EditRefused{std::move(*findings)};
    return write();
}

ConfigWriterStep ConfigWriter::onWritten(ConfigVersion version)
{
    return EditAccepted{m_edit.m_delete ? 0 : version};
}

ConfigWriterStep ConfigWriter::onConflict()
{
    return ReadObject{m_edit.m_key};
}

ConfigWriterStep ConfigWriter::onRefused(const Error &error)
{
    // An earlier call whose answer was lost may still have taken effect.
    if (m_answerLost)
        return readBack(error);
    return EditFailed{error};
}

ConfigWriterStep ConfigWriter::onAnswerLost(const Error &error)
{
    m_answerLost = true;
    return readBack(error);
}

ConfigWriterStep ConfigWriter::onRead(const std::optional<ConfigObject> &object)
{
    const ConfigVersion version = object ? object->m_version : 0;
    const bool isUntouched = version == m_edit.m_editedVersion;
    if (!m_answerLost)
        return EditConflict{m_edit.m_editedVersion, m_edit.m_body, object, true};
    if (m_edit.m_delete && !object)
        return EditAccepted{0};
    if (object && !m_edit.m_delete && writeIdOf(object->m_body) == m_edit.m_writeId)
        return EditAccepted{version};
    // Repeating the write is safe: both calls are conditional, so at most one takes effect.
    if (isUntouched && --m_callsLeft > 0)
        return write();
    return EditUnknown{{ErrorId::PlatformAnswerLost,
                        "the answer was lost, and it is unknown whether the change took effect"},
                       object};
}

ConfigWriterStep ConfigWriter::onReadFailed(const Error &error)
{
    if (m_answerLost)
        return readBack(error);
    return EditConflict{m_edit.m_editedVersion, m_edit.m_body, std::nullopt, false};
}

ConfigWriterStep ConfigWriter::readBack(const Error &error)
{
    if (--m_callsLeft > 0)
        return ReadObject{m_edit.m_key};
    return EditUnknown{error, std::nullopt};
}

ConfigWriterStep ConfigWriter::write() const
{
    if (m_edit.m_delete)
        return DeleteObject{m_edit.m_key, m_edit.m_editedVersion};
    return PutObject{m_edit.m_key, m_edit.m_editedVersion, m_edit.m_body};
}

} // namespace gypsumdale
