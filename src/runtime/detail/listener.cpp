#include <runtime/detail/listener.hpp>

#include <runtime/detail/async_wait.hpp>

#include <cerrno> // errno
#include <chrono> // milliseconds
#include <utility> // move

#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace gypsumdale::detail {

namespace {

namespace asio = boost::asio;

constexpr int backlog = 1024;
/// Pause after the process has run out of file descriptors, as accept() fails with this error on
/// each retry.
constexpr Duration exhaustionRetryDelay = std::chrono::milliseconds(20);

bool isExhaustion(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

} // namespace

NativeSocket::~NativeSocket()
{
    if (m_descriptor >= 0)
        ::close(m_descriptor);
}

Listener::Listener(FiberLoop &loop)
    : m_loop(loop)
    , m_acceptor(loop.context())
{}

Result<std::shared_ptr<Listener>> Listener::open(FiberLoop &loop, const std::string &address,
                                                 std::uint16_t port)
{
    const auto fail = [&](const boost::system::error_code &error) {
        return Error{ErrorId::AddressInUse,
                     fmt::format("cannot listen on {}:{}: {}", address, port, error.message())};
    };
    boost::system::error_code error;
    const auto parsed = asio::ip::make_address(address, error);
    if (error)
        return fail(error);
    const asio::ip::tcp::endpoint endpoint(parsed, port);
    auto listener = std::make_shared<Listener>(loop);
    asio::ip::tcp::acceptor &acceptor = listener->m_acceptor;
    acceptor.open(endpoint.protocol(), error);
    if (error)
        return fail(error);
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    acceptor.bind(endpoint, error);
    if (error)
        return fail(error);
    acceptor.listen(backlog, error);
    if (error)
        return fail(error);
    acceptor.non_blocking(true, error);
    listener->m_port = acceptor.local_endpoint(error).port();
    return listener;
}

void Listener::accept(AcceptHandler onAccept)
{
    m_loop.spawn(
            [self = shared_from_this(), onAccept = std::move(onAccept)] { self->run(onAccept); });
}

void Listener::run(const AcceptHandler &onAccept)
{
    m_onAccept = &onAccept;
    LoopCore::current()->m_closables.push_back(*this);
    while (m_acceptor.is_open()) {
        if (!acceptPending()) {
            sleepFiber(exhaustionRetryDelay);
            continue;
        }
        if (m_isClosing) {
            close();
            continue;
        }
        AsyncWait wait;
        m_acceptor.async_wait(asio::ip::tcp::acceptor::wait_read, wait.handler());
        wait.wait();
    }
    m_onAccept = nullptr;
}

/// Accepts all pending connections. Returns false if the process has no resources for more.
bool Listener::acceptPending()
{
    for (;;) {
        const int native = ::accept4(m_acceptor.native_handle(), nullptr, nullptr,
                                     SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (native >= 0) {
            (*m_onAccept)(std::make_shared<NativeSocket>(native));
            continue;
        }
        if (errno == ECONNABORTED || errno == EINTR)
            continue;
        return !isExhaustion(errno);
    }
}

void Listener::close()
{
    if (!m_acceptor.is_open())
        return;
    boost::system::error_code error;
    if (m_onAccept && !LoopCore::current()->m_stopping && !acceptPending()) {
        // The accepting fiber closes the socket as soon as it has accepted the pending connections.
        m_isClosing = true;
        m_acceptor.cancel(error);
        return;
    }
    m_acceptor.close(error);
    m_isClosed = true;
}

void Listener::postClose()
{
    asio::post(m_loop.context(), [self = shared_from_this()] { self->close(); });
}

} // namespace gypsumdale::detail
