#ifndef HICKORYLIFT_HARNESS_FLEET_H
#define HICKORYLIFT_HARNESS_FLEET_H

#include "base/Error.h"
#include "base/Time.h"
#include "reading/PlatformReader.h"

#include <gio/gio.h>
#include <json/value.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

// A Fleet is a platform, upstreams and nodes as real processes on loopback, in
// a folder of its own that goes with it. For the live scenarios and the bench;
// it ends only the processes that it started.
//
//   Fleet All(Fleet::Options());
//   All.addNode("portal-1", "north", "portal");
//   All.startAll();
//   All.publish(1, "[...]");
//   All.waitFor([&] { return All.version("portal-1") == 1; });

namespace hickorylift::harness {

class Fleet {
public:
  struct Options {
    /// Folder with the programs; empty for the one of this program.
    std::string Programs;
    /// Members of the settings of each node, as JSON text without braces.
    std::string Settings;
    /// Flags for each upstream.
    std::vector<std::string> UpstreamFlags;
    /// Calls a second that the platform allows.
    double PlatformRate = 2000;
    /// How long waitFor waits at most.
    Millis Patience{30000};
    /// Delay in each direction between nodes, put in by wires; 0 for none.
    Millis WireDelay{0};
    /// Services whose nodes have no upstream process: they carry no calls.
    bool Upstreams = true;
    std::string LogLevel = "warn";
    /// Descriptors that a node's process may have open; 0 for as many as this
    /// process.
    uint64_t MaxDescriptors = 0;
    /// Bytes of data that a node's process may ask the system for; it ends if
    /// it wants more. 0 for no limit.
    uint64_t MaxDataBytes = 0;
  };

  /// What the list says of an instance.
  enum class ListedAs { Live, Leaving, Removed };

  struct Node {
    std::string Name;
    std::string DataCentre;
    std::string Service;
    std::string Callers;
    std::string Peers;
    std::string Operator;
    std::string Upstream;
    std::string WireAt;
    std::string WireAdmin;
    ListedAs As = ListedAs::Live;
    GSubprocess *Process = nullptr;
  };

  explicit Fleet(Options Opts);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  /// Wired: its peers reach it through a faulty wire.
  void addNode(const std::string &Name, const std::string &DataCentre,
               const std::string &Service, bool Wired = false);
  /// Platform, upstreams and wires, then the lists, then all nodes.
  bool startAll();
  bool startPlatform();
  void startNode(const std::string &Name);
  void publishLists();
  /// Writes the lists with the instance as this.
  void list(const std::string &Name, ListedAs As);
  bool publish(uint64_t Version, const std::string &Records);
  void signal(const std::string &Name, int Signal);
  /// The exit status once the process has ended; nullopt while it runs.
  std::optional<int> exited(const std::string &Name);

  Node &node(const std::string &Name) { return this->Nodes.at(Name); }
  std::map<std::string, Node> &nodes() { return this->Nodes; }
  const std::string &platformAddress() const { return this->Platform; }

  /// Version in force at a node; 0 for none or no answer.
  uint64_t version(const std::string &Name);
  Json::Value status(const std::string &Name);
  /// A number from /metrics, summed over labels.
  double metric(const std::string &Name, const std::string &Metric);
  Json::Value platformCounters();
  Json::Value upstreamCounters(const std::string &Name) {
    return this->askUpstream(Name, "/admin");
  }
  /// The same, once the upstream has done what this path asks for.
  Json::Value askUpstream(const std::string &Name, const std::string &Path);
  /// Writes a value to the platform.
  bool put(const std::string &Key, const std::string &Bytes);
  /// Processor time that a node has used, in seconds, and its resident memory.
  double cpuSeconds(const std::string &Name);
  double residentMegabytes(const std::string &Name);
  size_t threads(const std::string &Name);
  /// Descriptors that a node's process has open.
  size_t descriptors(const std::string &Name);
  /// Resident memory of a node's process in KiB: Field is "VmRSS" for what it
  /// has now, "VmHWM" for the most that it has had.
  uint64_t memoryKiB(const std::string &Name, const std::string &Field);

  /// Runs the loop until Holds; false if Patience runs out.
  bool waitFor(const std::function<bool()> &Holds);
  void runFor(Millis Length);

  /// Starts a program of ours with flags; the output goes to File in the
  /// fleet's folder.
  GSubprocess *spawn(const std::string &Program,
                     const std::vector<std::string> &Flags,
                     const std::string &File);
  /// Runs a program to its end and gives its exit status.
  int exitOf(const std::string &Program, const std::vector<std::string> &Flags);
  /// Runs a program to its end and gives its standard output.
  std::string capture(const std::string &Program,
                      const std::vector<std::string> &Flags);
  std::string logPath(const std::string &Name) const {
    return this->Folder + "/" + Name + ".log";
  }
  std::string readFile(const std::string &Name) const;
  std::string writeFile(const std::string &Name, const std::string &Text);
  /// Copies what all processes wrote to a folder that stays.
  void keepLogs(const std::string &To) const;

private:
  static void limitProcess(gpointer GivenOpts);
  GSubprocess *spawn(const std::string &Program,
                     const std::vector<std::string> &Flags,
                     const std::string &File, bool Limited);
  size_t countEntries(const std::string &Name, const std::string &Folder);
  std::string freeAddress();
  bool listening(const std::string &Address);
  std::string settingsOf(const Node &Of) const;

  Options Opts;
  std::string Folder;
  std::string Platform;
  std::map<std::string, Node> Nodes;
  std::vector<std::string> DataCentres;
  std::vector<GSubprocess *> Processes;
  std::vector<GSocket *> Reserved;
  RecordHashes Published;
};

Json::Value parseOrNull(const std::string &Text);

} // namespace hickorylift::harness

#endif
