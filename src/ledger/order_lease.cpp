#include <gypsumdale/core/result.hpp>
#include <gypsumdale/ledger/order_lease.hpp>
#include <gypsumdale/wire/thrift_codec.hpp>

#include <ledger_types.h>

#include <algorithm> // max

namespace gypsumdale {

namespace {

constexpr Duration retryInterval = std::chrono::milliseconds(500);

} // namespace

OrderLease::OrderLease(OrderLeaseSettings settings)
    : m_settings(std::move(settings))
{}

std::optional<LeaseCommand> OrderLease::next(TimePoint now)
{
    if (m_outstanding != Waiting::Nothing || now < m_nextAttemptAt)
        return std::nullopt;
    m_sentAt = now;
    if (m_readNeeded) {
        m_outstanding = Waiting::Read;
        return ReadLease{};
    }
    // An operator may have removed the object of a holder, whose lease lasts until its end.
    if (m_missingSince && now - *m_missingSince >= m_settings.m_duration) {
        m_outstanding = Waiting::Write;
        return CreateLease{bodyToWrite(false)};
    }
    const bool isOwn = m_held.has_value();
    if (m_releasing && !isOwn)
        return std::nullopt;
    if (!m_seen || (!isOwn && !m_unsettled && !canTakeOver(now))) {
        m_outstanding = Waiting::Read;
        return ReadLease{};
    }
    m_outstanding = Waiting::Write;
    return UpdateLease{m_seen->m_version, bodyToWrite(m_releasing)};
}

void OrderLease::onAnswer(const LeaseAnswer &answer, TimePoint now)
{
    const Waiting answered = m_outstanding;
    if (answered == Waiting::Nothing)
        return;
    m_outstanding = Waiting::Nothing;
    std::visit(Overloaded{
                       [this, now](const LeaseRead &read) {
                           onRead(read.m_version, read.m_body, now);
                       },
                       [this, now](const LeaseMissing &) { onMissing(now); },
                       [this](const LeaseWritten &written) { onWritten(written.m_version); },
                       [this](const LeaseConflict &) {
                           // Either the write of another process, or an earlier own write whose
                           // answer was lost; the body shows which.
                           m_readNeeded = true;
                       },
                       [this, now](const LeaseAnswerLost &lost) {
                           m_readNeeded = true;
                           m_nextAttemptAt = now + std::max(lost.m_retryAfter, retryInterval);
                       },
               },
               answer);
}

void OrderLease::onRead(FencingNumber version, const std::string &body, TimePoint now)
{
    m_readNeeded = false;
    m_missingSince.reset();
    m_nextAttemptAt = now + m_settings.m_readInterval;
    if (m_seen && m_seen->m_version == version)
        return onUnchanged(now);
    const Result<wire::OrderLeaseBody> decoded = wire::decode<wire::OrderLeaseBody>(body);
    Seen seen{version, "", m_settings.m_duration, false, now};
    if (succeeded(decoded)) {
        const wire::OrderLeaseBody &lease = valueOf(decoded);
        seen.m_holder = lease.holder;
        seen.m_duration = std::chrono::milliseconds(lease.durationMillis);
        seen.m_released = lease.released;
    }
    m_seen = seen;
    const bool isOurs = seen.m_holder == m_settings.m_holder && !seen.m_released
                        && valueOf(decoded).revision == m_lastWrite;
    if (isOurs)
        return onWritten(version);
    m_unsettled.reset();
    m_held.reset();
    if (canTakeOver(now))
        m_nextAttemptAt = now;
}

void OrderLease::onUnchanged(TimePoint now)
{
    // An own write did not take effect, or not yet. It is sent again with the same version and
    // body, so that only one of the two can take effect.
    if (m_unsettled)
        m_nextAttemptAt = now;
    const bool isOwn = m_seen->m_holder == m_settings.m_holder && !m_seen->m_released;
    if (isOwn)
        m_held = m_seen->m_version;
}

void OrderLease::onMissing(TimePoint now)
{
    m_readNeeded = false;
    m_nextAttemptAt = now + m_settings.m_readInterval;
    if (!m_missingSince)
        m_missingSince = now;
    m_held.reset();
    m_seen.reset();
}

void OrderLease::onWritten(FencingNumber version)
{
    m_unsettled.reset();
    m_missingSince.reset();
    m_seen = Seen{version, m_settings.m_holder, m_settings.m_duration, m_releasing, m_writtenAt};
    m_nextAttemptAt = m_writtenAt + m_settings.m_renewInterval;
    if (m_releasing) {
        m_held.reset();
        return;
    }
    // While the version remained that of this process, nobody else ordered in between.
    if (!m_held)
        m_takenOverAt = m_writtenAt;
    m_held = version;
    m_heldSince = m_writtenAt;
}

std::optional<FencingNumber> OrderLease::fence(TimePoint now) const
{
    if (!m_held || m_releasing)
        return std::nullopt;
    // Failure: the process was paused since its last renewal, its lease expired and another process
    // took it over. An engine would get orders from two orderers. `now` must be the time of this
    // call.
    if (now >= m_heldSince + m_settings.m_duration - m_settings.m_margin)
        return std::nullopt;
    return m_held;
}

std::optional<FencingNumber> OrderLease::fenceForUncheckedEngine(TimePoint now) const
{
    if (now < m_takenOverAt + m_settings.m_longestPause)
        return std::nullopt;
    return fence(now);
}

void OrderLease::onFenced()
{
    m_held.reset();
    m_readNeeded = true;
    m_nextAttemptAt = TimePoint::min();
}

void OrderLease::release()
{
    m_releasing = true;
    m_nextAttemptAt = TimePoint::min();
}

std::optional<TimePoint> OrderLease::nextWake() const
{
    const bool isDone = m_releasing && !m_held && !m_readNeeded;
    if (m_outstanding != Waiting::Nothing || isDone)
        return std::nullopt;
    return m_nextAttemptAt;
}

bool OrderLease::canTakeOver(TimePoint now) const
{
    if (!m_seen)
        return false;
    // A released lease is free at once, as the old holder never orders again.
    return m_seen->m_released || now - m_seen->m_since >= m_seen->m_duration;
}

std::string OrderLease::bodyToWrite(bool released)
{
    if (m_unsettled && !released)
        return *m_unsettled;
    // The lease starts when the write is first sent: whenever the write takes effect, others see it
    // later and wait for longer than the holder acts.
    m_writtenAt = m_sentAt;
    wire::OrderLeaseBody body;
    body.holder = m_settings.m_holder;
    body.revision = ++m_lastWrite;
    body.durationMillis = toWholeMillis(m_settings.m_duration);
    body.released = released;
    m_unsettled = wire::encode(body);
    return *m_unsettled;
}

} // namespace gypsumdale
