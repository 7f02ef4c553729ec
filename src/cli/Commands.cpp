#include "cli/Commands.h"

#include "base/Log.h"
#include "cli/Http.h"
#include "cli/Trace.h"
#include "cli/Views.h"
#include "config/RecordFile.h"
#include "node/Node.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <cstring>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <csignal>
#include <cstdlib>
#include <glib-unix.h>
#include <malloc.h>
#include <sys/signalfd.h>
#include <unistd.h>

ABSL_FLAG(std::string, settings, "", "settings file of a node (run, check)");
ABSL_FLAG(
    std::string, grace, "",
    "time between the signal to stop and the kill, as \"6s\", in place of "
    "stop.grace_ms; empty for the file's value (run, check)");
ABSL_FLAG(std::string, descriptors, "",
          "descriptors that the process may have open, in place of "
          "budget.descriptors; empty for the file's value (run, check)");
ABSL_FLAG(std::string, records, "", "file of configuration records (check)");
ABSL_FLAG(std::string, node, "127.0.0.1:9001",
          "operator address \"ip:port\" of a node (status, watch, explain, "
          "audit, drain, quarantine, release)");
ABSL_FLAG(bool, json, false, "print JSON for scripts");
ABSL_FLAG(uint64_t, version, 0,
          "version to wait for; 0 for the newest known (watch)");
ABSL_FLAG(uint32_t, timeout_s, 30, "how long to wait, in seconds");
ABSL_FLAG(std::string, method, "GET", "method of the request (explain)");
ABSL_FLAG(std::string, path, "/", "path of the request (explain)");
ABSL_FLAG(std::string, host, "", "host of the request (explain)");
ABSL_FLAG(std::string, id, "", "id of the caller's attempt (trace)");
ABSL_FLAG(std::vector<std::string>, logs, {},
          "files with nodes' logs, separated by commas; standard input where "
          "none is named (trace)");
ABSL_FLAG(std::string, key, "", "idempotency key of the request (explain)");
ABSL_FLAG(std::string, fingerprint, "",
          "name of the request, as quarantine prints it (release)");

