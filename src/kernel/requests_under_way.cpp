#include <gypsumdale/kernel/requests_under_way.hpp>

namespace gypsumdale {

RequestsUnderWay::Entry::Entry(RequestsUnderWay &requests, const RequestContext &context)
    : m_requests(requests)
{
    const std::scoped_lock lock(m_requests.m_mutex);
    m_number = m_requests.m_next++;
    m_requests.m_requests.emplace(m_number,
                                  RequestUnderWay{context.m_id, context.m_service,
                                                  context.m_profile->m_id, context.m_arrivedAt});
}

RequestsUnderWay::Entry::~Entry()
{
    const std::scoped_lock lock(m_requests.m_mutex);
    m_requests.m_requests.erase(m_number);
}

std::vector<RequestUnderWay> RequestsUnderWay::all() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<RequestUnderWay> result;
    result.reserve(m_requests.size());
    for (const auto &[number, request] : m_requests)
        result.push_back(request);
    return result;
}

} // namespace gypsumdale
