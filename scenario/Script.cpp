#include "scenario/Script.h"

#include <charconv>
#include <sstream>

namespace hickorylift::scenario {

namespace {

// A request that has crashed this many upstreams is known to whoever is in
// touch after this long.
constexpr size_t CountedCrashes = 3;
constexpr Millis KnownWithin{3000};

std::optional<Millis> readLength(const std::string &Text) {
  int64_t Count = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Code] = std::from_chars(Text.data(), End, Count);
  if (Code != std::errc())
    return std::nullopt;
  std::string Unit(Stop, End);
  if (Unit == "ms")
    return Millis(Count);
  if (Unit == "s")
    return Millis(Count * 1000);
  if (Unit == "min")
    return Millis(Count * 60000);
  return std::nullopt;
}

// The words of one line: plain ones in order, and name=value pairs.
class Words {
public:
  explicit Words(const Line &Of) {
    for (size_t I = 1; I < Of.Words.size(); ++I) {
      size_t Equals = Of.Words[I].find('=');
      bool IsRecord = Of.Words[I].find(':') < Equals;
      if (Equals == std::string::npos || IsRecord || Equals == 0)
        this->Plain.push_back(Of.Words[I]);
      else
        this->Named[Of.Words[I].substr(0, Equals)] =
            Of.Words[I].substr(Equals + 1);
    }
  }

  std::string at(size_t Index) const {
    return Index < this->Plain.size() ? this->Plain[Index] : "";
  }
  std::string named(const std::string &Name,
                    const std::string &Default = "") const {
    auto Found = this->Named.find(Name);
    return Found == this->Named.end() ? Default : Found->second;
  }
  uint64_t number(const std::string &Name, uint64_t Default) const {
    std::string Text = this->named(Name);
    return Text.empty() ? Default : std::strtoull(Text.c_str(), nullptr, 10);
  }
  std::optional<Millis> length(const std::string &Name) const {
    return readLength(this->named(Name));
  }
  const std::vector<std::string> &plain() const { return this->Plain; }

private:
  std::vector<std::string> Plain;
  std::map<std::string, std::string> Named;
};

class Run {
public:
  Run(World::Options Opts, std::string File)
      : All(std::move(Opts)), File(std::move(File)) {}

  Script::Outcome run(const std::vector<Line> &Lines) {
    for (const Line &One : Lines) {
      this->Number = One.Number;
      this->command(One);
      if (!this->Failures.empty())
        break;
    }
    Script::Outcome Out;
    Out.Broken = this->Failures;
    for (const std::string &Promise : this->All.broken())
      Out.Broken.push_back("promise broken: " + Promise);
    return Out;
  }

  static bool knows(const std::string &Command) {
    return table().count(Command) != 0;
  }

private:
  using Handler = void (Run::*)(const Words &);

  static const std::map<std::string, Handler> &table() {
    static const std::map<std::string, Handler> Table = {
        {"guard", &Run::nothing},
        {"node", &Run::node},
        {"unlisted-dc", &Run::unlistedDc},
        {"lists", &Run::lists},
        {"start", &Run::start},
        {"publish", &Run::publish},
        {"put", &Run::put},
        {"run", &Run::runFor},
        {"kill", &Run::kill},
        {"pause", &Run::pause},
        {"resume", &Run::resume},
        {"stop", &Run::stop},
        {"leaving", &Run::leaving},
        {"gone", &Run::gone},
        {"removed", &Run::removed},
        {"listed", &Run::listed},
        {"cut", &Run::cut},
        {"cut-platform", &Run::cutPlatform},
        {"mend", &Run::mend},
        {"silence", &Run::silence},
        {"stall", &Run::stall},
        {"break", &Run::breakLinks},
        {"loss", &Run::loss},
        {"platform", &Run::platform},
        {"old-build", &Run::oldBuild},
        {"upstream", &Run::upstream},
        {"evacuate", &Run::evacuate},
        {"chill", &Run::chill},
        {"call", &Run::call},
        {"load", &Run::load},
        {"hang-up", &Run::hangUp},
        {"await", &Run::await},
        {"expect", &Run::expect},
        {"random", &Run::randomSteps},
        {"key-window", &Run::keyWindow},
        {"hedging", &Run::hedging},
        {"strict-restarts", &Run::strictRestarts},
    };
    return Table;
  }

