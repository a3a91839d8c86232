#pragma once

#include <fmt/format.h>

#include <cstddef> // size_t
#include <string> // string
#include <vector> // vector

namespace gypsumdale::testing {

/// Answer of an upstream, of which a part is sent.
struct CutAnswer
{
    std::string m_name;
    std::string m_head;
    std::string m_body;
};

/// Returns successful answers to a request, one for each way in which a head can say where its body
/// ends, and one behind an interim head.
inline std::vector<CutAnswer> answersTo(const std::string &requestId, const std::string &body)
{
    const std::string fields = fmt::format("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                           "Gypsumdale-Request-Id: {}\r\n"
                                           "Gypsumdale-Response-Signature: s\r\n",
                                           requestId);
    const std::string length = fmt::format("Content-Length: {}\r\n\r\n", body.size());
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    const std::string chunks = fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
    return {{"length", fields + length, body},
            {"chunks", fields + "Transfer-Encoding: chunked\r\n\r\n", chunks},
            {"neither length nor chunks", fields + "\r\n", body},
            {"interim head", interim + fields + length, body}};
}

/// Returns where a head may be cut that differs for a parser: before, within and behind the end of
/// each line, and within the next line.
inline std::vector<std::size_t> cutsAroundLines(const std::string &head)
{
    constexpr std::size_t withinLine = 5;
    std::vector<std::size_t> cuts;
    for (std::size_t end = head.find('\n'); end != std::string::npos;
         end = head.find('\n', end + 1)) {
        for (const std::size_t cut : {end - 1, end, end + 1, end + 1 + withinLine}) {
            const bool isNext = cut > 0 && (cuts.empty() || cut > cuts.back());
            if (isNext && cut < head.size())
                cuts.push_back(cut);
        }
    }
    return cuts;
}

} // namespace gypsumdale::testing
