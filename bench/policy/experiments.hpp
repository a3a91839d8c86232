#pragma once

namespace gypsumdale::bench {

/// How other members' first tokens move when one sends ten times its share.
void fairnessTable(int seeds);
/// The largest service gap of two backlogged members against the age of heartbeats.
void gapTable(int seeds);
/// Phone calls beside long drafts of the same member, by the order of classes.
void classesTable(int seeds);
/// Prefix hits and latencies of the routing policies against the age of load reports.
void routingTable(int seeds);
/// Answers in time from half to three times the capacity.
void overloadTable(int seeds);
/// Attempts by first attempts while half the fleet fails.
void retriesTable(int seeds);
/// Overshoot and use of an engine's slots by what is kept for idle peers.
void slotsTable(int seeds);
/// Processor time of one decision against the number of upstreams.
void costTable(int seeds);

} // namespace gypsumdale::bench
