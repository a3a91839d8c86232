#include <gypsumdale/runtime/http_server.hpp>

#include <runtime/detail/http_connection.hpp>
#include <runtime/detail/listener.hpp>
#include <runtime/detail/stream.hpp>

#include <utility> // move

#include <boost/asio/post.hpp>

namespace gypsumdale {

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
    using Connections = boost::intrusive::list<detail::HttpConnection,
                                               boost::intrusive::constant_time_size<false>>;

    /// The connections of one loop, accessed on its thread only.
    struct LoopConnections
    {
        FiberLoop *m_loop = nullptr;
        Connections m_connections;
    };

    void assignToLoop(std::shared_ptr<detail::NativeSocket> socket);
    void serve(LoopConnections &loop, detail::NativeSocket &socket);
    template <typename Action>
    void onEachConnection(Action action);

    detail::HttpService m_service;
    std::vector<LoopConnections> m_loopConnections;
    std::shared_ptr<detail::Listener> m_listener;
    std::size_t m_nextLoop = 0;
};

/// Assigns a new connection to the next loop, round-robin. Called on the listener's loop.
void HttpServer::State::assignToLoop(std::shared_ptr<detail::NativeSocket> socket)
{
    // Counted here, because nothing else shows that the connection exists until its fiber runs.
    ++m_service.m_connections;
    LoopConnections &loop = m_loopConnections[m_nextLoop];
    m_nextLoop = (m_nextLoop + 1) % m_loopConnections.size();
    loop.m_loop->spawn([self = shared_from_this(), &loop, socket = std::move(socket)] {
        self->serve(loop, *socket);
    });
}

void HttpServer::State::serve(LoopConnections &loop, detail::NativeSocket &socket)
{
    const auto stream = std::make_shared<detail::Stream>(*detail::LoopCore::current());
    const bool isFull = m_service.m_connections > m_service.m_limits.m_connections;
    if (isFull || !stream->adopt(socket.get())) {
        --m_service.m_connections;
        return;
    }
    socket.release();
    detail::HttpConnection connection(stream, m_service);
    loop.m_connections.push_back(connection);
    connection.serve();
}

/// Calls the action for each connection, on the connection's loop, some time after this function
/// has returned.
template <typename Action>
void HttpServer::State::onEachConnection(Action action)
{
    for (LoopConnections &loop : m_loopConnections) {
        boost::asio::post(loop.m_loop->context(), [self = shared_from_this(), &loop, action] {
            for (detail::HttpConnection &connection : loop.m_connections)
                action(connection);
        });
    }
}

HttpServer::HttpServer(std::shared_ptr<State> state)
    : m_state(std::move(state))
{}

HttpServer::~HttpServer()
{
    if (!m_state)
        return;
    stopAccepting();
    m_state->onEachConnection([](detail::HttpConnection &connection) { connection.close(); });
}

HttpServer::HttpServer(HttpServer &&) noexcept = default;

HttpServer &HttpServer::operator=(HttpServer &&other) noexcept
{
    HttpServer taken(std::move(other));
    m_state.swap(taken.m_state);
    return *this;
}

std::uint16_t HttpServer::port() const
{
    return m_state->m_listener->port();
}

void HttpServer::stopAccepting()
{
    if (m_state->m_service.m_stopping.exchange(true))
        return;
    m_state->m_listener->postClose();
    m_state->onEachConnection([](detail::HttpConnection &connection) { connection.closeIfIdle(); });
}

void HttpServer::abortAnswers()
{
    m_state->onEachConnection([](detail::HttpConnection &connection) {
        if (connection.isAnswering())
            connection.close();
    });
}

void HttpServer::limitTo(const HttpLimits &limits)
{
    for (State::LoopConnections &loop : m_state->m_loopConnections) {
        boost::asio::post(loop.m_loop->context(),
                          [state = m_state, limits] { state->m_service.m_limits = limits; });
    }
}

void HttpServer::announceClose()
{
    m_state->m_service.m_announcesClose = true;
}

std::size_t HttpServer::requestsArriving() const
{
    return m_state->m_service.m_requestsArriving;
}

std::size_t HttpServer::requestsBrokenOff() const
{
    return m_state->m_service.m_requestsBrokenOff;
}

std::size_t HttpServer::requestsWithoutMemory() const
{
    return m_state->m_service.m_requestsWithoutMemory;
}

std::size_t HttpServer::requestsInFlight() const
{
    return m_state->m_service.m_requestsInFlight;
}

std::size_t HttpServer::connections() const
{
    return m_state->m_service.m_connections;
}

HttpTraffic HttpServer::traffic() const
{
    return {m_state->m_service.m_bytesReceived, m_state->m_service.m_bytesSent};
}

bool HttpServer::hasCallers() const
{
    // The order matters: the listener's last accepted connections are counted before it reports
    // that it is closed.
    return !m_state->m_listener->isClosed() || connections() > 0;
}

HttpServerBuilder &HttpServerBuilder::listenOn(std::string address, std::uint16_t port)
{
    m_address = std::move(address);
    m_port = port;
    return *this;
}

HttpServerBuilder &HttpServerBuilder::runOn(std::vector<FiberLoop *> loops)
{
    m_loops = std::move(loops);
    return *this;
}

HttpServerBuilder &HttpServerBuilder::handleWith(HttpHandler handler)
{
    m_handler = std::move(handler);
    return *this;
}

HttpServerBuilder &HttpServerBuilder::limitTo(HttpLimits limits)
{
    m_limits = limits;
    return *this;
}

HttpServerBuilder &HttpServerBuilder::bufferIn(std::shared_ptr<BodyMemory> memory)
{
    m_memory = std::move(memory);
    return *this;
}

HttpServerBuilder &HttpServerBuilder::receiveIn(std::shared_ptr<BodyMemory> memory)
{
    m_requestMemory = std::move(memory);
    return *this;
}

Result<HttpServer> HttpServerBuilder::build()
{
    if (m_loops.empty() || !m_handler)
        return Error{ErrorId::Internal, "an HTTP server needs a loop and a handler"};
    auto opened = detail::Listener::open(*m_loops.front(), m_address, m_port);
    if (!succeeded(opened))
        return errorOf(opened);
    auto state = std::make_shared<HttpServer::State>();
    state->m_service.m_handler = std::move(m_handler);
    state->m_service.m_limits = m_limits;
    state->m_service.m_memory = m_memory;
    state->m_service.m_requestMemory = m_requestMemory;
    state->m_loopConnections = std::vector<HttpServer::State::LoopConnections>(m_loops.size());
    for (std::size_t index = 0; index < m_loops.size(); ++index)
        state->m_loopConnections[index].m_loop = m_loops[index];
    state->m_listener = valueOf(opened);
    state->m_listener->accept([state](std::shared_ptr<detail::NativeSocket> socket) {
        state->assignToLoop(std::move(socket));
    });
    return HttpServer(std::move(state));
}

} // namespace gypsumdale
