#pragma once

namespace gypsumdale::bench {

/// Prints how the first-token times of other members change when one member sends ten times its
/// share.
void fairnessTable(int seeds);
/// Prints the largest service gap of two backlogged members by the age of heartbeats.
void gapTable(int seeds);
/// Prints the results of phone calls next to long drafts of the same member, by the order of
/// classes.
void classesTable(int seeds);
/// Prints prefix hits and latencies of the routing policies by the age of load reports.
void routingTable(int seeds);
/// Prints the answers in time at loads from half to three times the capacity.
void overloadTable(int seeds);
/// Prints the ratio of attempts to first attempts while half of the fleet fails.
void retriesTable(int seeds);
/// Prints overshoot and use of an engine's slots by the reserve for idle peers.
void slotsTable(int seeds);
/// Prints the processor time of one decision by the number of upstreams.
void costTable(int seeds);

} // namespace gypsumdale::bench