  void fail(const std::string &What) {
    this->Failures.push_back(this->File + ":" + std::to_string(this->Number) +
                             ": " + What);
  }

  void command(const Line &Of) { (this->*table().at(Of.Words[0]))(Words(Of)); }

  void nothing(const Words &) {}

  // "all", "dc:north", or names separated by commas.
  std::vector<std::string> names(const std::string &Text) {
    std::vector<std::string> Out;
    std::istringstream In(Text);
    for (std::string One; std::getline(In, One, ',');) {
      bool Known = false;
      for (const auto &[Name, Of] : this->All.nodes())
        if (One == "all" || One == Name || One == "dc:" + Of.DataCentre) {
          Out.push_back(Name);
          Known = true;
        }
      if (!Known)
        this->fail("no node " + One);
    }
    return Out;
  }

  void node(const Words &W) {
    this->All.addNode(W.at(0), W.named("dc", "north"), W.named("service"));
  }

  void unlistedDc(const Words &W) { this->All.addUnlistedDataCentre(W.at(0)); }

  void lists(const Words &) { this->All.publishLists(); }

  void each(const Words &W, void (World::*Do)(const std::string &)) {
    for (const std::string &Name : this->names(W.at(0)))
      (this->All.*Do)(Name);
  }

  void start(const Words &W) { this->each(W, &World::start); }
  void kill(const Words &W) { this->each(W, &World::kill); }
  void pause(const Words &W) { this->each(W, &World::pause); }
  void resume(const Words &W) { this->each(W, &World::resume); }
  void stop(const Words &W) { this->each(W, &World::stop); }
  void cutPlatform(const Words &W) { this->each(W, &World::cutPlatform); }
  void mend(const Words &) { this->All.mend(); }

  void publish(const Words &W) {
    std::vector<std::string> Records;
    for (size_t I = 1; I < W.plain().size(); ++I) {
      std::string Record = W.plain()[I].front() == '{'
                               ? W.plain()[I]
                               : recordFromShort(W.plain()[I]);
      if (Record.empty())
        return this->fail("not a record: " + W.plain()[I]);
      Records.push_back(Record);
    }
    this->All.publish(std::strtoull(W.at(0).c_str(), nullptr, 10), Records);
  }

  void put(const Words &W) { this->All.put(W.at(0), W.at(1)); }

  void runFor(const Words &W) {
    std::optional<Millis> Length = readLength(W.at(0));
    if (!Length)
      return this->fail("not a length: " + W.at(0));
    this->All.run(*Length);
  }

  void mark(const Words &W, bool Listed, bool Leaving, bool Drains) {
    for (const std::string &Name : this->names(W.at(0))) {
      this->All.node(Name).Listed = Listed;
      this->All.node(Name).Leaving = Leaving;
      if (Drains)
        this->All.node(Name).DrainedAt = this->All.now();
      else
        this->All.node(Name).DrainedAt.reset();
    }
    this->All.publishLists();
  }

  void leaving(const Words &W) { this->mark(W, true, true, true); }
  void gone(const Words &W) { this->mark(W, false, false, false); }
  void removed(const Words &W) { this->mark(W, false, false, true); }
  void listed(const Words &W) { this->mark(W, true, false, false); }

  void pairs(const Words &W,
             void (World::*Do)(const std::string &, const std::string &)) {
    for (const std::string &A : this->names(W.at(0)))
      for (const std::string &B : this->names(W.at(1)))
        (this->All.*Do)(A, B);
  }

  void cut(const Words &W) { this->pairs(W, &World::cut); }
  void silence(const Words &W) { this->pairs(W, &World::silence); }
  void stall(const Words &W) { this->pairs(W, &World::stall); }
  void breakLinks(const Words &W) { this->pairs(W, &World::breakLinks); }

  void keyWindow(const Words &W) {
    this->All.setKeyWindow(readLength(W.at(0)).value_or(Millis(0)));
  }

  void hedging(const Words &W) {
    this->All.setHedging(static_cast<double>(W.number("max-percent", 3)));
  }

  void strictRestarts(const Words &) { this->All.setStrictRestarts(); }

