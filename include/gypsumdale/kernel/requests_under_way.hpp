#pragma once

#include <gypsumdale/kernel/request_context.hpp>

#include <cstdint> // uint64_t
#include <map> // map
#include <mutex> // mutex
#include <vector> // vector

namespace gypsumdale {

/// Request whose answer is not finished.
struct RequestUnderWay
{
    RequestId m_id;
    ServiceId m_service;
    ProfileId m_profile;
    TimePoint m_arrivedAt{};
};

/// Requests whose answers are not finished, so that those that a stop cuts can be named. Safe from
/// any thread.
class RequestsUnderWay
{
public:
    /// Adds a request, and removes it when it is destroyed.
    class Entry
    {
    public:
        Entry(RequestsUnderWay &requests, const RequestContext &context);
        ~Entry();
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;

    private:
        RequestsUnderWay &m_requests;
        std::uint64_t m_number = 0;
    };

    /// Returns all of them, in the order of their arrival. Complexity: linear in their number.
    std::vector<RequestUnderWay> all() const;

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_next = 0;
    std::map<std::uint64_t, RequestUnderWay> m_requests;
};

} // namespace gypsumdale
