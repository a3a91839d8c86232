#pragma once

#include <cstddef> // size_t
#include <memory> // shared_ptr
#include <vector> // vector

#include <boost/context/fixedsize_stack.hpp>
#include <boost/context/protected_fixedsize_stack.hpp>
#include <boost/context/stack_context.hpp>

namespace gypsumdale::detail {

#if defined(__SANITIZE_ADDRESS__)
// Sanitized frames are several times as large. With the sanitizer, stacks come from the heap and
// are not reused: the leak check looks for pointers in heap blocks only, and a reused stack would
// still be marked as poisoned by frames from which its previous fiber never returned.
inline constexpr std::size_t fiberStackBytes = std::size_t{1024} * 1024;
using FiberStack = boost::context::fixedsize_stack;
#else
/// Size of a fiber's stack: wide headroom for HTTP and frame handlers, which are designed to use a
/// few KiB. Pages never touched cost no memory. All fibers of a loop use one size, so that stacks
/// are interchangeable.
inline constexpr std::size_t fiberStackBytes = std::size_t{128} * 1024;

/// Allocates stacks with a guard page and keeps freed ones for the next fiber, because mapping and
/// unmapping a stack for each connection costs more than the fiber itself. Used on one thread.
class FiberStack
{
public:
    explicit FiberStack(std::size_t size)
        : m_source(size)
        , m_free(std::make_shared<FreeList>(size))
    {}

    boost::context::stack_context allocate()
    {
        if (m_free->m_stacks.empty())
            return m_source.allocate();
        const boost::context::stack_context stack = m_free->m_stacks.back();
        m_free->m_stacks.pop_back();
        return stack;
    }

    void deallocate(boost::context::stack_context &stack) noexcept
    {
        if (m_free->m_stacks.size() < m_free->m_stacks.capacity())
            m_free->m_stacks.push_back(stack);
        else
            m_source.deallocate(stack);
    }

private:
    struct FreeList
    {
        static constexpr std::size_t maxFreeStacks = 256;

        explicit FreeList(std::size_t size)
            : m_source(size)
        {
            m_stacks.reserve(maxFreeStacks);
        }
        ~FreeList()
        {
            for (boost::context::stack_context &stack : m_stacks)
                m_source.deallocate(stack);
        }
        FreeList(const FreeList &) = delete;
        FreeList &operator=(const FreeList &) = delete;

        boost::context::protected_fixedsize_stack m_source;
        std::vector<boost::context::stack_context> m_stacks;
    };

    boost::context::protected_fixedsize_stack m_source;
    std::shared_ptr<FreeList> m_free;
};
#endif

} // namespace gypsumdale::detail
