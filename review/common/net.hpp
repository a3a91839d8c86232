// Small blocking HTTP/1.1 server and client for the stand-ins of the cases. One thread for each
// connection; everything is on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline double secondsSince(Clock::time_point begin)
{
    return std::chrono::duration<double>(Clock::now() - begin).count();
}

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline std::string lower(std::string text)
{
    for (char &c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string fieldOf(const Fields &fields, const std::string &name)
{
    for (const auto &[key, value] : fields) {
        if (lower(key) == lower(name))
            return value;
    }
    return {};
}

// A connected socket with a read buffer.
class Socket
{
public:
    explicit Socket(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    ~Socket() { close(); }

    int fd() const { return m_fd; }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }
    // Closes with a reset.
    void reset()
    {
        const linger hard{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }
    bool write(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }
    // Reads more bytes. Returns 1 for bytes, 0 for the end, -1 for a reset, -2 for a timeout.
    int fill(int timeoutMs)
    {
        pollfd p{m_fd, POLLIN, 0};
        const int ready = ::poll(&p, 1, timeoutMs);
        if (ready <= 0)
            return -2;
        char bytes[65536];
        const ssize_t n = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (n > 0) {
            m_input.append(bytes, static_cast<std::size_t>(n));
            return 1;
        }
        return n == 0 ? 0 : -1;
    }
    // Returns whether the other side has closed or reset the connection.
    bool isGone()
    {
        char byte = 0;
        const ssize_t n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    std::string &input() { return m_input; }

private:
    int m_fd;
    std::string m_input;
};

struct Request
{
    std::string m_method;
    std::string m_target;
    Fields m_fields;
    std::string m_body;

    std::string field(const std::string &name) const { return fieldOf(m_fields, name); }
    std::string path() const { return m_target.substr(0, m_target.find('?')); }
    std::string parameter(const std::string &name) const
    {
        const std::size_t query = m_target.find('?');
        if (query == std::string::npos)
            return {};
        std::string rest = m_target.substr(query + 1);
        while (!rest.empty()) {
            const std::size_t end = rest.find('&');
            const std::string item = rest.substr(0, end);
            if (item.starts_with(name + "="))
                return item.substr(name.size() + 1);
            if (end == std::string::npos)
                break;
            rest = rest.substr(end + 1);
        }
        return {};
    }
};

inline bool parseHead(const std::string &head, std::string &first, Fields &fields)
{
    std::size_t at = head.find("\r\n");
    first = head.substr(0, at);
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t next = head.find("\r\n", at + 2);
        const std::string line = head.substr(at + 2, next - at - 2);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            fields.emplace_back(line.substr(0, colon), line.substr(value));
        }
        at = next;
    }
    return !first.empty();
}

// Reads one request with a length. Returns false at the end of the connection.
inline bool readRequest(Socket &socket, Request &request, int idleMs)
{
    std::string &input = socket.input();
    std::size_t end = 0;
    while ((end = input.find("\r\n\r\n")) == std::string::npos) {
        if (socket.fill(idleMs) != 1)
            return false;
    }
    std::string first;
    request = {};
    parseHead(input.substr(0, end), first, request.m_fields);
    const std::size_t space = first.find(' ');
    const std::size_t second = first.rfind(' ');
    if (space == std::string::npos || second <= space)
        return false;
    request.m_method = first.substr(0, space);
    request.m_target = first.substr(space + 1, second - space - 1);
    input.erase(0, end + 4);
    const std::size_t length = std::strtoull(request.field("Content-Length").c_str(), nullptr, 10);
    while (input.size() < length) {
        if (socket.fill(10000) != 1)
            return false;
    }
    request.m_body = input.substr(0, length);
    input.erase(0, length);
    return true;
}

inline std::string statusText(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 410:
        return "Gone";
    case 421:
        return "Misdirected Request";
    case 429:
        return "Too Many Requests";
    case 500:
        return "Internal Server Error";
    case 503:
        return "Service Unavailable";
    default:
        return "Status";
    }
}

inline std::string message(int status, const Fields &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + statusText(status) + "\r\n";
    for (const auto &[name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

// Returns a port that was free a moment ago.
inline std::uint16_t freePort(const std::string &ip = "127.0.0.1")
{
    static std::mutex mutex;
    static std::set<std::uint16_t> given;
    const std::lock_guard lock(mutex);
    for (;;) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = addressOf(ip, 0);
        socklen_t size = sizeof address;
        if (::bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0)
            throw std::runtime_error("cannot bind to " + ip);
        ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
        ::close(fd);
        const std::uint16_t port = ntohs(address.sin_port);
        if (given.insert(port).second)
            return port;
    }
}

// Listens and hands each connection to a handler in a thread of its own.
class Server
{
public:
    using Handler = std::function<void(Socket &)>;

    Server(const std::string &ip, std::uint16_t port, Handler handler)
        : m_handler(std::move(handler))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = addressOf(ip, port);
        if (::bind(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            || ::listen(m_fd, 512) != 0)
            throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
        std::thread([this] { accept(); }).detach();
    }

private:
    void accept()
    {
        for (;;) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            std::thread([this, fd] {
                Socket socket(fd);
                m_handler(socket);
            }).detach();
        }
    }

    int m_fd;
    Handler m_handler;
};

inline int connectTo(const std::string &ip, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

// How a request of a client ended.
struct Answer
{
    // "answered", "closed" (no byte of an answer), "cut" (within the answer), "timeout",
    // "not connected".
    std::string m_end = "not connected";
    int m_status = 0;
    Fields m_fields;
    std::string m_body;
    double m_seconds = 0;
    // The request was written whole.
    bool m_isSent = false;

    bool isComplete() const { return m_end == "answered"; }
};

inline std::string requestText(const Request &request)
{
    std::string text = request.m_method + " " + request.m_target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.m_fields)
        text += name + ": " + value + "\r\n";
    if (!request.m_body.empty() || request.m_method == "POST")
        text += "Content-Length: " + std::to_string(request.m_body.size()) + "\r\n";
    return text + "\r\n" + request.m_body;
}

// Reads the answer to a request that was written.
inline void readAnswer(Socket &socket, Answer &answer, int timeoutMs)
{
    const auto begun = Clock::now();
    const auto left = [&] {
        return std::max(0, timeoutMs - static_cast<int>(1000 * secondsSince(begun)));
    };
    std::string &input = socket.input();
    const auto more = [&](bool hasBegun) {
        const int got = socket.fill(left());
        if (got == 1)
            return true;
        answer.m_end = got == -2 ? "timeout" : (hasBegun ? "cut" : "closed");
        return false;
    };
    std::size_t end = 0;
    while ((end = input.find("\r\n\r\n")) == std::string::npos) {
        if (!more(!input.empty()))
            return;
    }
    std::string first;
    parseHead(input.substr(0, end), first, answer.m_fields);
    answer.m_status = first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    input.erase(0, end + 4);
    if (lower(fieldOf(answer.m_fields, "Transfer-Encoding")) == "chunked") {
        for (;;) {
            std::size_t line = 0;
            while ((line = input.find("\r\n")) == std::string::npos) {
                if (!more(true))
                    return;
            }
            const std::size_t size = std::strtoull(input.c_str(), nullptr, 16);
            while (input.size() < line + 2 + size + 2) {
                if (!more(true))
                    return;
            }
            answer.m_body += input.substr(line + 2, size);
            input.erase(0, line + 2 + size + 2);
            if (size == 0)
                break;
        }
        answer.m_end = "answered";
        return;
    }
    const std::size_t length =
            std::strtoull(fieldOf(answer.m_fields, "Content-Length").c_str(), nullptr, 10);
    while (input.size() < length) {
        if (!more(true))
            return;
    }
    answer.m_body = input.substr(0, length);
    input.erase(0, length);
    answer.m_end = "answered";
}

// Sends one request on a new connection and reads its answer.
inline Answer call(const std::string &ip, std::uint16_t port, const Request &request, int timeoutMs)
{
    Answer answer;
    const auto begun = Clock::now();
    const int fd = connectTo(ip, port);
    if (fd < 0)
        return answer;
    Socket socket(fd);
    answer.m_isSent = socket.write(requestText(request));
    answer.m_end = "closed";
    if (answer.m_isSent)
        readAnswer(socket, answer, timeoutMs);
    answer.m_seconds = secondsSince(begun);
    return answer;
}

} // namespace review
