namespace cpp gypsumdale.wire

// One object of a log in the platform.
struct LogSegment {
  // Unique for each life of a process.
  1: string writer
  // Unique within the writer; the same on every attempt to create this segment.
  2: i64 batch
  // "writer/batch" of the segment before; empty in the first one.
  3: string previous
  // The writer's clock, UTC milliseconds.
  4: i64 writtenAt
  // XXH3 over all other fields.
  5: i64 checksum
  6: list<binary> records
}

struct ClaimRecord {
  1: binary key
  2: binary body
  3: string attempt
  4: string node
  // UTC milliseconds from which on the key may be forgotten.
  5: i64 expiry
}

enum WireOutcome {
  Done = 1
  NotRun = 2
  Unknown = 3
}

struct OutcomeRecord {
  1: binary key
  2: string attempt
  3: WireOutcome outcome
  4: i32 status
  5: bool answerKept
  6: binary answer
  7: string contentType
  8: i64 expiry
}

// What the log says of a key so far, written again so that older segments can go.
struct RestatedRecord {
  1: binary key
  2: binary body
  3: string attempt
  4: bool hasOutcome
  5: WireOutcome outcome
  6: i32 status
  7: bool answerKept
  8: binary answer
  9: string contentType
  10: i64 expiry
}

union LedgerRecord {
  1: ClaimRecord claim
  2: OutcomeRecord outcome
  3: RestatedRecord restated
}

// The body of the object that holds a data centre's lease for orders.
struct OrderLeaseBody {
  // Unique for each life of a process.
  1: string holder
  // Counts the holder's writes, so that a lost answer can be settled by reading.
  2: i64 revision
  3: i64 durationMillis
  4: bool released
}