namespace hickorylift {

namespace {

constexpr int Done = 0;
constexpr int AnswerIsNo = 1;
constexpr int WrongUse = 2;
constexpr int NotReached = 3;

struct Command {
  const char *Name;
  const char *Use;
  const char *Help;
  int (*Run)();
};

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  if (!In)
    return std::nullopt;
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

int printFaults(const FaultList &Faults) {
  std::cerr << faultTexts(Faults);
  return Faults.empty() ? Done : AnswerIsNo;
}

int unreached(const Error &Why) {
  std::cerr << Why.text() << "\n";
  return NotReached;
}

std::optional<Settings> loadSettings(FaultList &Faults) {
  std::string Path = absl::GetFlag(FLAGS_settings);
  std::optional<std::string> Text = readFile(Path);
  if (!Text) {
    Faults.push_back({Path, 0, 0, "", "cannot be read"});
    return std::nullopt;
  }
  ProcessLimits Limits;
  Limits.Grace = absl::GetFlag(FLAGS_grace);
  Limits.Descriptors = absl::GetFlag(FLAGS_descriptors);
  return readSettings(*Text, Path, Faults, Limits);
}

struct Running {
  GMainLoop *Loop;
  Node *Of;
};

// Settings that do not read change nothing.
void reloadSettings(Node &Of) {
  FaultList Faults;
  if (std::optional<Settings> New = loadSettings(Faults))
    return Of.reload(*New);
  LogLine("reload")
      .add("outcome", "refused")
      .add("fault", Faults.front().text())
      .add("faults", Faults.size())
      .warn();
}

// Signals come by a file descriptor: GLib's own handler would start a thread.
gboolean onSignal(gint Fd, GIOCondition, gpointer Data) {
  signalfd_siginfo Info;
  if (read(Fd, &Info, sizeof(Info)) != sizeof(Info))
    return G_SOURCE_CONTINUE;
  Node &Of = *static_cast<Running *>(Data)->Of;
  if (Info.ssi_signo == SIGHUP)
    reloadSettings(Of);
  else
    Of.stop("signal");
  return G_SOURCE_CONTINUE;
}

int openSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  sigaddset(&Set, SIGHUP);
  sigprocmask(SIG_BLOCK, &Set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signalfd(-1, &Set, SFD_NONBLOCK | SFD_CLOEXEC);
}

// Large buffers are mapped by themselves, so that their memory goes back to the
// system when they are freed. By default the library raises this limit with
// each buffer that is freed; the heap then keeps what a crowd of callers has
// used, in pieces that the next one does not fit into.
void limitHeap() {
  constexpr int MappedFromBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, MappedFromBytes);
  mallopt(M_TRIM_THRESHOLD, 2 * MappedFromBytes);
}

int runNode() {
  limitHeap();
  FaultList Faults;
  std::optional<Settings> Read = loadSettings(Faults);
  if (!Read)
    return printFaults(Faults);
  startLog(Read->LogLevel);
  int Signals = openSignals();
  std::random_device Source;
  uint64_t Incarnation = (uint64_t(Source()) << 32) | Source();
  GMainLoop *Loop = g_main_loop_new(nullptr, FALSE);
  Node One(std::move(*Read), Incarnation, [Loop] { g_main_loop_quit(Loop); });
  Result<bool> Up = One.start();
  if (!Up) {
    LogLine("start-failed").add("why", Up.error().text()).error();
    return AnswerIsNo;
  }
  Running State{Loop, &One};
  g_unix_fd_add(Signals, G_IO_IN, onSignal, &State);
  LogLine("started")
      .add("name", One.settings().Name)
      .add("callers", One.settings().Callers.text())
      .add("peers", One.settings().Peers.text())
      .add("operator", One.settings().Operator.text())
      .add("incarnation", Incarnation)
      .info();
  g_main_loop_run(Loop);
  LogLine("ended").add("name", One.settings().Name).info();
  std::cout.flush();
  // Nothing is left to do, and whoever stopped us waits for the end. The
  // library's own end joins its idle threads, which takes as long as the
  // machine is slow.
  std::_Exit(Done);
}

int checkFiles() {
  FaultList Faults;
  std::string Records = absl::GetFlag(FLAGS_records);
  std::string SettingsPath = absl::GetFlag(FLAGS_settings);
  if (Records.empty() && SettingsPath.empty()) {
    std::cerr << "check needs --settings or --records\n";
    return WrongUse;
  }
  if (!SettingsPath.empty())
    loadSettings(Faults);
  if (!Records.empty()) {
    std::optional<std::string> Text = readFile(Records);
    if (!Text)
      Faults.push_back({Records, 0, 0, "", "cannot be read"});
    else
      for (Fault &One : checkRecordFile(*Text, Records, CompileOptions()))
        Faults.push_back(std::move(One));
  }
  if (Faults.empty())
    std::cout << "no faults\n";
  return printFaults(Faults);
}

// Prints what Path answers: as it is for scripts, else through Show.
int show(const std::string &Path, void (*Show)(const Json::Value &)) {
  Result<Json::Value> Got = fetchJson(absl::GetFlag(FLAGS_node), Path,
                                      absl::GetFlag(FLAGS_timeout_s));
  if (!Got)
    return unreached(Got.error());
  if (absl::GetFlag(FLAGS_json))
    std::cout << writeJson(*Got) << "\n";
  else
    Show(*Got);
  return Done;
}

int showStatus() { return show("/status", printStatus); }
int showAudit() { return show("/audit", printAudit); }

int showExplain() {
  auto Escape = [](const std::string &Text) {
    char *Escaped = g_uri_escape_string(Text.c_str(), nullptr, FALSE);
    std::string Out = Escaped;
    g_free(Escaped);
    return Out;
  };
  return show("/explain?method=" + Escape(absl::GetFlag(FLAGS_method)) +
                  "&path=" + Escape(absl::GetFlag(FLAGS_path)) +
                  "&host=" + Escape(absl::GetFlag(FLAGS_host)) +
                  "&key=" + Escape(absl::GetFlag(FLAGS_key)),
              printExplain);
}

int traceCall() {
  std::string Id = absl::GetFlag(FLAGS_id);
  if (Id.empty()) {
    std::cerr << "trace needs --id\n";
    return WrongUse;
  }
  Trace Of(Id);
  std::vector<std::string> Paths = absl::GetFlag(FLAGS_logs);
  if (Paths.empty())
    Of.read("-", std::cin);
  for (const std::string &Path : Paths) {
    std::ifstream In(Path, std::ios::binary);
    if (!In) {
      std::cerr << Path << ": cannot be read\n";
      return WrongUse;
    }
    Of.read(Path, In);
  }
  Of.print(std::cout);
  std::cerr << Of.found() << " events, " << Of.unreadable()
            << " lines passed over\n";
  return Of.found() ? Done : AnswerIsNo;
}

// Has the node do something, and prints what it says.
int post(const std::string &Path) {
  Result<std::string> Said = fetch("POST", absl::GetFlag(FLAGS_node), Path,
                                   absl::GetFlag(FLAGS_timeout_s));
  if (!Said && Said.error().Code == Errc::NotFound) {
    std::cerr << Said.error().Detail;
    return AnswerIsNo;
  }
  if (!Said)
    return unreached(Said.error());
  std::cout << *Said;
  return Done;
}

int drainNode() { return post("/drain"); }

int showQuarantine() { return show("/quarantine", printQuarantine); }

int releaseRequest() {
  std::string Text = absl::GetFlag(FLAGS_fingerprint);
  if (!Fingerprint::parse(Text)) {
    std::cerr << "release needs --fingerprint, sixteen hex digits\n";
    return WrongUse;
  }
  return post("/release?fingerprint=" + Text);
}

int watchFleet() {
  WatchOptions Options;
  Options.Node = absl::GetFlag(FLAGS_node);
  Options.Version = absl::GetFlag(FLAGS_version);
  Options.Limit = std::chrono::seconds(absl::GetFlag(FLAGS_timeout_s));
  Options.Now = [] { return Clock::now(); };
  Options.Json = absl::GetFlag(FLAGS_json);
  Options.Terminal = isatty(STDOUT_FILENO) != 0;
  Result<bool> InForce = watchVersion(Options);
  if (!InForce)
    return unreached(InForce.error());
  return *InForce ? Done : AnswerIsNo;
}

const Command Commands[] = {
    {"run", "hickorylift run --settings=FILE [--grace=TIME] [--descriptors=N]",
     "Runs a node until SIGTERM, which is a graceful stop. Exit 0 after a "
     "planned stop, 1 if the settings have faults or a port is taken.",
     runNode},
    {"check",
     "hickorylift check [--settings=FILE] [--grace=TIME] [--descriptors=N] "
     "[--records=FILE]",
     "Prints every fault with its place. Exit 0 without faults, else 1. "
     "Nothing else is done.",
     checkFiles},
    {"status", "hickorylift status [--node=IP:PORT] [--json]",
     "One node: the version in force, its peers, its upstream, refusals by "
     "cause. Exit 3 if it does not answer.",
     showStatus},
    {"watch",
     "hickorylift watch [--node=IP:PORT] [--version=N] [--timeout_s=S] "
     "[--json]",
     "Follows a version until it is in force on every listed node. Exit 0 "
     "then, 1 when a node refused it or the time ran out, 3 if the node does "
     "not answer.",
     watchFleet},
    {"explain",
     "hickorylift explain [--node=IP:PORT] [--method=M] [--host=H] [--path=P] "
     "[--key=K] [--json]",
     "Where this node would send a request now and why, and where its "
     "configuration came from. Nothing is sent.",
     showExplain},
    {"trace", "hickorylift trace --id=ID [--logs=FILE,FILE]",
     "The story of one call from the logs of the nodes, in order, with what "
     "decided each step. Lines that are no events are counted and passed over. "
     "Exit 0 if anything was found, else 1.",
     traceCall},
    {"audit", "hickorylift audit [--node=IP:PORT] [--json]",
     "The changes that one node remembers, oldest first.", showAudit},
    {"drain", "hickorylift drain [--node=IP:PORT]",
     "Closes the gate before this node's upstream to new work.", drainNode},
    {"quarantine", "hickorylift quarantine [--node=IP:PORT] [--json]",
     "Requests that crashed upstreams: held ones first, with when each is "
     "tried "
     "again, then those of which one more crash holds them, then suspects.",
     showQuarantine},
    {"release", "hickorylift release --fingerprint=HEX [--node=IP:PORT]",
     "Takes a request out of quarantine, on all nodes. Exit 0 then, 1 if "
     "nothing is known against it, 3 if the node does not answer.",
     releaseRequest},
};

void printUse(std::ostream &To) {
  To << "hickorylift distributes configuration to the nodes of a service mesh "
        "and carries their calls.\n\n";
  for (const Command &One : Commands)
    To << "  " << One.Use << "\n";
  To << "\nhickorylift COMMAND --help says more.\n";
}

bool asksHelp(int Argc, char **Argv) {
  for (int I = 1; I < Argc; ++I)
    if (std::strcmp(Argv[I], "--help") == 0)
      return true;
  return false;
}

const Command *findCommand(const char *Name) {
  for (const Command &One : Commands)
    if (std::strcmp(One.Name, Name) == 0)
      return &One;
  return nullptr;
}

} // namespace

int runCommand(int Argc, char **Argv) {
  const Command *Chosen = Argc > 1 ? findCommand(Argv[1]) : nullptr;
  if (asksHelp(Argc, Argv)) {
    if (Chosen)
      std::cout << Chosen->Use << "\n\n" << Chosen->Help << "\n";
    else
      printUse(std::cout);
    return Done;
  }
  if (!Chosen) {
    printUse(std::cerr);
    return WrongUse;
  }
  absl::SetProgramUsageMessage(Chosen->Use);
  std::vector<char *> Rest = absl::ParseCommandLine(Argc - 1, Argv + 1);
  if (Rest.size() > 1) {
    std::cerr << "unexpected argument: " << Rest[1] << "\n";
    return WrongUse;
  }
  return Chosen->Run();
}

} // namespace hickorylift
