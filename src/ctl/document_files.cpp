#include <ctl/document_files.hpp>
#include <ctl/table.hpp>

#include <fmt/format.h>

#include <utility> // move
#include <variant> // get_if

namespace gypsumdale::ctl {

namespace {

/// Reads one file into the documents; returns its findings.
Findings addFile(const Session &session, const std::string &path, DocumentFiles &files)
{
    const Result<std::string> text = session.m_surroundings.m_readFile(path);
    if (!succeeded(text)) {
        const Error &error = errorOf(text);
        return {{error.m_id, {path, 0, 0}, error.m_text, ""}};
    }
    Checked<Document> read = readDocument(valueOf(text), path, session.m_invocation.m_document);
    if (auto *findings = std::get_if<Findings>(&read))
        return std::move(*findings);
    Document &document = std::get<Document>(read);
    Findings findings = checkDocument(document);
    files.m_documents.push_back(std::move(document));
    return findings;
}

} // namespace

DocumentFiles readDocumentFiles(const Session &session)
{
    DocumentFiles files;
    for (const std::string &path : session.m_invocation.m_files) {
        const Findings findings = addFile(session, path, files);
        printFindings(session, findings);
        if (!findings.empty())
            files.m_code = ExitCode::Findings;
    }
    return files;
}

void printFindings(const Session &session, const Findings &findings)
{
    for (const Finding &finding : findings)
        session.m_surroundings.m_printError(printable(toLine(finding)) + '\n');
}

} // namespace gypsumdale::ctl
