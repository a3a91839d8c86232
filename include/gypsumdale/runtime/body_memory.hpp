#pragma once

#include <cstddef> // size_t
#include <memory> // shared_ptr
#include <mutex> // mutex
#include <utility> // move

namespace gypsumdale {

/// Limits the bytes of all messages of a kind, requests or answers, that a process holds at the
/// same time, beyond a small allowance that each of them has.
///
/// A message may hold at most as much as it leaves to others. The first ones therefore have room up
/// to the limit of a single message, while many that grow at the same time each get a small part,
/// and never use up the room for one that begins later. All functions are safe from any thread.
class BodyMemory
{
public:
    /// Room for three answers of the largest size. Twice as much is in use while their buffers
    /// grow, which leaves half of the 128 MB that a VM has for control.
    static constexpr std::size_t defaultBytes = std::size_t{32} * 1024 * 1024;

    explicit BodyMemory(std::size_t bytes = defaultBytes)
        : m_bytes(bytes)
    {}

    /// Changes what a message holds. Returns false, and changes nothing, if it may not grow so far.
    bool resize(std::size_t held, std::size_t wanted);

    /// Returns how many bytes all messages hold together.
    std::size_t held() const;

private:
    std::size_t m_bytes;
    mutable std::mutex m_mutex;
    std::size_t m_held = 0;
};

/// What one message holds of an BodyMemory, which gets it back with the destructor.
class BodyShare
{
public:
    /// Size up to which an answer takes nothing of the memory, so that small answers are served
    /// while it is in use.
    static constexpr std::size_t freeBytes = std::size_t{64} * 1024;
    /// The same for a request, of which there may be as many as connections.
    static constexpr std::size_t freeRequestBytes = std::size_t{16} * 1024;

    /// Without a memory there is no limit.
    explicit BodyShare(std::shared_ptr<BodyMemory> memory, std::size_t free = freeBytes)
        : m_memory(std::move(memory))
        , m_free(free)
    {}
    ~BodyShare() { resize(0); }
    BodyShare(const BodyShare &) = delete;
    BodyShare &operator=(const BodyShare &) = delete;

    /// Takes note of the message's size. Returns false if there is no room for so many bytes; what
    /// is held stays as it was.
    bool resize(std::size_t bytes);

private:
    std::shared_ptr<BodyMemory> m_memory;
    std::size_t m_free;
    std::size_t m_held = 0;
};

} // namespace gypsumdale
