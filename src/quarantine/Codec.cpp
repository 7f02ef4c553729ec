#include "quarantine/Quarantine.h"

#include <algorithm>

// The clocks of the nodes differ, so times are sent as ages. Each hop delays
// the decoded time by its transmission time, some milliseconds.

namespace hickorylift {

namespace {

constexpr size_t MaxDescriptionLength = 160;
constexpr size_t MaxRecords = 100000;
// A higher age is taken for invalid and cut to this.
constexpr Millis MaxAge{7 * 24 * 60 * 60 * 1000LL};

uint32_t ageOf(TimePoint At, TimePoint Now) {
  return static_cast<uint32_t>(
      std::clamp(toMillis(Now - At), Millis(0), MaxAge).count());
}

TimePoint timeOf(uint32_t AgeMs, TimePoint Now) {
  return Now - std::min(Millis(AgeMs), MaxAge);
}

} // namespace

wire::SpreadFrameT
encodeRecords(const std::vector<const Quarantine::Record *> &Records,
              TimePoint Now) {
  wire::QuarantineT Message;
  for (const Quarantine::Record *Record : Records) {
    auto Encoded = std::make_unique<wire::QuarantineRecordT>();
    Encoded->fingerprint = Record->RequestFingerprint.Hash;
    Encoded->request = Record->Description;
    for (const Quarantine::Crash &Crash : Record->Crashes)
      Encoded->crashes.emplace_back(Crash.Id, ageOf(Crash.At, Now),
                                    Crash.OnlySuspect, Crash.Cleared,
                                    Crash.ServiceHash);
    Message.records.push_back(std::move(Encoded));
  }
  wire::SpreadFrameT Frame;
  Frame.payload.Set(std::move(Message));
  return Frame;
}

std::vector<Quarantine::Record> decodeRecords(const wire::QuarantineT &Received,
                                              TimePoint Now) {
  std::vector<Quarantine::Record> Records;
  for (const auto &Encoded : Received.records) {
    if (!Encoded || Records.size() >= MaxRecords)
      continue;
    Quarantine::Record Decoded;
    Decoded.RequestFingerprint = {Encoded->fingerprint};
    Decoded.Description = Encoded->request.substr(0, MaxDescriptionLength);
    for (const wire::QuarantineCrash &Crash : Encoded->crashes)
      if (Decoded.Crashes.size() < Quarantine::MaxCrashesPerRecord)
        Decoded.Crashes.push_back({Crash.id(), timeOf(Crash.age_ms(), Now),
                                   Crash.alone(), Crash.cleared(),
                                   Crash.service()});
    Records.push_back(std::move(Decoded));
  }
  return Records;
}

} // namespace hickorylift
