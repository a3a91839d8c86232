#include <gypsumdale/runtime/body_memory.hpp>

#include <mutex> // lock_guard

namespace gypsumdale {

bool BodyMemory::resize(std::size_t held, std::size_t wanted)
{
    const std::lock_guard lock(m_mutex);
    const std::size_t others = m_held - held;
    const std::size_t room = m_bytes > others ? (m_bytes - others) / 2 : 0;
    if (wanted > held && wanted > room)
        return false;
    m_held = others + wanted;
    return true;
}

std::size_t BodyMemory::held() const
{
    const std::lock_guard lock(m_mutex);
    return m_held;
}

bool BodyShare::resize(std::size_t bytes)
{
    const std::size_t wanted = bytes > m_free ? bytes - m_free : 0;
    if (wanted == m_held)
        return true;
    if (m_memory && !m_memory->resize(m_held, wanted))
        return false;
    m_held = wanted;
    return true;
}

} // namespace gypsumdale