  void loss(const Words &W) {
    this->All.setLoss(static_cast<double>(W.number("lost", 0)) / 100,
                      static_cast<double>(W.number("damaged", 0)) / 100);
  }

  void platform(const Words &W) {
    PlatformState &Source = this->All.platform();
    std::string What = W.at(0);
    if (What == "outage")
      Source.Outage = true;
    else if (What == "copy") {
      Source.OldCopy = Source.Values;
      Source.OldRevision = Source.Revision;
    } else if (What == "stale")
      Source.Stale = true;
    else if (What == "restore") {
      // It came back from an old copy for good and goes on from there.
      Source.Values = Source.OldCopy;
      Source.Revision = Source.OldRevision;
    } else if (What == "ok")
      Source.Outage = Source.Stale = false;
    else
      this->fail("platform outage|copy|stale|restore|ok");
  }

  void oldBuild(const Words &W) {
    this->All.node(W.at(0)).OldSchemas["route"] = 1;
  }

  void upstream(const Words &W) {
    for (const std::string &Name : this->names(W.at(0))) {
      UpstreamState &Up = this->All.node(Name).Upstream;
      std::string What = W.at(1);
      if (What == "dead" || What == "alive")
        Up.Alive = What == "alive";
      else if (What == "draining") {
        Up.Draining = true;
        this->All.node(Name).DrainedAt = this->All.now();
      } else if (What == "dies-on-request")
        Up.DiesOnRequest = true;
      else if (What == "crashes" && Up.Alive)
        this->All.crash(Name);
      else if (What == "leaves")
        Up.StatesLeaving = true;
      else if (What == "states-nothing")
        Up.StatedRate.reset();
      if (std::optional<Millis> Length = W.length("run"))
        Up.RunTime = *Length;
      if (uint64_t Rate = W.number("rate", 0)) {
        Up.StatedRate = static_cast<double>(Rate);
        Up.RateStatedAt = this->All.now();
      }
      Up.Sheds = static_cast<uint32_t>(W.number("sheds", Up.Sheds));
      Up.CrashesOn = W.named("crashes-on", Up.CrashesOn);
      Up.BackAfter = W.length("back").value_or(Up.BackAfter);
      Up.Warmup = W.length("warmup").value_or(Up.Warmup);
      Up.ColdMost = static_cast<uint32_t>(W.number("cold-most", Up.ColdMost));
    }
  }

  // evacuate north,south | nothing
  void evacuate(const Words &W) {
    std::set<std::string> DataCentres;
    std::istringstream In(W.at(0));
    for (std::string One; std::getline(In, One, ',');)
      if (One != "nothing")
        DataCentres.insert(One);
    this->All.evacuate(DataCentres);
  }

  void chill(const Words &W) { this->All.chill(W.at(0)); }

  void call(const Words &W) {
    this->All.call(W.at(0), W.named("at"), W.at(1), W.at(2), W.named("key"),
                   W.number("body", 0), W.length("budget"));
  }

  // Sends at a steady rate without waiting for answers.
  void load(const Words &W) {
    std::vector<std::string> Nodes = this->names(W.named("at"));
    uint64_t Rate = W.number("rate", 10);
    Millis Length = W.length("for").value_or(Millis(1000));
    uint64_t Count = Rate * static_cast<uint64_t>(Length.count()) / 1000;
    for (uint64_t I = 0; I < Count; ++I) {
      std::string Label = W.at(0) + "-" + std::to_string(I);
      std::string Node = Nodes[I % Nodes.size()];
      this->All.later(
          Micros(I * 1000000 / Rate),
          [this, Label, Node, Method = W.at(1), Path = W.at(2),
           Body = W.number("body", 0), Budget = W.length("budget")] {
            this->All.call(Label, Node, Method, Path, "", Body, Budget);
          });
    }
  }

  void hangUp(const Words &W) { this->All.hangUp(W.at(0)); }

  bool hasVersion(const std::string &Name, uint64_t Version) {
    NodeState &Of = this->All.node(Name);
    if (!Of.Alive || Of.Paused)
      return true;
    ConfigPtr Held = Of.Core->control().config();
    return (Held ? Held->stamp().Version : 0) == Version;
  }

  bool allHave(const std::string &Who, uint64_t Version) {
    for (const std::string &Name : this->names(Who))
      if (!this->hasVersion(Name, Version))
        return false;
    return true;
  }

