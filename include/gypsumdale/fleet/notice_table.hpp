#pragma once

#include <gypsumdale/fleet/leaving_notice.hpp>
#include <gypsumdale/fleet/upstream_state.hpp>

#include <cstdint> // int64_t
#include <map> // map
#include <optional> // optional
#include <string> // string
#include <vector> // vector

namespace gypsumdale {

/// How a notice relates to those already received.
enum class NoticeStatus {
    /// Copy of a retained notice, or of one that expired here.
    Known,
    /// Received long after its deadline.
    Late,
    Fresh,
};

/// Effect of a retained notice on an upstream that appears after it.
struct NoticeEffect
{
    LeavingNotice m_notice;
    /// Nothing if the notice names the upstream or its VM: the upstream is leaving. Otherwise its
    /// zone was reclaimed shortly before, and it gets no work until this time.
    std::optional<TimePoint> m_heldUntil;
};

/// The received leaving notices, each retained until some time after its deadline: it still applies
/// to a VM that the lagging list shows only then, and late copies are recognised. The id of an
/// expired notice is retained for the same time again, since a peer that retained it longer must
/// not reintroduce it.
class NoticeTable
{
public:
    /// `listLag` is the maximum lag of the VM list, `retention` the time after its deadline for
    /// which a notice is retained.
    NoticeTable(Duration listLag, Duration retention);

    /// Adds the notice unless it is known. Complexity: logarithmic.
    NoticeStatus take(const LeavingNotice &notice, TimePoint now, WallMillis wallNow);

    /// Removes expired notices and ids. Complexity: linear.
    void expire(TimePoint now);

    std::vector<LeavingNotice> all() const;

    /// Returns a digest over the ids of the retained notices, by which peers detect that one of
    /// them missed some.
    std::int64_t digest() const { return m_digest; }

    /// Returns the effects of the retained notices on an upstream that appears now, ordered by
    /// notice id. Complexity: linear.
    std::vector<NoticeEffect> effectsOn(const UpstreamDeclaration &declaration,
                                        TimePoint now) const;

private:
    struct RetainedNotice
    {
        LeavingNotice m_notice;
        /// Time until which a VM of the zone that appears gets no work.
        TimePoint m_heldUntil;
        TimePoint m_expiresAt;
    };

    Duration m_listLag;
    Duration m_retention;
    std::map<std::string, RetainedNotice> m_retained;
    /// Ids of expired notices, with the time at which they are removed.
    std::map<std::string, TimePoint> m_expired;
    std::int64_t m_digest = 0;
};

} // namespace gypsumdale
