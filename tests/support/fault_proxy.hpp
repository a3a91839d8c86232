#pragma once

#include "support/child_process.hpp"
#include "support/narrow_link.hpp"

#include <gypsumdale/core/clock.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <fcntl.h> // fcntl
#include <sys/socket.h> // getsockopt

#include <algorithm> // count_if
#include <array> // array
#include <chrono> // milliseconds
#include <cstddef> // size_t
#include <cstdint> // uint16_t
#include <future> // promise
#include <list> // list
#include <memory> // enable_shared_from_this, shared_ptr
#include <set> // set
#include <thread> // jthread

namespace gypsumdale::testing {

/// What a proxy does to the bytes that pass through it.
enum class LinkFault {
    None,
    /// Delays each piece.
    Delay,
    /// Holds back everything to the target until the link heals: a link that is cut in one
    /// direction.
    CutToTarget,
    /// Holds back everything from the target.
    CutFromTarget,
    Silence,
    /// Resets each connection, open or new.
    Reset,
};

/// What a proxy does with connections that are opened from now on.
enum class NewConnections {
    Accepted,
    /// Nothing listens.
    Refused,
    /// The opening packet is dropped.
    Unanswered,
};

/// Forwards connections to a port on loopback and disturbs them on demand. Bytes are never lost
/// while a connection lives, as TCP resends them when a link heals. Bytes that are held back are
/// lost when their sender resets the connection.
class FaultProxy
{
public:
    explicit FaultProxy(std::uint16_t target)
        : m_target(boost::asio::ip::address_v4::loopback(), target)
        , m_port(freePort())
        , m_acceptor(m_context, {boost::asio::ip::address_v4::loopback(), m_port})
    {
        keepFromChildren();
        accept();
        m_thread = std::jthread([this] { m_context.run(); });
    }

    ~FaultProxy() { m_context.stop(); }
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    std::uint16_t port() const { return m_port; }

    void set(LinkFault fault)
    {
        boost::asio::post(m_context, [this, fault] {
            m_fault = fault;
            if (fault == LinkFault::Reset)
                resetLinks();
        });
    }

    /// Sets what becomes of new connections; open ones live on. Returns when it is in force.
    void setNewConnections(NewConnections mode)
    {
        std::promise<void> isDone;
        boost::asio::post(m_context, [&] {
            listenFor(mode);
            isDone.set_value();
        });
        isDone.get_future().wait();
    }

    /// Resets the open connections, and forwards new ones to another port. Returns when it is in
    /// force.
    void redirect(std::uint16_t target)
    {
        std::promise<void> isDone;
        boost::asio::post(m_context, [&] {
            m_target.port(target);
            resetLinks();
            isDone.set_value();
        });
        isDone.get_future().wait();
    }

    /// Sends the bytes of each direction through a narrow link from now on, before they are delayed
    /// in other ways. Null for a direction that is as wide as loopback.
    void narrow(NarrowLink *toTarget, NarrowLink *fromTarget)
    {
        boost::asio::post(m_context, [this, toTarget, fromTarget] {
            m_narrowToTarget = toTarget;
            m_narrowFromTarget = fromTarget;
            if (toTarget)
                NarrowLink::shape(m_acceptor);
        });
    }

    /// Resets the open connections, dropping all that is held back on them, and returns when that
    /// is done.
    void resetAll()
    {
        std::promise<void> isDone;
        boost::asio::post(m_context, [&] {
            resetLinks();
            isDone.set_value();
        });
        isDone.get_future().wait();
    }

    /// Returns on how many connections bytes are held back.
    std::size_t heldLinks()
    {
        return ask([this] {
            return std::count_if(m_links.begin(), m_links.end(), [](const auto &link) {
                return link->m_toTarget.m_isHeld || link->m_fromTarget.m_isHeld;
            });
        });
    }

