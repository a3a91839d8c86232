#pragma once

#include <gypsumdale/core/result.hpp>
#include <gypsumdale/ledger/order_lease.hpp>

#include <optional> // optional
#include <string> // string

namespace gypsumdale::testing {

/// The one object of a lease, as the platform would hold it.
class MemoryLeasePlatform
{
public:
    LeaseAnswer perform(const LeaseCommand &command)
    {
        return std::visit(
                Overloaded{
                        [this](const ReadLease &) {
                            return m_body ? LeaseAnswer(LeaseRead{m_version, *m_body})
                                          : LeaseAnswer(LeaseMissing{});
                        },
                        [this](const CreateLease &create) {
                            return m_body ? LeaseAnswer(LeaseConflict{}) : write(create.m_body);
                        },
                        [this](const UpdateLease &update) {
                            const bool matches = m_body && m_version == update.m_version;
                            return matches ? write(update.m_body) : LeaseAnswer(LeaseConflict{});
                        },
                },
                command);
    }

    std::optional<std::string> m_body;
    FencingNumber m_version = 0;

private:
    LeaseAnswer write(const std::string &body)
    {
        m_body = body;
        return LeaseWritten{++m_version};
    }
};

} // namespace gypsumdale::testing
