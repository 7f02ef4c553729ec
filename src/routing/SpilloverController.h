#ifndef HICKORYLIFT_ROUTING_SPILLOVERCONTROLLER_H
#define HICKORYLIFT_ROUTING_SPILLOVERCONTROLLER_H

#include "base/Time.h"
#include "calls/Message.h"
#include "membership/Membership.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

// A SpilloverController decides whether a call may leave its data centre, and
// for which other one, from the share of slots in use in each data centre.
//
//   SpilloverController Spillover(Options, "north");
//   auto Place = Spillover.place("lookup", "north");
//   Spillover.recordLoad(Place, Load, /*SinceLast=*/std::nullopt, Now);
//   RemoteGates Remote;
//   Remote.add(Gate, /*Slots=*/10);                // each usable remote gate
//   for (const Instance *Gate : Spillover.select("lookup", std::move(Remote),
//                                                /*Refused=*/false, Rng, Now))
//     ...                                          // a candidate

namespace hickorylift {

/// The usable remote gates of one decision, grouped by data centre.
class RemoteGates {
public:
  struct Group {
    std::vector<const Instance *> Gates;
    double Slots = 0;
  };

  void add(const Instance &Gate, uint32_t Slots);
  bool empty() const { return this->Groups.empty(); }
  std::vector<Group> &groups() { return this->Groups; }
  /// All gates of all data centres.
  std::vector<const Instance *> all() const;

private:
  std::vector<Group> Groups;
};

class SpilloverController {
public:
  /// Identifies a service in one data centre; 0 for none.
  using PlaceId = uint32_t;

  /// Why a call was sent to a remote gate.
  enum class Reason { LocalLoad, LocalRefusal, NoLocalGate };
  static constexpr Reason Reasons[] = {Reason::LocalLoad, Reason::LocalRefusal,
                                       Reason::NoLocalGate};

  struct Options {
    bool Enabled = false;
    /// Shares of the local slots in use from which on remote gates may be
    /// candidates, and from which on they always are. A remote data centre
    /// whose share has reached Full gets no calls.
    double Start = 0.75;
    double Full = 0.95;
    /// The probability() changes by at most MaxChange in each ChangeInterval,
    /// so that entries with the same reports do not move all calls at once.
    double MaxChange = 0.1;
    Millis ChangeInterval{100};
    /// Time in which a report loses half of its weight.
    Millis ReportHalfLife{1000};
    /// Share assumed for a data centre without reports, and the number of slots
    /// that the assumption counts for: less than any gate has, so that it
    /// matters only once the reports have faded.
    double UnknownShare = 0.5;
    double UnknownSlots = 0.25;
    /// How long a gate's refusal makes remote gates candidates for the calls
    /// that were offered to that gate. As long as usual deadlines.
    Millis RefusalPeriod{1000};
    /// Number of pairs of service and data centre that are remembered. Loads of
    /// further ones are unknown.
    size_t MaxPlaces = 10000;
  };

  /// Calls of a service begin or cease to have remote candidates because of the
  /// local load.
  struct Change {
    std::string Service;
    bool Begins = false;
    double LocalShare = 0;
  };
  using ChangeHook = std::function<void(const Change &, TimePoint)>;

  SpilloverController(Options Opts, std::string DataCentre)
      : Opts(Opts), DataCentre(std::move(DataCentre)) {}

  bool isEnabled() const { return this->Opts.Enabled; }
  void setChangeHook(ChangeHook Hook) { this->OnChange = std::move(Hook); }

  /// The id of a service in a data centre; 0 if disabled or none is left.
  PlaceId place(const std::string &Service, const std::string &DataCentre);
  bool isLocal(PlaceId Place) const;
  /// Discards all other places.
  void retainOnly(const std::set<PlaceId> &Used);

  /// Records the load that a gate reports. SinceLast is the age of the gate's
  /// previous report, nothing for its first. The weight of a report grows with
  /// this age, so that a gate that reports often counts no more than others.
  void recordLoad(PlaceId Place, const wire::Load &Load,
                  std::optional<Clock::duration> SinceLast, TimePoint Now);
  /// Share of the slots in use. Waiting calls count as slots in use, up to the
  /// slots of their gate.
  double share(const std::string &Service, const std::string &InDataCentre,
               TimePoint Now) const;
  /// Probability with which remote gates are candidates for a call.
  double probability(const std::string &Service, TimePoint Now) const;
  /// The remote gates that are candidates for one call: those of one data
  /// centre, or none. Refused means that a local gate has refused the call for
  /// lack of capacity.
  std::vector<const Instance *> select(const std::string &Service,
                                       RemoteGates Remote, bool Refused,
                                       std::mt19937_64 &Random, TimePoint Now);
  /// Whether a refusal of this age still counts, see RefusalPeriod.
  bool isRecentRefusal(Clock::duration Age) const {
    return Age <= this->Opts.RefusalPeriod;
  }

  void countSent(Reason Why) { ++this->Sent[Why]; }
  uint64_t sentCount(Reason Why) const;
  /// Names of the services for which a probability is kept.
  std::vector<std::string> services() const;
  size_t placeCount() const { return this->Places.size(); }

private:
  struct Place {
    std::string Service;
    std::string DataCentre;
    // Slots in use and slots of the gates that have reported, each report with
    // its weight as of UpdatedAt.
    double Used = 0;
    double Slots = 0;
    TimePoint UpdatedAt;
  };

  struct Ramp {
    double Probability = 0;
    TimePoint UpdatedAt;
  };

  double decay(Clock::duration Age) const;
  double shareAt(const Place &At, TimePoint Now) const;
  double targetProbability(const std::string &Service, TimePoint Now) const;
  double advance(const std::string &Service, TimePoint Now);
  const Place *find(const std::string &Service,
                    const std::string &InDataCentre) const;

  Options Opts;
  std::string DataCentre;
  ChangeHook OnChange = [](const Change &, TimePoint) {};
  PlaceId LastId = 0;
  std::map<std::pair<std::string, std::string>, PlaceId> Ids;
  std::map<PlaceId, Place> Places;
  // Probability for each service with a place.
  std::map<std::string, Ramp> Ramps;
  std::map<Reason, uint64_t> Sent;
};

const char *reasonName(SpilloverController::Reason Why);

} // namespace hickorylift

#endif