    /// Returns the number of open connections.
    std::size_t openLinks()
    {
        return ask([this] { return m_links.size(); });
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

    static constexpr auto delay = std::chrono::milliseconds(120);
    static constexpr auto retryEvery = std::chrono::milliseconds(10);

    struct Way
    {
        Socket &m_from;
        Socket &m_to;
        bool m_isToTarget;
        boost::asio::steady_timer m_timer;
        std::array<char, 16384> m_buffer{};
        std::size_t m_length = 0;
        bool m_isHeld = false;
    };

    struct Link : std::enable_shared_from_this<Link>
    {
        Link(FaultProxy &proxy, Socket caller)
            : m_proxy(proxy)
            , m_caller(std::move(caller))
            , m_server(proxy.m_context)
            , m_toTarget{m_caller, m_server, true, boost::asio::steady_timer(proxy.m_context)}
            , m_fromTarget{m_server, m_caller, false, boost::asio::steady_timer(proxy.m_context)}
        {}

        void start()
        {
            if (m_proxy.m_narrowFromTarget) {
                m_server.open(m_proxy.m_target.protocol());
                NarrowLink::shape(m_server);
            }
            m_server.async_connect(m_proxy.m_target, [self = shared_from_this()](auto error) {
                if (error)
                    return self->reset();
                self->read(self->m_toTarget);
                self->read(self->m_fromTarget);
            });
        }

        void reset()
        {
            boost::system::error_code ignored;
            const boost::asio::socket_base::linger atOnce(true, 0);
            for (Socket *socket : {&m_caller, &m_server}) {
                socket->set_option(atOnce, ignored);
                socket->close(ignored);
            }
            m_toTarget.m_timer.cancel();
            m_fromTarget.m_timer.cancel();
            m_proxy.m_links.erase(shared_from_this());
        }

        void read(Way &way)
        {
            way.m_from.async_read_some(boost::asio::buffer(way.m_buffer),
                                       [self = shared_from_this(), &way](auto error, auto length) {
                                           self->onRead(way, error, length);
                                       });
        }

        void onRead(Way &way, const boost::system::error_code &error, std::size_t length)
        {
            way.m_length = length;
            if (error == boost::asio::error::eof)
                return passOn(way, [this, &way] { endWay(way); });
            if (error)
                return reset();
            const auto next = [this, &way] {
                passOn(way, [this, &way] { write(way); });
            };
            NarrowLink *link = m_proxy.narrowLink(way.m_isToTarget);
            if (!link)
                return next();
            way.m_timer.expires_at(link->pass(length));
            way.m_timer.async_wait([self = shared_from_this(), next](auto waited) {
                if (!waited)
                    next();
            });
        }

        /// Continues at once, after a delay, or when the link heals. What is held back is lost if
        /// its sender resets the connection: the sender would have to send it again.
        template <typename Next>
        void passOn(Way &way, Next next)
        {
            way.m_isHeld = m_proxy.holds(way.m_isToTarget);
            if (isReset(way.m_from))
                return reset();
            if (way.m_isHeld)
                return after(way, retryEvery, [this, &way, next] { passOn(way, next); });
            if (m_proxy.m_fault == LinkFault::Delay)
                return after(way, delay, next);
            next();
        }

        /// Returns whether the connection was reset, also while data are unread.
        static bool isReset(Socket &socket)
        {
            int error = 0;
            socklen_t length = sizeof(error);
            ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &length);
            return error != 0;
        }

        template <typename Next>
        void after(Way &way, std::chrono::milliseconds wait, Next next)
        {
            way.m_timer.expires_after(wait);
            way.m_timer.async_wait([self = shared_from_this(), next](auto error) {
                if (!error)
                    next();
            });
        }

        void write(Way &way)
        {
            boost::asio::async_write(way.m_to, boost::asio::buffer(way.m_buffer, way.m_length),
                                     [self = shared_from_this(), &way](auto error, auto) {
                                         if (error)
                                             return self->reset();
                                         self->read(way);
                                     });
        }

        void endWay(Way &way)
        {
            boost::system::error_code ignored;
            way.m_to.shutdown(Socket::shutdown_send, ignored);
            if (++m_endedWays == 2)
                m_proxy.m_links.erase(shared_from_this());
        }

        FaultProxy &m_proxy;
        Socket m_caller;
        Socket m_server;
        Way m_toTarget;
        Way m_fromTarget;
        int m_endedWays = 0;
    };

    template <typename Question>
    std::size_t ask(Question question)
    {
        std::promise<std::size_t> answer;
        boost::asio::post(m_context, [&] { answer.set_value(question()); });
        return answer.get_future().get();
    }

    void resetLinks()
    {
        for (const auto &link : std::set<std::shared_ptr<Link>>(m_links))
            link->reset();
    }

    bool holds(bool isToTarget) const
    {
        const LinkFault oneWay = isToTarget ? LinkFault::CutToTarget : LinkFault::CutFromTarget;
        return m_fault == LinkFault::Silence || m_fault == oneWay;
    }

    NarrowLink *narrowLink(bool isToTarget) const
    {
        return isToTarget ? m_narrowToTarget : m_narrowFromTarget;
    }

    /// A process that inherits the listening socket keeps the port open, so that connections to it
    /// are not refused.
    void keepFromChildren() { fcntl(m_acceptor.native_handle(), F_SETFD, FD_CLOEXEC); }

    void listenFor(NewConnections mode)
    {
        m_backlog.clear();
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        if (mode == NewConnections::Refused)
            return;
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(),
                                                      m_port);
        m_acceptor.open(endpoint.protocol());
        keepFromChildren();
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        m_acceptor.bind(endpoint);
        if (mode == NewConnections::Accepted) {
            m_acceptor.listen();
            accept();
            return;
        }
        m_acceptor.listen(0);
        fillBacklog(endpoint);
    }

    /// Fills the queue of connections that wait to be accepted: the kernel drops the opening packet
    /// of any further one.
    void fillBacklog(const boost::asio::ip::tcp::endpoint &endpoint)
    {
        constexpr int connections = 3;
        for (int number = 0; number < connections; ++number) {
            Socket &socket = m_backlog.emplace_back(m_context);
            socket.async_connect(endpoint, [](auto) {});
        }
    }

    void accept()
    {
        m_acceptor.async_accept([this](auto error, Socket socket) {
            if (error)
                return;
            const auto link = std::make_shared<Link>(*this, std::move(socket));
            m_links.insert(link);
            if (m_fault == LinkFault::Reset)
                link->reset();
            else
                link->start();
            accept();
        });
    }

    boost::asio::io_context m_context;
    /// Keeps the thread running while nothing listens.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work =
            boost::asio::make_work_guard(m_context);
    boost::asio::ip::tcp::endpoint m_target;
    std::uint16_t m_port;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Link>> m_links;
    std::list<Socket> m_backlog;
    LinkFault m_fault = LinkFault::None;
    NarrowLink *m_narrowToTarget = nullptr;
    NarrowLink *m_narrowFromTarget = nullptr;
    std::jthread m_thread;
};

} // namespace gypsumdale::testing