  std::string versions() {
    std::string Out;
    for (const auto &[Name, Of] : this->All.nodes()) {
      if (!Of.Alive)
        continue;
      ConfigPtr Held = Of.Core->control().config();
      Out +=
          " " + Name + "=" + std::to_string(Held ? Held->stamp().Version : 0);
    }
    return Out;
  }

  // await version WHO N within=LENGTH
  // await call LABEL END within=LENGTH
  // await ready WHO within=LENGTH
  // await stopped NAME within=LENGTH
  void await(const Words &W) {
    Millis Limit = W.length("within").value_or(Millis(5000));
    std::string What = W.at(0);
    std::string Who = W.at(1);
    uint64_t Version = std::strtoull(W.at(2).c_str(), nullptr, 10);
    std::function<bool()> Holds;
    if (What == "version")
      Holds = [&] { return this->allHave(Who, Version); };
    else if (What == "call")
      Holds = [&] { return endName(this->All.calls()[Who].Now) == W.at(2); };
    else if (What == "ready")
      Holds = [&] { return this->allReady(Who); };
    else if (What == "stopped")
      Holds = [&] { return this->All.node(Who).Stopped; };
    else
      return this->fail("await version|call|ready|stopped");
    if (!this->All.runUntil(Holds, Limit))
      this->fail(
          "not within " + std::to_string(Limit.count()) + " ms: " + What + " " +
          Who + " " + W.at(2) + ";" +
          (What == "call" ? " is " + this->describe(Who) : this->versions()));
  }

  bool allReady(const std::string &Who) {
    for (const std::string &Name : this->names(Who)) {
      NodeState &Of = this->All.node(Name);
      if (Of.Alive && !Of.Core->ready())
        return false;
    }
    return true;
  }

  std::string describe(const std::string &Label) {
    const CallState &Of = this->All.calls()[Label];
    return std::string(endName(Of.Now)) + " " + Of.Why.Reason;
  }

  void expect(const Words &W) {
    std::string What = W.at(0);
    if (What == "version") {
      uint64_t Version = std::strtoull(W.at(2).c_str(), nullptr, 10);
      if (!this->allHave(W.at(1), Version))
        this->fail("expected version " + W.at(2) + ":" + this->versions());
    } else if (What == "call") {
      this->expectCall(W);
    } else if (What == "runs") {
      uint64_t Runs = this->All.runsOf(W.at(1));
      if (Runs != std::strtoull(W.at(2).c_str(), nullptr, 10))
        this->fail("runs of " + W.at(1) + ": " + std::to_string(Runs));
    } else if (What == "sheds") {
      uint64_t Sum = 0;
      for (const auto &[Name, Of] : this->All.nodes())
        Sum += Of.Upstream.Shed;
      if (Sum != std::strtoull(W.at(1).c_str(), nullptr, 10))
        this->fail("sheds: " + std::to_string(Sum));
    } else if (What == "refused") {
      this->expectRefused(W);
    } else if (What == "share") {
      this->expectShare(W);
    } else if (What == "reads") {
      uint64_t Most = W.number("most", 0);
      if (this->All.platform().Reads > Most)
        this->fail("platform reads: " +
                   std::to_string(this->All.platform().Reads));
    } else if (What == "fleet") {
      this->expectFleet(W);
    } else if (What == "crashes") {
      this->expectCrashes(W);
    } else if (What == "hedges") {
      this->expectHedges(W);
    } else {
      this->fail("expect version|call|runs|refused|share|reads|fleet|crashes|"
                 "hedges");
    }
  }

  // expect call LABEL END [reason=R] [within=LENGTH of its start]
  void expectCall(const Words &W) {
    const CallState &Of = this->All.calls()[W.at(1)];
    bool AnyOf = W.at(2) == "ended";
    bool Fits =
        AnyOf ? Of.Now != CallState::End::Pending : endName(Of.Now) == W.at(2);
    if (!Fits ||
        (!W.named("reason").empty() && W.named("reason") != Of.Why.Reason))
      this->fail("call " + W.at(1) + " is " + this->describe(W.at(1)));
    std::optional<Millis> Limit = W.length("within");
    if (Limit && Of.EndedAt - Of.AskedAt > *Limit)
      this->fail("call " + W.at(1) + " took " +
                 std::to_string(toMillis(Of.EndedAt - Of.AskedAt).count()) +
                 " ms");
  }

