#pragma once

#include <cstddef> // byte, max_align_t, size_t
#include <utility> // exchange

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

namespace gypsumdale::detail {

/// Suspends a fiber until one asynchronous operation of its own loop has completed. The operation
/// is started with handler(). The object must live until the handler has run, which wait() ensures.
/// To abort early, cancel the operation or close its socket, and still wait for the handler.
class AsyncWait
{
public:
    class Handler
    {
    public:
        explicit Handler(AsyncWait *wait)
            : m_wait(wait)
        {}
        void operator()(const boost::system::error_code &error, std::size_t bytes = 0) const
        {
            m_wait->complete(error, bytes);
        }

    private:
        AsyncWait *m_wait;
    };

    AsyncWait() = default;
    AsyncWait(const AsyncWait &) = delete;
    AsyncWait &operator=(const AsyncWait &) = delete;

    Handler handler() { return Handler(this); }

    /// Suspends the calling fiber until the handler has run; returns the error of the operation.
    boost::system::error_code wait()
    {
        while (!m_completed) {
            m_fiber = boost::fibers::context::active();
            m_fiber->suspend();
        }
        return m_error;
    }

    /// Returns the number of bytes transferred, after wait().
    std::size_t bytes() const { return m_bytes; }

private:
    // Handlers and fibers of one loop share its thread, so no lock is needed.
    void complete(const boost::system::error_code &error, std::size_t bytes)
    {
        m_error = error;
        m_bytes = bytes;
        m_completed = true;
        if (boost::fibers::context *fiber = std::exchange(m_fiber, nullptr))
            boost::fibers::context::active()->schedule(fiber);
    }

    boost::fibers::context *m_fiber = nullptr;
    boost::system::error_code m_error;
    std::size_t m_bytes = 0;
    bool m_completed = false;
};

} // namespace gypsumdale::detail
