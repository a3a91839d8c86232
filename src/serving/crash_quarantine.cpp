#include <gypsumdale/serving/crash_quarantine.hpp>
#include <gypsumdale/settings/account_table.hpp>

#include <algorithm> // min, min_element

namespace gypsumdale {

namespace {

constexpr Duration firstQuarantine = std::chrono::seconds(60);
constexpr int maxDoublings = 4;
/// Time after its quarantine for which an entry is remembered.
constexpr Duration memory = std::chrono::minutes(10);
constexpr std::size_t maxEntries = 64;
/// Difference up to which two times of one entry are the same, as each peer computes it anew.
constexpr Duration sameTime = std::chrono::milliseconds(500);

/// Returns whether one peer's message about an entry is later than another one's.
bool isLater(const QuarantineEntry &told, const QuarantineEntry &known)
{
    if (told.m_times != known.m_times)
        return told.m_times > known.m_times;
    if (told.m_isLifted != known.m_isLifted)
        return told.m_isLifted;
    return told.m_until > known.m_until + sameTime;
}

} // namespace

std::string idOf(const QuarantineEntry &entry)
{
    constexpr std::size_t idLength = 12;
    return sha256Hex(entry.m_service.text() + ' ' + textOf(entry.m_elements)).substr(0, idLength);
}

const QuarantineEntry &CrashQuarantine::add(const ServiceId &service, const CrashElements &elements,
                                            bool isLocal, TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &known) {
        const CrashElements &wider = known.second.m_elements;
        return known.first.first == service && wider != elements && holdsAll(wider, elements);
    });
    QuarantineEntry &entry = entryOf({service, elements});
    entry.m_until = now + firstQuarantine * (1 << std::min(entry.m_times, maxDoublings));
    ++entry.m_times;
    entry.m_isLocal = isLocal;
    entry.m_isLifted = false;
    return entry;
}

bool CrashQuarantine::merge(const QuarantineEntry &told, TimePoint now)
{
    const Key key{told.m_service, told.m_elements};
    const auto known = m_entries.find(key);
    const bool isOld = told.m_elements.empty() || told.m_until + memory <= now;
    if (known == m_entries.end() ? isOld : !isLater(told, known->second))
        return false;
    entryOf(key) = told;
    return true;
}

std::size_t CrashQuarantine::lift(const CrashElements &request)
{
    std::size_t lifted = 0;
    for (auto &[key, entry] : m_entries) {
        if (entry.m_isLifted || !holdsAll(request, entry.m_elements))
            continue;
        entry.m_isLifted = true;
        ++lifted;
    }
    return lifted;
}

const QuarantineEntry *CrashQuarantine::liftById(std::string_view id)
{
    for (auto &[key, entry] : m_entries) {
        if (entry.m_isLifted || idOf(entry) != id)
            continue;
        entry.m_isLifted = true;
        return &entry;
    }
    return nullptr;
}

bool CrashQuarantine::isExpired(const ServiceId &service, const CrashElements &elements,
                                TimePoint now) const
{
    const auto found = m_entries.find({service, elements});
    return found != m_entries.end() && !found->second.m_isLifted && found->second.m_until <= now;
}

std::vector<CrashElements> CrashQuarantine::causes(const ServiceId &service) const
{
    std::vector<CrashElements> result;
    for (const auto &[key, entry] : m_entries) {
        if (key.first == service && !entry.m_isLifted)
            result.push_back(entry.m_elements);
    }
    return result;
}

std::vector<QuarantineEntry> CrashQuarantine::entries() const
{
    std::vector<QuarantineEntry> result;
    for (const auto &[key, entry] : m_entries)
        result.push_back(entry);
    return result;
}

std::vector<QuarantineEntry> CrashQuarantine::sharedEntries() const
{
    std::vector<QuarantineEntry> result = entries();
    std::erase_if(result, [](const QuarantineEntry &entry) { return entry.m_isLocal; });
    return result;
}

void CrashQuarantine::expire(TimePoint now)
{
    std::erase_if(m_entries,
                  [now](const auto &entry) { return entry.second.m_until + memory <= now; });
}

/// Returns an entry, which is made if there is none. The one that ends first makes room.
QuarantineEntry &CrashQuarantine::entryOf(const Key &key)
{
    if (!m_entries.contains(key) && m_entries.size() >= maxEntries) {
        ++m_dropped;
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
                                         [](const auto &left, const auto &right) {
                                             return left.second.m_until < right.second.m_until;
                                         }));
    }
    QuarantineEntry &entry = m_entries[key];
    entry.m_service = key.first;
    entry.m_elements = key.second;
    return entry;
}

} // namespace gypsumdale
