#ifndef HICKORYLIFT_LINEAGE_RUNREGISTRY_H
#define HICKORYLIFT_LINEAGE_RUNREGISTRY_H

#include "calls/Message.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

// A RunRegistry records which requests run at the upstream beside this node. A
// call that the upstream makes while it runs one of them is a nested call. It
// is recognised by its request id: the id of the run, a separator, and a part
// of its own.
//
//   RunRegistry Registry({.IdSeparator = "."});
//   RunRegistry::Run Started{.Priority = 1, .Repeat = false};
//   Registry.runStarted(Call, "4066304395", Started);
//   Registry.findParent("4066304395.2"); // the run
//   Registry.findParent("1a8c0e6bd8.2"); // nothing: no such run
//   Registry.recordNestedCall("4066304395.2", {{"prices", 1}});
//   Registry.nestedCalls(Call);          // {{"prices", 1}}
//   Registry.runEnded(Call);
//   Registry.findParent("4066304395.2"); // nothing: the run has ended
//
// The id is only a hint, because callers choose their ids. It counts only while
// the run is in progress. Nothing is kept of a run that has ended, and a new
// process knows of no runs.

namespace hickorylift {

class RunRegistry {
public:
  struct Options {
    /// Separates the id of a run from the part that the upstream adds for each
    /// of its calls. Empty if nested calls are not to be recognised.
    std::string IdSeparator;
    /// Maximum number of runs that are recorded, and of bytes in the id of one.
    /// Calls made by runs that are not recorded are ordinary calls. Usually the
    /// number of slots of the upstream limits the runs before MaxRuns does.
    size_t MaxRuns = 10000;
    size_t MaxIdBytes = 256;
  };

  /// The properties of a run that its nested calls inherit.
  struct Run {
    /// The priority that the gate used for the run; 0 is the most urgent.
    uint32_t Priority = 0;
    /// The run, or the run that called it, was sent to another upstream before.
    bool Repeat = false;
  };

  explicit RunRegistry(Options Opts) : Opts(std::move(Opts)) {}

  bool enabled() const { return !this->Opts.IdSeparator.empty(); }
  /// A request has started at the upstream. RequestId is empty if the caller
  /// gave none. A run that was recorded for the same call before is replaced.
  void runStarted(const CallId &Call, const std::string &RequestId,
                  const Run &Started);
  /// The run of the call has ended in any way. Does nothing if no run is
  /// recorded for the call.
  void runEnded(const CallId &Call);
  /// Returns the run that makes the request with this id; nothing if the
  /// request is not a nested call. If several runs have the same id, it is not
  /// known which of them makes the request, and the result has the most urgent
  /// of their priorities and is a repeat if any of them is.
  std::optional<Run> findParent(std::string_view RequestId) const;
  /// Counts the calls that the request with this id causes for the run that
  /// makes it: one to its own service, and those that its own run will make.
  /// If several runs have the same id, for all of them.
  void recordNestedCall(std::string_view RequestId, const ServiceCalls &Caused);
  /// The calls counted so far for the run of the call; empty if no run is
  /// recorded for it.
  ServiceCalls nestedCalls(const CallId &Call) const;
  size_t runCount() const { return this->RunByCall.size(); }

private:
  struct RecordedRun {
    Run Properties;
    ServiceCalls Caused;
  };
  using RunMap = std::multimap<std::string, RecordedRun, std::less<>>;

  std::string_view parentId(std::string_view RequestId) const;

  Options Opts;
  RunMap RunsById;
  std::map<CallId, RunMap::iterator> RunByCall;
};

} // namespace hickorylift

#endif
