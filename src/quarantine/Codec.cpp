#include "quarantine/Quarantine.h"

#include <algorithm>

// Clocks of nodes differ, so times go over a link as ages. Each hop adds what
// it takes, milliseconds, to when something seems to have been.

namespace hickorylift {

namespace {

constexpr size_t MaxText = 160;
constexpr size_t MaxRecords = 100000;
// An age beyond this is rubbish.
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
encodeRecords(const std::vector<const Quarantine::Record *> &Which,
              TimePoint Now) {
  wire::QuarantineT Out;
  for (const Quarantine::Record *Of : Which) {
    auto One = std::make_unique<wire::QuarantineRecordT>();
    One->fingerprint = Of->RequestFingerprint.Hash;
    One->request = Of->Description;
    for (const Quarantine::Crash &Crash : Of->Crashes)
      One->crashes.emplace_back(Crash.Id, ageOf(Crash.At, Now),
                                Crash.OnlySuspect, Crash.Cleared,
                                Crash.ServiceHash);
    Out.records.push_back(std::move(One));
  }
  wire::SpreadFrameT Frame;
  Frame.payload.Set(std::move(Out));
  return Frame;
}

std::vector<Quarantine::Record> decodeRecords(const wire::QuarantineT &Said,
                                              TimePoint Now) {
  std::vector<Quarantine::Record> Out;
  for (const auto &One : Said.records) {
    if (!One || Out.size() >= MaxRecords)
      continue;
    Quarantine::Record Of;
    Of.RequestFingerprint = {One->fingerprint};
    Of.Description = One->request.substr(0, MaxText);
    for (const wire::QuarantineCrash &Crash : One->crashes)
      if (Of.Crashes.size() < Quarantine::MaxCrashesPerRecord)
        Of.Crashes.push_back({Crash.id(), timeOf(Crash.age_ms(), Now),
                              Crash.alone(), Crash.cleared(), Crash.service()});
    Out.push_back(std::move(Of));
  }
  return Out;
}

} // namespace hickorylift
