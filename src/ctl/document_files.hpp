#pragma once

#include <ctl/command.hpp>
#include <ctl/document.hpp>

#include <vector> // vector

namespace gypsumdale::ctl {

/// The documents of a command line, or how to end as they can't be used.
struct DocumentFiles
{
    ExitCode m_code = ExitCode::Ok;
    std::vector<Document> m_documents;
};

/// Reads and checks every file of the command line, and prints all findings of all of them.
DocumentFiles readDocumentFiles(const Session &session);

/// Prints findings, one a line.
void printFindings(const Session &session, const Findings &findings);

} // namespace gypsumdale::ctl
