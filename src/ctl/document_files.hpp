#pragma once

#include <ctl/command.hpp>
#include <ctl/document.hpp>

#include <vector> // vector

namespace gypsumdale::ctl {

/// Documents of a command line, and the exit code if any of them is invalid.
struct DocumentFiles
{
    ExitCode m_code = ExitCode::Ok;
    std::vector<Document> m_documents;
};

/// Reads and checks all files of the command line, and prints their findings.
DocumentFiles readDocumentFiles(const Session &session);

/// Prints findings, one per line.
void printFindings(const Session &session, const Findings &findings);

} // namespace gypsumdale::ctl
