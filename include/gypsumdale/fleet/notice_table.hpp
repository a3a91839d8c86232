#pragma once

#include <gypsumdale/fleet/leaving_notice.hpp>
#include <gypsumdale/fleet/upstream_state.hpp>

#include <cstdint> // int64_t
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// What a notice is to one that has a book of those before.
enum class NoticeStatus {
    /// A copy of one that is kept, or of one that ran out here.
    Known,
    /// It came long after its deadline.
    Late,
    Fresh,
};

/// What a kept notice says of an upstream that shows up after it.
struct NoticeEffect
{
    LeavingNotice m_notice;
    /// Nothing if the notice names the upstream or its VM: that one leaves. Otherwise its zone was
    /// reclaimed a moment ago: it is held back until then.
    std::optional<TimePoint> m_heldUntil;
};

/// The leaving notices that came in, each kept until some time after its deadline: a VM that the
/// lagging list shows only then is still concerned, and late copies are recognised. One that ran
/// out is remembered by its id for as long again, since a peer that kept it longer must not bring
/// it back.
class NoticeTable
{
public:
    /// `listLag` is how long the VM list may lag, `retention` how long after its deadline a notice
    /// is kept.
    NoticeTable(Duration listLag, Duration retention);

    /// Keeps the notice unless it is known. Logarithmic.
    NoticeStatus take(const LeavingNotice &notice, TimePoint now, WallMillis wallNow);

    /// Lets run out what is old. Linear.
    void expire(TimePoint now);

    std::vector<LeavingNotice> all() const;

    /// Over the ids of the kept notices, with which peers find out that one of them missed some.
    std::int64_t digest() const { return m_digest; }

    /// What the kept notices say of an upstream that shows up now, in the order of their ids.
    /// Linear.
    std::vector<NoticeEffect> effectsOn(const UpstreamDeclaration &declaration,
                                        TimePoint now) const;

private:
    struct Kept
    {
        LeavingNotice m_notice;
        /// Until when a VM of the zone that shows up is held back.
        TimePoint m_heldUntil;
        TimePoint m_expiresAt;
    };

    Duration m_listLag;
    Duration m_retention;
    std::map<std::string, Kept> m_kept;
    /// Ids of notices that ran out, with the time to forget them.
    std::map<std::string, TimePoint> m_expired;
    std::int64_t m_digest = 0;
};

} // namespace gypsumdale
