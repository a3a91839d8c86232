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

/// A connected socket on its way to the loop that will serve it; closes it if it never gets there.
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
    using Acceptance = std::function<void(std::shared_ptr<NativeSocket> socket)>;

    explicit Listener(FiberLoop &loop);

    /// Opens the socket. Fails with AddressInUse. Any thread, before accept().
    static Result<std::shared_ptr<Listener>> open(FiberLoop &loop, const std::string &address,
                                                  std::uint16_t port);

    std::uint16_t port() const { return m_port; }

    /// Accepts connections in a fiber of the loop until close(). Any thread.
    void accept(Acceptance acceptance);

    /// Takes in the connections that the kernel has completed already, then closes the socket; left
    /// to the kernel, they would be reset with requests in them. While the process has no
    /// descriptors for them, the socket stays open. On the loop's thread.
    void close() override;

    /// Calls close() on the loop. Any thread; needs no running loop.
    void closeSoon();

    /// Tells whether the socket is closed and all that was completed before is handed over. Any
    /// thread.
    bool isClosed() const { return m_isClosed; }

private:
    void run(const Acceptance &acceptance);
    bool acceptPending();

    FiberLoop &m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_isClosed = false;
    /// Whether it is to be closed once there is room for what the kernel has completed.
    bool m_isClosing = false;
    /// Set while the fiber that accepts runs.
    const Acceptance *m_acceptance = nullptr;
};

} // namespace gypsumdale::detail
