#include <gypsumdale/runtime/http_client.hpp>

#include <runtime/detail/call_failure.hpp>
#include <runtime/detail/connection_pool.hpp>
#include <runtime/detail/http_exchange_state.hpp>
#include <runtime/detail/stream.hpp>

#include <algorithm> // min
#include <utility> // exchange, move

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>

namespace gypsumdale {

namespace {

using detail::connectFailure;
using detail::connectionReset;
using detail::deadlinePassed;
using detail::Stream;
using detail::StreamStatus;
namespace asio = boost::asio;

} // namespace

void CallCancellation::cancel()
{
    m_isCancelled = true;
    if (const std::function<void()> close = std::exchange(m_close, nullptr))
        close();
}

struct HttpClient::State
{
    FiberLoop &m_loop;
    std::shared_ptr<BodyMemory> m_memory;
    std::shared_ptr<detail::ConnectionPool> m_pool;
};

HttpClient::HttpClient(FiberLoop &loop, std::shared_ptr<BodyMemory> memory)
    : m_state(std::make_shared<State>(State{loop, std::move(memory), nullptr}))
{}

HttpClient::~HttpClient()
{
    if (!m_state->m_pool)
        return;
    asio::post(m_state->m_loop.context(), [pool = m_state->m_pool] { pool->close(); });
}

/// Enables the call's cancellation to close its connection.
void HttpClient::attach(const HttpCall &call, const std::shared_ptr<detail::Stream> &stream)
{
    if (!call.m_cancellation)
        return;
    call.m_cancellation->m_close = [weak = std::weak_ptr<Stream>(stream)] {
        if (const std::shared_ptr<Stream> open = weak.lock())
            open->close();
    };
}

/// Opens a connection within the call's connect timeout and delivery deadline.
std::optional<CallFailure> HttpClient::connect(const HttpCall &call,
                                               const std::shared_ptr<detail::Stream> &stream)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(call.m_endpoint.m_address, error);
    if (error)
        return connectFailure(call.m_endpoint, StreamStatus::Broken);
    attach(call, stream);
    DeliveryDeadline *term = call.m_term.get();
    if (term) {
        term->m_onShortened = [term, weak = std::weak_ptr<Stream>(stream)] {
            const std::shared_ptr<Stream> open = weak.lock();
            if (open && !term->maySend(Duration::zero()))
                open->close();
        };
    }
    const StreamStatus status =
            stream->connect({address, call.m_endpoint.m_port},
                            std::min(call.m_connectTimeout, call.m_totalTimeout));
    if (term)
        term->m_onShortened = nullptr;
    if (status == StreamStatus::Good)
        return std::nullopt;
    stream->close();
    const bool isCancelled = call.m_cancellation && call.m_cancellation->isCancelled();
    if (term && !isCancelled && !term->maySend(Duration::zero()))
        return deadlinePassed(call.m_endpoint);
    return connectFailure(call.m_endpoint, status);
}

CallResult<HttpExchange> HttpClient::send(const HttpCall &call)
{
    detail::LoopCore &core = *detail::LoopCore::current();
    const detail::SteadyTime latest = detail::deadlineAfter(call.m_totalTimeout);
    const std::shared_ptr<State> state = m_state;
    if (!state->m_pool)
        state->m_pool = std::make_shared<detail::ConnectionPool>(core);
    if (call.m_cancellation && call.m_cancellation->isCancelled())
        return connectFailure(call.m_endpoint, StreamStatus::Closed);
    std::shared_ptr<Stream> stream;
    if (!call.m_requiresNewConnection)
        stream = state->m_pool->acquire(call.m_endpoint);
    const detail::SteadyTime beganAt = std::chrono::steady_clock::now();
    if (!stream) {
        stream = std::make_shared<Stream>(core);
        if (std::optional<CallFailure> failed = connect(call, stream))
            return *std::move(failed);
        if (call.m_onConnected)
            call.m_onConnected();
    }
    if (call.m_term && !call.m_term->maySend(std::chrono::steady_clock::now() - beganAt)) {
        stream->close();
        return deadlinePassed(call.m_endpoint);
    }
    if (stream->hasEnded()) {
        stream->close();
        return connectionReset(call.m_endpoint);
    }
    attach(call, stream);
    auto exchange = std::make_unique<HttpExchange::State>(call, std::move(stream), state->m_pool,
                                                          state->m_memory, latest);
    if (const std::optional<CallFailure> failed = exchange->send(call))
        return *failed;
    return HttpExchange(std::move(exchange));
}

CallResult<HttpExchange> HttpClient::open(const HttpCall &call)
{
    CallResult<HttpExchange> sent = send(call);
    auto *exchange = std::get_if<HttpExchange>(&sent);
    if (!exchange)
        return sent;
    // The time for the header was needed for the request.
    if (!exchange->m_state->m_rest.empty())
        return exchange->giveUp();
    if (const std::optional<CallFailure> failed =
                exchange->m_state->readHeader(call.m_headerTimeout))
        return *failed;
    return sent;
}

ConnectOutcome HttpClient::tryConnect(const Endpoint &endpoint, Duration timeout)
{
    HttpCall call;
    call.m_endpoint = endpoint;
    call.m_connectTimeout = timeout;
    const auto stream = std::make_shared<Stream>(*detail::LoopCore::current());
    const std::optional<CallFailure> failure = connect(call, stream);
    stream->close();
    if (!failure)
        return ConnectOutcome::Connected;
    return failure->m_error.m_id == ErrorId::UpstreamUnreachable ? ConnectOutcome::Refused
                                                                 : ConnectOutcome::Unanswered;
}

CallResult<HttpReply> HttpClient::call(const HttpCall &call)
{
    CallResult<HttpExchange> opened = open(call);
    if (auto *failed = std::get_if<CallFailure>(&opened))
        return std::move(*failed);
    auto &exchange = std::get<HttpExchange>(opened);
    HttpReply reply;
    reply.m_status = exchange.status();
    reply.m_headers = exchange.headers();
    auto body = exchange.readBody();
    if (auto *failed = std::get_if<CallFailure>(&body))
        return std::move(*failed);
    reply.m_body = std::get<std::string>(std::move(body));
    reply.m_share = exchange.share();
    return reply;
}

void HttpClient::forget(const Endpoint &endpoint)
{
    if (m_state->m_pool)
        m_state->m_pool->closeAll(endpoint);
}

} // namespace gypsumdale