  // expect refused NAME TEXT: the audit trail names the refused version and
  // the fault.
  void expectRefused(const Words &W) {
    NodeState &Of = this->All.node(W.at(1));
    for (const AuditEvent &One : Of.Core->control().audit().events())
      if (One.What == "version-refused" &&
          One.Outcome.find(W.at(2)) != std::string::npos)
        return;
    this->fail("no refusal with " + W.at(2) + " at " + W.at(1));
  }

  // expect share LOAD END at-least=PERCENT | at-most=PERCENT
  void expectShare(const Words &W) {
    uint64_t All = 0, Fit = 0;
    for (const auto &[Label, Of] : this->All.calls()) {
      if (Label.rfind(W.at(1) + "-", 0) != 0)
        continue;
      ++All;
      Fit += endName(Of.Now) == W.at(2);
    }
    uint64_t Percent = All ? 100 * Fit / All : 0;
    if (Percent < W.number("at-least", 0) || Percent > W.number("at-most", 100))
      this->fail(W.at(1) + " " + W.at(2) + ": " + std::to_string(Fit) + " of " +
                 std::to_string(All));
  }

  // expect crashes at-least=N late-runs=M: so many crashes, and no more runs of
  // the request that brings them than M later than 3 s after the third.
  void expectCrashes(const Words &W) {
    uint64_t Late = this->All.lateCrashRuns(CountedCrashes, KnownWithin);
    if (this->All.crashes() < W.number("at-least", 0) ||
        this->All.crashes() > W.number("at-most", UINT64_MAX) ||
        Late > W.number("late-runs", 0))
      this->fail("crashes: " + std::to_string(this->All.crashes()) +
                 ", late runs: " + std::to_string(Late));
  }

  // expect hedges sent=N won=N: the sums over all running nodes are at least N.
  void expectHedges(const Words &W) {
    uint64_t Sent = 0, Won = 0;
    for (const auto &[Name, Of] : this->All.nodes())
      if (Of.Core) {
        Sent += Of.Core->entry().counters().HedgesSent;
        Won += Of.Core->entry().counters().HedgesWon;
      }
    if (Sent < W.number("sent", 0) || Won < W.number("won", 0))
      this->fail("hedges sent: " + std::to_string(Sent) +
                 ", won: " + std::to_string(Won));
  }

  // expect fleet NAME VERSION holding=N: what the node knows of all.
  void expectFleet(const Words &W) {
    uint64_t Version = std::strtoull(W.at(2).c_str(), nullptr, 10);
    uint64_t Holding = 0;
    NodeState &Of = this->All.node(W.at(1));
    for (const auto &Report : Of.Core->control().fleetReports(this->All.now()))
      for (const auto &Row : Report.counts)
        if (Row->stamp && Row->stamp->version() == Version)
          Holding += Row->nodes;
    if (Holding != W.number("holding", 0))
      this->fail("fleet at " + W.at(1) + " counts " + std::to_string(Holding));
  }

  void randomSteps(const Words &W);
  void randomStep(uint64_t &Version, uint64_t Step);
  void randomFault(std::mt19937_64 &Random);
  void randomCall(std::mt19937_64 &Random, uint64_t Step);
  std::string anyNode();

