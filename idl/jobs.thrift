namespace cpp gypsumdale.wire

/** One process of the system; a restarted one has another incarnation. */
struct JobOwner {
  1: string node
  2: i64 incarnation
}

/** From this token offset on, the answer comes from this epoch. */
struct JobEpochStart {
  1: i64 epoch
  2: i64 offset
}

enum JobPhase {
  Running = 1
  Finished = 2
  Failed = 3
  Expired = 4
}

/** All that another node needs to go on with a job. tokenLengths holds the byte length of each
 * token of the text as unsigned LEB128 numbers. */
struct JobSnapshot {
  1: string job
  2: string member
  3: string profile
  4: string serviceName
  5: binary requestBody
  6: i64 createdMillis
  7: i64 deadlineMillis
  8: JobOwner owner
  9: list<JobEpochStart> epochs
  10: binary text
  11: binary tokenLengths
  12: JobPhase phase
  13: string finishReason
}

struct JobOffered {
  1: JobSnapshot snapshot
}

/** Tokens from the offset fromTokens on. */
struct JobProgress {
  1: string job
  2: i64 epoch
  3: i64 fromTokens
  4: binary text
  5: binary tokenLengths
}

struct JobFinished {
  1: JobProgress rest
  2: JobPhase phase
  3: string finishReason
  4: i64 wholeTokens
}

/** Takes effect only while the job's epoch is still previousEpoch and its answer has `offset`
 * tokens, where the new epoch begins. */
struct JobTakeover {
  1: string job
  2: i64 previousEpoch
  3: i64 epoch
  4: i64 offset
  5: JobOwner newOwner
  6: string reason
}

struct JobRemoved {
  1: string job
  2: i64 epoch
}

union JobRecord {
  1: JobOffered offered
  2: JobProgress progress
  3: JobFinished finished
  4: JobTakeover takeover
  5: JobRemoved removed
}

/** Owner to holder: keep this for me. The answer names what is held now. */
struct JobHold {
  1: JobOwner owner
  2: JobRecord record
}

struct JobHoldAnswer {
  1: string job
  2: i64 epoch
  3: bool held
  4: i64 heldTokens
  5: bool heldFinished
}

struct JobRelease {
  1: string job
  // The process that gives the copy up; missing from one of a version before.
  2: optional JobOwner owner
}

/** Owner to its successor: from now on the job is yours. The successor begins an epoch of its own
 * at the end of the answer so far, and names it in its answer. */
struct JobHandOver {
  1: JobSnapshot snapshot
}

struct JobHandOverAnswer {
  1: string job
  2: i64 epoch
  3: bool taken
}
