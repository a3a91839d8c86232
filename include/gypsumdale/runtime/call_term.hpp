#pragma once

#include <gypsumdale/core/clock.hpp>

#include <functional> // function

namespace gypsumdale {

namespace detail {
class TermWatch;
}

/// Says until when a call's request may reach the other side. It is asked again before the first
/// byte is handed over and while bytes may still be under way, so that it may move meanwhile. Used
/// on the thread of the client's loop.
class CallTerm
{
public:
    CallTerm() = default;
    virtual ~CallTerm() = default;
    CallTerm(const CallTerm &) = delete;
    CallTerm &operator=(const CallTerm &) = delete;

    /// Returns what is left of the term; nothing or less where it is over.
    virtual Duration left() const = 0;
    /// Tells whether the first byte may be handed over on a connection that took so long to open.
    virtual bool maySend(Duration connecting) const = 0;

protected:
    /// Has the call look at the term at once, as less is left of it than was. Ends a call that is
    /// still connecting and may not send any more.
    void noteShortened();

private:
    friend class HttpClient;
    friend class detail::TermWatch;
    std::function<void()> m_onShortened;
};

} // namespace gypsumdale