  World All;
  std::string File;
  unsigned Number = 0;
  std::vector<std::string> Failures;
};

std::string Run::anyNode() {
  auto At = this->All.nodes().begin();
  std::advance(At, this->All.random()() % this->All.nodes().size());
  return At->first;
}

void Run::randomFault(std::mt19937_64 &Random) {
  std::string A = this->anyNode();
  std::string B = this->anyNode();
  switch (Random() % 12) {
  case 0:
  case 1:
    return this->All.kill(A);
  case 2:
  case 3:
  case 4:
    return this->All.start(A);
  case 5:
    return this->All.pause(A);
  case 6:
    return this->All.resume(A);
  case 7:
    return this->All.cut(A, B);
  case 8:
    return this->All.mend();
  case 9:
    return this->All.silence(A, B);
  case 10:
    return this->All.breakLinks(A, B);
  case 11:
    this->All.platform().Outage = !this->All.platform().Outage;
    return;
  }
}

void Run::randomCall(std::mt19937_64 &Random, uint64_t Step) {
  std::string Label = "random-" + std::to_string(Step);
  bool Read = Random() % 2 == 0;
  std::string Key;
  if (!Read && Random() % 2 == 0)
    Key = "key-" + std::to_string(Random() % 20);
  std::string Path = Random() % 2 ? "/a/x" : "/b/x";
  // A key belongs to one request.
  if (!Key.empty())
    Path = "/a/" + Key;
  this->All.call(Label, this->anyNode(), Read ? "GET" : "POST", Path, Key,
                 Read ? 0 : Random() % 3000, std::nullopt);
}

void Run::randomStep(uint64_t &Version, uint64_t Step) {
  std::mt19937_64 &Random = this->All.random();
  uint64_t Kind = Random() % 10;
  if (Kind < 2)
    this->randomFault(Random);
  else if (Kind < 8)
    this->randomCall(Random, Step);
  else if (Kind == 8) {
    std::vector<std::string> Records = {
        recordFromShort("service:a:slots=4:queue=4:key_window_ms=5000"),
        recordFromShort("service:b:slots=" + std::to_string(1 + Step % 5)),
        recordFromShort("route:a:/a:a"), recordFromShort("route:b:/b:b")};
    // One in four is bad: its route points at nothing.
    if (Random() % 4 == 0)
      Records.push_back(recordFromShort("route:c:/c:missing"));
    this->All.publish(++Version, Records);
  } else {
    this->All.setLoss(static_cast<double>(Random() % 20) / 100,
                      static_cast<double>(Random() % 10) / 100);
  }
  // Now and then a calm long enough for the homes of keys to settle.
  bool Calm = Random() % 60 == 0;
  this->All.run(Calm ? Millis(120000) : Millis(Random() % 300));
}

// random steps=N: faults, calls and versions in an order that the seed gives;
// then everything mends, and the fleet must come to one good version by
// itself.
void Run::randomSteps(const Words &W) {
  uint64_t Version = 1000;
  for (uint64_t Step = 0; Step < W.number("steps", 100); ++Step)
    this->randomStep(Version, Step);
  this->All.mend();
  this->All.platform().Outage = false;
  for (auto &[Name, Of] : this->All.nodes()) {
    this->All.resume(Name);
    this->All.start(Name);
  }
  this->All.publish(++Version,
                    {recordFromShort("service:a"), recordFromShort("service:b"),
                     recordFromShort("route:a:/a:a"),
                     recordFromShort("route:b:/b:b")});
  if (!this->All.runUntil([&] { return this->allHave("all", Version); },
                          Millis(60000)))
    this->fail("did not converge:" + this->versions());
}

} // namespace

std::optional<Script> Script::parse(const std::string &Text,
                                    const std::string &File, std::string &Why) {
  Script Out;
  Out.File = File;
  std::istringstream In(Text);
  unsigned Number = 0;
  for (std::string Raw; std::getline(In, Raw);) {
    ++Number;
    std::istringstream Words(Raw.substr(0, Raw.find('#')));
    Line One;
    One.Number = Number;
    for (std::string Word; Words >> Word;)
      One.Words.push_back(Word);
    if (One.Words.empty())
      continue;
    if (!Run::knows(One.Words[0])) {
      Why = File + ":" + std::to_string(Number) + ": unknown command " +
            One.Words[0];
      return std::nullopt;
    }
    if (One.Words[0] == "guard" && One.Words.size() == 2) {
      if (!Safeguards().turnOff(One.Words[1])) {
        Why = File + ":" + std::to_string(Number) + ": no safeguard " +
              One.Words[1];
        return std::nullopt;
      }
      Out.Guards.push_back(One.Words[1]);
    }
    Out.Lines.push_back(One);
  }
  return Out;
}

Script::Outcome Script::run(const std::string &GuardOff, uint64_t Seed) const {
  World::Options Opts;
  Opts.Seed = Seed;
  if (!GuardOff.empty())
    Opts.Guards.turnOff(GuardOff);
  return Run(Opts, this->File).run(this->Lines);
}

} // namespace hickorylift::scenario
