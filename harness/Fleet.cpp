#include "harness/Fleet.h"

#include "base/Json.h"
#include "base/NetAddress.h"
#include "cli/Http.h"
#include "config/RecordFile.h"
#include "harness/PlatformWriter.h"
#include "membership/Membership.h"

#include <glib/gstdio.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <sys/resource.h>
#include <unistd.h>

namespace hickorylift::harness {

namespace {

constexpr unsigned FetchSeconds = 5;
// Below the usual range of outgoing connections, which begins at 32768.
constexpr unsigned FirstPort = 12000;
constexpr unsigned PortCount = 20000;
// Room for the largest fleet that is measured, and for a few programs at once.
constexpr unsigned BlockSize = 2000;

std::string ownFolder() {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

std::string readWhole(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::ostringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

} // namespace

Json::Value parseOrNull(const std::string &Text) {
  FaultList Faults;
  return parseJson(Text, "answer", Faults).value_or(Json::Value());
}

Fleet::Fleet(Options GivenOpts) : Opts(std::move(GivenOpts)) {
  if (this->Opts.Programs.empty())
    this->Opts.Programs = ownFolder();
  gchar *Made = g_dir_make_tmp("hickorylift-XXXXXX", nullptr);
  this->Folder = Made;
  g_free(Made);
  this->Platform = this->freeAddress();
}

Fleet::~Fleet() {
  for (GSubprocess *One : this->Processes)
    g_subprocess_force_exit(One);
  for (GSubprocess *One : this->Processes) {
    g_subprocess_wait(One, nullptr, nullptr);
    g_object_unref(One);
  }
  for (GSocket *One : this->Reserved)
    g_object_unref(One);
  std::error_code Ignored;
  std::filesystem::remove_all(this->Folder, Ignored);
}

namespace {

GSocket *bindPort(guint16 Port) {
  GSocket *Socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                 G_SOCKET_PROTOCOL_TCP, nullptr);
  GSocketAddress *At = g_inet_socket_address_new_from_string("127.0.0.1", Port);
  bool Free = g_socket_bind(Socket, At, FALSE, nullptr);
  g_object_unref(At);
  if (!Free)
    g_clear_object(&Socket);
  return Socket;
}

// The ports of this process: a block whose first one it keeps for as long as it
// lives. Two programs that took theirs from one range would each give out what
// the other's nodes leave free while they are down; calls of the one were then
// answered by upstreams of the other.
guint16 ownBlock() {
  static const guint16 First = [] {
    auto Start = static_cast<unsigned>(getpid());
    for (unsigned I = 0; I < PortCount / BlockSize; ++I) {
      auto At = static_cast<guint16>(
          FirstPort + (Start + I) % (PortCount / BlockSize) * BlockSize);
      if (bindPort(At))
        return At;
    }
    std::cerr << "no free ports from " << FirstPort << " on\n";
    std::exit(2);
  }();
  return First;
}

} // namespace

// Finds a free port. The socket is kept until the fleet is complete, so that no
// port is given out twice.
//
// A port must still be free when its node starts again. The system draws the
// ports of outgoing connections from a range of its own, and there one of them
// takes the port of a node that is down: the node then ends at its start, and
// a run says that it never came back. So ours lie below that range.
std::string Fleet::freeAddress() {
  static unsigned Next = 0;
  for (unsigned Tries = 0; Tries < BlockSize; ++Tries) {
    auto Port = static_cast<guint16>(ownBlock() + 1 + Next++ % (BlockSize - 1));
    GSocket *Socket = bindPort(Port);
    if (!Socket)
      continue;
    this->Reserved.push_back(Socket);
    return "127.0.0.1:" + std::to_string(Port);
  }
  std::cerr << "no free port in the block of " << ownBlock() << "\n";
  std::exit(2);
}

void Fleet::addNode(const std::string &Name, const std::string &DataCentre,
                    const std::string &Service, bool Wired) {
  Node &New = this->Nodes[Name];
  New.Name = Name;
  New.DataCentre = DataCentre;
  New.Service = Service;
  New.Callers = this->freeAddress();
  New.Peers = this->freeAddress();
  New.Operator = this->freeAddress();
  New.Upstream = this->freeAddress();
  if (Wired || this->Opts.WireDelay.count() > 0) {
    New.WireAt = this->freeAddress();
    New.WireAdmin = this->freeAddress();
  }
  if (std::find(this->DataCentres.begin(), this->DataCentres.end(),
                DataCentre) == this->DataCentres.end())
    this->DataCentres.push_back(DataCentre);
}

GSubprocess *Fleet::spawn(const std::string &Program,
                          const std::vector<std::string> &Flags,
                          const std::string &File) {
  return this->spawn(Program, Flags, File, /*Limited=*/false);
}

// Runs in the new process before the program does.
void Fleet::limitProcess(gpointer GivenOpts) {
  const auto &Of = *static_cast<const Options *>(GivenOpts);
  auto Limit = [](auto What, uint64_t Most) {
    rlimit Wanted{Most, Most};
    if (Most > 0 && setrlimit(What, &Wanted) != 0)
      _exit(2);
  };
  Limit(RLIMIT_NOFILE, Of.MaxDescriptors);
  Limit(RLIMIT_DATA, Of.MaxDataBytes);
}

GSubprocess *Fleet::spawn(const std::string &Program,
                          const std::vector<std::string> &Flags,
                          const std::string &File, bool Limited) {
  std::string Path = this->Opts.Programs + "/" + Program;
  std::vector<const char *> Arguments{Path.c_str()};
  for (const std::string &Flag : Flags)
    Arguments.push_back(Flag.c_str());
  Arguments.push_back(nullptr);
  GSubprocessLauncher *Launcher = g_subprocess_launcher_new(
      static_cast<GSubprocessFlags>(G_SUBPROCESS_FLAGS_STDERR_MERGE));
  g_subprocess_launcher_set_stdout_file_path(
      Launcher, (this->Folder + "/" + File).c_str());
  if (Limited)
    g_subprocess_launcher_set_child_setup(Launcher, limitProcess, &this->Opts,
                                          nullptr);
  GError *Why = nullptr;
  GSubprocess *New =
      g_subprocess_launcher_spawnv(Launcher, Arguments.data(), &Why);
  g_object_unref(Launcher);
  if (!New) {
    std::cerr << Path << ": " << Why->message << "\n";
    g_clear_error(&Why);
    // Nothing runs the destructor on this way out.
    for (GSubprocess *One : this->Processes)
      g_subprocess_force_exit(One);
    std::exit(2);
  }
  this->Processes.push_back(New);
  return New;
}

std::string Fleet::capture(const std::string &Program,
                           const std::vector<std::string> &Flags) {
  std::string File = "capture-" + std::to_string(this->Processes.size());
  GSubprocess *One = this->spawn(Program, Flags, File);
  g_subprocess_wait(One, nullptr, nullptr);
  return readWhole(this->Folder + "/" + File);
}

int Fleet::exitOf(const std::string &Program,
                  const std::vector<std::string> &Flags) {
  GSubprocess *One = this->spawn(Program, Flags, "exit.log");
  g_subprocess_wait(One, nullptr, nullptr);
  return g_subprocess_get_if_exited(One) ? g_subprocess_get_exit_status(One)
                                         : -1;
}

std::string Fleet::readFile(const std::string &Name) const {
  return readWhole(this->Folder + "/" + Name);
}

std::string Fleet::writeFile(const std::string &Name, const std::string &Text) {
  std::string Path = this->Folder + "/" + Name;
  std::ofstream(Path, std::ios::binary) << Text;
  return Path;
}

void Fleet::keepLogs(const std::string &To) const {
  std::error_code Why;
  std::filesystem::create_directories(To, Why);
  for (const auto &One : std::filesystem::directory_iterator(this->Folder, Why))
    if (One.path().extension() == ".log")
      std::filesystem::copy_file(
          One.path(), std::filesystem::path(To) / One.path().filename(),
          std::filesystem::copy_options::overwrite_existing, Why);
  if (Why)
    std::cerr << To << ": " << Why.message() << "\n";
}

bool Fleet::listening(const std::string &Address) {
  std::optional<NetAddress> To = parseAddress(Address);
  GSocketAddress *At =
      g_inet_socket_address_new_from_string(To->Ip.c_str(), To->Port);
  GSocket *Socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                 G_SOCKET_PROTOCOL_TCP, nullptr);
  bool Up = g_socket_connect(Socket, At, nullptr, nullptr);
  g_object_unref(Socket);
  g_object_unref(At);
  return Up;
}

bool Fleet::startPlatform() {
  for (GSocket *One : std::exchange(this->Reserved, {}))
    g_object_unref(One);
  this->spawn("standin",
              {"platform", "--listen=" + this->Platform,
               "--rate=" + std::to_string(this->Opts.PlatformRate)},
              "platform.log");
  return this->waitFor([this] { return this->listening(this->Platform); });
}

bool Fleet::startAll() {
  if (!this->startPlatform())
    return false;
  for (auto &[Name, Of] : this->Nodes) {
    std::vector<std::string> Flags{"upstream", "--listen=" + Of.Upstream};
    Flags.insert(Flags.end(), this->Opts.UpstreamFlags.begin(),
                 this->Opts.UpstreamFlags.end());
    if (this->Opts.Upstreams)
      this->spawn("standin", Flags, Name + "-upstream.log");
    if (!Of.WireAt.empty())
      this->spawn(
          "standin",
          {"wire", "--listen=" + Of.WireAt, "--admin=" + Of.WireAdmin,
           "--to=" + Of.Peers,
           "--delay_ms=" + std::to_string(this->Opts.WireDelay.count())},
          Name + "-wire.log");
  }
  bool Up = this->waitFor([this] {
    for (auto &[Name, Of] : this->Nodes)
      if ((this->Opts.Upstreams && !this->listening(Of.Upstream)) ||
          (!Of.WireAt.empty() && !this->listening(Of.WireAdmin)))
        return false;
    return true;
  });
  this->publishLists();
  for (auto &[Name, Of] : this->Nodes)
    this->startNode(Name);
  return Up;
}

std::string Fleet::settingsOf(const Node &Of) const {
  Json::Value Out(Json::objectValue);
  Out["name"] = Of.Name;
  Out["data_centre"] = Of.DataCentre;
  for (const std::string &One : this->DataCentres)
    Out["data_centres"].append(One);
  Out["service"] = Of.Service;
  Out["listen"]["callers"] = Of.Callers;
  Out["listen"]["peers"] = Of.Peers;
  Out["listen"]["operator"] = Of.Operator;
  Out["upstream"]["address"] = Of.Upstream;
  Out["platform"]["address"] = this->Platform;
  Out["log"]["level"] = this->Opts.LogLevel;
  Json::Value More = parseOrNull("{" + this->Opts.Settings + "}");
  if (More.isObject())
    for (const std::string &Section : More.getMemberNames())
      for (const std::string &Key : More[Section].getMemberNames())
        Out[Section][Key] = More[Section][Key];
  return writeJson(Out);
}

void Fleet::startNode(const std::string &Name) {
  Node &Of = this->Nodes.at(Name);
  std::string Path = this->writeFile(Name + ".jsonc", this->settingsOf(Of));
  Of.Process = this->spawn("hickorylift", {"run", "--settings=" + Path},
                           Name + ".log", /*Limited=*/true);
}

void Fleet::publishLists() {
  for (const std::string &Place : this->DataCentres) {
    Json::Value List(Json::arrayValue);
    for (const auto &[Name, Of] : this->Nodes) {
      if (Of.DataCentre != Place || Of.As == ListedAs::Removed)
        continue;
      Json::Value One(Json::objectValue);
      One["name"] = Name;
      One["data_centre"] = Place;
      One["service"] = Of.Service;
      One["node"] = Of.WireAt.empty() ? Of.Peers : Of.WireAt;
      One["operator"] = Of.Operator;
      One["state"] = Of.As == ListedAs::Leaving ? "leaving" : "live";
      List.append(One);
    }
    Json::Value Out(Json::objectValue);
    Out["instances"] = List;
    putValue(this->Platform, listTopic(Place), writeJson(Out));
  }
}

void Fleet::list(const std::string &Name, ListedAs As) {
  this->Nodes.at(Name).As = As;
  this->publishLists();
}

bool Fleet::publish(uint64_t Version, const std::string &Records) {
  FaultList Faults;
  std::optional<EntryMap> Read = readRecordFile(Records, "records", Faults);
  std::cerr << faultTexts(Faults);
  return Read &&
         publishVersion(this->Platform, Version, *Read, this->Published);
}

void Fleet::signal(const std::string &Name, int Signal) {
  g_subprocess_send_signal(this->Nodes.at(Name).Process, Signal);
}

std::optional<int> Fleet::exited(const std::string &Name) {
  GSubprocess *Process = this->Nodes.at(Name).Process;
  g_main_context_iteration(nullptr, FALSE);
  if (g_subprocess_get_identifier(Process))
    return std::nullopt;
  return g_subprocess_get_if_exited(Process)
             ? g_subprocess_get_exit_status(Process)
             : -1;
}

Json::Value Fleet::status(const std::string &Name) {
  Result<Json::Value> Got =
      fetchJson(this->Nodes.at(Name).Operator, "/status", FetchSeconds);
  return Got ? *Got : Json::Value();
}

uint64_t Fleet::version(const std::string &Name) {
  return this->status(Name)["config"]["version"].asUInt64();
}

double Fleet::metric(const std::string &Name, const std::string &Metric) {
  Result<std::string> Text =
      fetch("GET", this->Nodes.at(Name).Operator, "/metrics", FetchSeconds);
  double Sum = 0;
  std::istringstream In(Text ? *Text : "");
  for (std::string Line; std::getline(In, Line);) {
    bool Fits = Line.rfind(Metric, 0) == 0 && Line.size() > Metric.size() &&
                (Line[Metric.size()] == ' ' || Line[Metric.size()] == '{');
    if (Fits)
      Sum += std::strtod(Line.c_str() + Line.rfind(' '), nullptr);
  }
  return Sum;
}

Json::Value Fleet::platformCounters() {
  Result<Json::Value> Got = fetchJson(this->Platform, "/admin", FetchSeconds);
  return Got ? *Got : Json::Value();
}

bool Fleet::put(const std::string &Key, const std::string &Bytes) {
  return putValue(this->Platform, Key, Bytes);
}

Json::Value Fleet::askUpstream(const std::string &Name,
                               const std::string &Path) {
  Result<Json::Value> Got =
      fetchJson(this->Nodes.at(Name).Upstream, Path, FetchSeconds);
  return Got ? *Got : Json::Value();
}

double Fleet::cpuSeconds(const std::string &Name) {
  std::string Stat = readWhole(
      "/proc/" +
      std::string(g_subprocess_get_identifier(this->Nodes.at(Name).Process)) +
      "/stat");
  std::istringstream In(Stat.substr(Stat.rfind(')') + 2));
  std::string Skipped;
  for (int I = 0; I < 11; ++I)
    In >> Skipped;
  double User = 0, System = 0;
  In >> User >> System;
  return (User + System) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double Fleet::residentMegabytes(const std::string &Name) {
  std::istringstream In(readWhole(
      "/proc/" +
      std::string(g_subprocess_get_identifier(this->Nodes.at(Name).Process)) +
      "/statm"));
  double Total = 0, Resident = 0;
  In >> Total >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

uint64_t Fleet::memoryKiB(const std::string &Name, const std::string &Field) {
  const char *Id = g_subprocess_get_identifier(this->Nodes.at(Name).Process);
  std::ifstream In("/proc/" + std::string(Id ? Id : "ended") + "/status");
  for (std::string Line; std::getline(In, Line);)
    if (Line.rfind(Field + ":", 0) == 0)
      return std::stoull(Line.substr(Field.size() + 1));
  return 0;
}

size_t Fleet::countEntries(const std::string &Name, const std::string &Folder) {
  const char *Id = g_subprocess_get_identifier(this->Nodes.at(Name).Process);
  if (!Id)
    return 0;
  std::error_code Why;
  std::filesystem::directory_iterator Entries(
      "/proc/" + std::string(Id) + "/" + Folder, Why);
  return static_cast<size_t>(std::distance(begin(Entries), end(Entries)));
}

size_t Fleet::threads(const std::string &Name) {
  return this->countEntries(Name, "task");
}

size_t Fleet::descriptors(const std::string &Name) {
  return this->countEntries(Name, "fd");
}

void Fleet::runFor(Millis Length) {
  TimePoint End = Clock::now() + Length;
  while (Clock::now() < End) {
    g_main_context_iteration(nullptr, FALSE);
    g_usleep(2000);
  }
}

bool Fleet::waitFor(const std::function<bool()> &Holds) {
  TimePoint End = Clock::now() + this->Opts.Patience;
  while (!Holds()) {
    if (Clock::now() >= End)
      return false;
    this->runFor(Millis(20));
  }
  return true;
}

} // namespace hickorylift::harness
