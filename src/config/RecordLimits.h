#ifndef HICKORYLIFT_CONFIG_RECORDLIMITS_H
#define HICKORYLIFT_CONFIG_RECORDLIMITS_H

#include <cstddef>
#include <cstdint>

// The ranges of the numbers in records. docs/RECORDS.md lists them for
// operators. A record of ours with a number outside its range is a fault;
// RecordImport.h brings the numbers of another system into them.

namespace hickorylift {

/// Both ends are included.
struct IntegerRange {
  int64_t Low;
  int64_t High;
};

constexpr int64_t MaxDurationMs = 3600 * 1000;
constexpr IntegerRange DurationMsRange{0, MaxDurationMs};
/// How long a call or a connection may last or stay idle. Long enough for any
/// caller, and as milliseconds within the 32 bits of a call's frames.
constexpr IntegerRange TimeoutMsRange{1, int64_t(30) * 24 * 3600 * 1000};
constexpr IntegerRange TargetMsRange{0, TimeoutMsRange.High};
constexpr IntegerRange KeyWindowMsRange{1000, MaxDurationMs};
/// 0 is the most urgent.
constexpr IntegerRange PriorityRange{0, 9};
constexpr IntegerRange WeightRange{0, 1000000};
/// No call is offered to more gates than this.
constexpr int64_t MaxAttempts = 10;
/// 0 for what the route's retry policy says.
constexpr IntegerRange RouteAttemptsRange{0, MaxAttempts};
constexpr IntegerRange AttemptsRange{1, MaxAttempts};
constexpr IntegerRange SlotsRange{1, 100000};
constexpr IntegerRange ConnectionsRange{1, 100000};
constexpr IntegerRange QueueRange{0, 100000};
constexpr IntegerRange ConcurrencyRange{0, 1000000};
constexpr IntegerRange SchemaRange{1, 1000000};
constexpr IntegerRange HeaderBytesRange{256, 16 << 20};
constexpr IntegerRange BodyBytesRange{0, int64_t(1) << 50};
constexpr double MaxPerSecond = 1e7;
/// Bytes of one record: what the platform holds in one value.
constexpr size_t MaxRecordBytes = 1u << 20;

} // namespace hickorylift

#endif
