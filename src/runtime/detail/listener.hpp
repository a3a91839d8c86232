#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/runtime/fiber_loop.hpp>

#include <runtime/detail/loop_core.hpp>

#include <atomic> // atomic
#include <cstdint> // uint16_t
#include <functional> // function
#include <memory> // enable_shared_from_this, shared_ptr
#include <string> // string

#include <boost/asio/ip/tcp.hpp>

namespace gypsumdale::detail {

/// A connected socket that is handed to the loop that will serve it; closes the socket if it is not
/// taken over there.
class NativeSocket
{
public:
    explicit NativeSocket(int descriptor)
        : m_descriptor(descriptor)
    {}
    ~NativeSocket();
    NativeSocket(const NativeSocket &) = delete;
    NativeSocket &operator=(const NativeSocket &) = delete;

    int get() const { return m_descriptor; }
    void release() { m_descriptor = -1; }

private:
    int m_descriptor;
};

/// A listening socket of one loop.
class Listener
    : public Closable
    , public std::enable_shared_from_this<Listener>
{
public:
    /// Takes over a connected socket; called on the listener's loop.
    using AcceptHandler = std::function<void(std::shared_ptr<NativeSocket> socket)>;

    explicit Listener(FiberLoop &loop);

    /// Opens the socket. Fails with AddressInUse. Safe from any thread, before accept().
    static Result<std::shared_ptr<Listener>> open(FiberLoop &loop, const std::string &address,
                                                  std::uint16_t port);

    std::uint16_t port() const { return m_port; }

    /// Accepts connections in a fiber of the loop until close(). Safe from any thread.
    void accept(AcceptHandler onAccept);

    /// Accepts the connections that the kernel has already completed, then closes the socket;
    /// otherwise the kernel would reset them together with their requests. While the process lacks
    /// descriptors for them, the socket stays open. Called on the loop's thread.
    void close() override;

    /// Schedules close() on the loop. Safe from any thread; the loop need not be running.
    void postClose();

    /// Returns whether the socket is closed and all connections completed before were handed over.
    /// Safe from any thread.
    bool isClosed() const { return m_isClosed; }

private:
    void run(const AcceptHandler &onAccept);
    bool acceptPending();

    FiberLoop &m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isClosed = false;
    /// Set while the socket waits to be closed until the process has descriptors for the
    /// connections that the kernel has completed.
    bool m_isClosing = false;
    /// Set while the accepting fiber runs.
    const AcceptHandler *m_onAccept = nullptr;
};

} // namespace gypsumdale::detail
