#include <gypsumdale/jobs/job.hpp>

#include <utility> // move

namespace gypsumdale {

JobState stateOfPhase(wire::JobPhase::type phase)
{
    switch (phase) {
    case wire::JobPhase::Finished:
        return JobState::Finished;
    case wire::JobPhase::Failed:
        return JobState::Failed;
    case wire::JobPhase::Expired:
        return JobState::Expired;
    case wire::JobPhase::Running:
        break;
    }
    return JobState::Running;
}

namespace {

constexpr std::size_t bytesPerTokenEnd = sizeof(std::uint32_t);
constexpr int epochSaltBits = 32;
constexpr std::int64_t largestEpochNumber = (std::int64_t{1} << 21) - 1;

} // namespace

std::size_t Job::memory() const
{
    return sizeof(Job) + m_request.m_body.size() + m_answer.text().size()
           + static_cast<std::size_t>(m_answer.tokens()) * bytesPerTokenEnd;
}

bool operator==(const JobRequest &left, const JobRequest &right)
{
    return left.m_member == right.m_member && left.m_profile == right.m_profile
           && left.m_service == right.m_service && left.m_body == right.m_body
           && left.m_created == right.m_created && left.m_deadline == right.m_deadline;
}

wire::JobOwner toWire(const ProcessRef &process)
{
    wire::JobOwner owner;
    owner.node = process.m_node.text();
    owner.incarnation = process.m_incarnation;
    return owner;
}

ProcessRef fromWire(const wire::JobOwner &owner)
{
    return ProcessRef{NodeId(owner.node), owner.incarnation};
}

wire::JobSnapshot toWire(const Job &job)
{
    wire::JobSnapshot snapshot;
    snapshot.job = job.m_id.text();
    snapshot.member = job.m_request.m_member.text();
    snapshot.profile = job.m_request.m_profile.text();
    snapshot.serviceName = job.m_request.m_service.text();
    snapshot.requestBody = job.m_request.m_body;
    snapshot.createdMillis = job.m_request.m_created;
    snapshot.deadlineMillis = job.m_request.m_deadline;
    snapshot.owner = toWire(job.m_owner);
    for (const EpochHistory::Start &start : job.m_epochs.starts()) {
        wire::JobEpochStart entry;
        entry.epoch = start.m_epoch;
        entry.offset = start.m_offset;
        snapshot.epochs.push_back(entry);
    }
    snapshot.text = job.m_answer.text();
    snapshot.tokenLengths = job.m_answer.encodedLengths();
    snapshot.phase = job.m_phase;
    snapshot.finishReason = job.m_finishReason;
    return snapshot;
}

Result<Job> fromWire(const wire::JobSnapshot &snapshot)
{
    if (!logOf(JobId(snapshot.job)) || snapshot.epochs.empty())
        return Error{ErrorId::PeerMalformed, "not a job"};
    if (snapshot.phase < wire::JobPhase::Running || snapshot.phase > wire::JobPhase::Expired)
        return Error{ErrorId::PeerMalformed, "not a phase of a job"};
    Result<AnswerText> answer = AnswerText::decode(snapshot.text, snapshot.tokenLengths);
    if (!succeeded(answer))
        return errorOf(answer);
    Job job;
    job.m_id = JobId(snapshot.job);
    job.m_request = JobRequest{MemberId(snapshot.member),       ProfileId(snapshot.profile),
                               ServiceId(snapshot.serviceName), snapshot.requestBody,
                               snapshot.createdMillis,          snapshot.deadlineMillis};
    job.m_owner = fromWire(snapshot.owner);
    for (const wire::JobEpochStart &start : snapshot.epochs)
        job.m_epochs.begin(start.epoch, start.offset);
    job.m_answer = valueOf(std::move(answer));
    job.m_phase = snapshot.phase;
    job.m_finishReason = snapshot.finishReason;
    return job;
}

JobId jobOf(const wire::JobRecord &record)
{
    if (record.__isset.offered)
        return JobId(record.offered.snapshot.job);
    if (record.__isset.progress)
        return JobId(record.progress.job);
    if (record.__isset.finished)
        return JobId(record.finished.rest.job);
    if (record.__isset.takeover)
        return JobId(record.takeover.job);
    if (record.__isset.removed)
        return JobId(record.removed.job);
    return {};
}

std::int64_t nextEpoch(std::int64_t previous, std::uint32_t random)
{
    const std::int64_t number = ((previous >> epochSaltBits) + 1) & largestEpochNumber;
    return (number << epochSaltBits) | random;
}

} // namespace gypsumdale
