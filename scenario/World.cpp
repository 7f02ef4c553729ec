#include "scenario/World.h"

#include "base/Hash.h"
#include "config/RecordFile.h"
#include "reading/PlatformReader.h"

#include <algorithm>
#include <sstream>

// One queue of events in the order of their time; a step takes the first. All
// chance comes from one seeded generator, so a run is the same each time.

namespace hickorylift::scenario {

namespace {

constexpr Millis CallTick{20};
constexpr Millis ControlTick{100};
constexpr Millis HealthInterval{1000};
constexpr Millis DialTimeout{2000};
// The fake platform, as one node sees it.
class NodePlatform final : public Platform {
public:
  NodePlatform(World &Of, std::string Node, uint64_t Incarnation)
      : Of(Of), Node(std::move(Node)), Incarnation(Incarnation) {}

  void get(const std::string &Key, TimePoint, ValueCallback Done) override {
    PlatformState &Source = this->Of.platform();
    ++Source.Reads;
    if (this->unreachable())
      return this->later([Done](TimePoint Now) {
        Done(Error{Errc::Unreachable, "platform-get", "platform", "cut"}, Now);
      });
    const auto &Values = Source.Stale ? Source.OldCopy : Source.Values;
    auto Found = Values.find(Key);
    if (Found == Values.end())
      return this->later([Done](TimePoint Now) {
        Done(Error{Errc::NotFound, "platform-get", "platform", "no such key"},
             Now);
      });
    PlatformValue Value{Found->second.Revision, Found->second.Bytes};
    this->later([Done, Value](TimePoint Now) { Done(Value, Now); });
  }

  void watch(const std::vector<std::string> &Keys, uint64_t After, Millis Wait,
             TimePoint, ChangesCallback Done) override {
    PlatformState &Source = this->Of.platform();
    ++Source.Reads;
    if (this->unreachable())
      return this->later([Done](TimePoint Now) {
        Done(Error{Errc::Unreachable, "platform-watch", "platform", "cut"},
             Now);
      });
    auto Told = std::make_shared<bool>(false);
    auto Look = [&Of = this->Of, Node = this->Node,
                 Incarnation = this->Incarnation, &Source, Keys, After, Done,
                 Told](bool Always) {
      if (*Told)
        return true;
      PlatformChanges Out;
      Out.Revision = Source.Stale ? Source.OldRevision : Source.Revision;
      const auto &Values = Source.Stale ? Source.OldCopy : Source.Values;
      for (const std::string &Key : Keys) {
        auto Found = Values.find(Key);
        if (Found != Values.end() && Found->second.Revision > After)
          Out.Changed.push_back({Key, Found->second.Revision});
      }
      if (Out.Changed.empty() && !Always)
        return false;
      *Told = true;
      // The process that asked may be gone, and another in its place.
      if (Of.node(Node).Incarnation != Incarnation)
        return true;
      bool Gone = Source.Outage || Of.isCutFromPlatform(Node);
      Of.at(Node, Of.delay(), [Done, Out, Gone, &Of](NodeState &) {
        if (Gone)
          Done(Error{Errc::Unreachable, "platform-watch", "platform", "cut"},
               Of.now());
        else
          Done(Out, Of.now());
      });
      return true;
    };
    if (Look(false))
      return;
    Source.Watches.push_back(Look);
    this->Of.later(Wait, [Look] { Look(true); });
  }

private:
  bool unreachable() const {
    return this->Of.platform().Outage || this->Of.isCutFromPlatform(this->Node);
  }

  void later(const std::function<void(TimePoint)> &Work) {
    this->Of.at(this->Node, this->Of.delay(),
                [Work, &W = this->Of](NodeState &) { Work(W.now()); });
  }

  World &Of;
  std::string Node;
  uint64_t Incarnation;
};

} // namespace

std::string answerFor(const std::string &Label, const std::string &Body) {
  return "answer to " + Label + " " + hexHash(contentHash(Body));
}

const char *endName(CallState::End Of) {
  switch (Of) {
  case CallState::End::Pending:
    return "pending";
  case CallState::End::Answered:
    return "answered";
  case CallState::End::NotRun:
    return "not-run";
  case CallState::End::Unknown:
    return "unknown";
  case CallState::End::Broken:
    return "broken";
  }
  return "";
}

World::World(Options GivenOpts)
    : Opts(std::move(GivenOpts)), Now(TimePoint(std::chrono::hours(1))),
      Random(this->Opts.Seed) {}

World::~World() = default;

NodeState &World::node(const std::string &Name) { return this->Nodes.at(Name); }

void World::note(const std::string &Promise) {
  if (std::find(this->Broken.begin(), this->Broken.end(), Promise) ==
      this->Broken.end())
    this->Broken.push_back(Promise);
}

void World::later(Clock::duration Delay, std::function<void()> Work) {
  this->Events.emplace(this->Now + Delay, std::move(Work));
}

Clock::duration World::delay() {
  return this->Opts.LinkDelay + Micros(this->Random() % 1000);
}

void World::at(const std::string &Name, Clock::duration Delay,
               std::function<void(NodeState &)> Work) {
  uint64_t Incarnation = this->node(Name).Incarnation;
  this->later(Delay, [this, Name, Incarnation, Work = std::move(Work)] {
    NodeState &Of = this->node(Name);
    auto Guarded = [this, Name, Incarnation, Work] {
      NodeState &There = this->node(Name);
      if (!There.Alive || There.Incarnation != Incarnation)
        return;
      There.Core->observe(this->Now);
      Work(There);
      this->checkConfig(There);
    };
    if (Of.Paused && Of.Alive && Of.Incarnation == Incarnation)
      Of.Waiting.push_back(Guarded);
    else
      Guarded();
  });
}

void World::addNode(const std::string &Name, const std::string &DataCentre,
                    const std::string &Service) {
  NodeState &New = this->Nodes[Name];
  New.Name = Name;
  New.DataCentre = DataCentre;
  New.Service = Service;
  if (std::find(this->DataCentres.begin(), this->DataCentres.end(),
                DataCentre) == this->DataCentres.end())
    this->DataCentres.push_back(DataCentre);
}

void World::put(const std::string &Key, const std::string &Bytes) {
  this->Source.Values[Key] = {++this->Source.Revision, Bytes};
  this->Source.Watches.remove_if(
      [](const std::function<bool(bool)> &Look) { return Look(false); });
}

void World::publishLists() {
  for (const std::string &Place : this->DataCentres) {
    if (this->Unlisted.count(Place))
      continue;
    Json::Value List(Json::arrayValue);
    for (const auto &[Name, Of] : this->Nodes) {
      if (Of.DataCentre != Place || !Of.Listed)
        continue;
      Json::Value One(Json::objectValue);
      One["name"] = Name;
      One["data_centre"] = Place;
      One["service"] = Of.Service;
      One["node"] = "127.0.0.1:7000";
      One["operator"] = "127.0.0.1:9000";
      One["state"] = Of.Leaving ? "leaving" : "live";
      List.append(One);
    }
    Json::Value Out(Json::objectValue);
    Out["instances"] = List;
    std::string Bytes = writeJson(Out);
    std::string Key = listTopic(Place);
    if (this->Source.Values[Key].Bytes != Bytes)
      this->put(Key, Bytes);
  }
}

void World::publish(uint64_t Version, const std::vector<std::string> &Records) {
  RecordHashes Contents;
  for (const std::string &Text : Records) {
    FaultList Faults;
    std::optional<EntryMap> One =
        readRecordFile("[" + Text + "]", "script", Faults);
    if (!One) {
      this->note("script: bad record " + Text);
      return;
    }
    const auto &[Name, Held] = *One->begin();
    Contents[Name] = contentHash(*Held.Bytes);
    this->put("config/records/" + hexHash(Contents[Name]), *Held.Bytes);
  }
  Manifest Out = makeManifest(Version, this->Published, Contents);
  this->Published = Contents;
  this->put("config/contents/" + hexHash(Out.ContentsHash),
            writeContents(Contents));
  this->put("config/manifest", writeManifest(Out));
}

void World::start(const std::string &Name) {
  NodeState &Of = this->node(Name);
  if (Of.Alive)
    return;
  Of.Alive = true;
  Of.Paused = false;
  Of.Stopped = false;
  Of.DrainedAt.reset();
  Of.Incarnation = ++this->LastIncarnation;
  Of.Floor = Stamp();
  this->boot(Of);
  this->startTicks(Of);
}

void World::boot(NodeState &Of) {
  NodeCore::Options Node = this->Opts.Node;
  Node.Guards = this->Opts.Guards;
  Node.setIdentity(Of.Name, Of.DataCentre, this->DataCentres, Of.Service,
                   Of.Incarnation + this->Opts.Seed * 1000);
  for (const auto &[Kind, Schema] : Of.OldSchemas)
    Node.Control.Compile.NewestSchema[Kind] = Schema;
  Of.Source = std::make_unique<NodePlatform>(*this, Of.Name, Of.Incarnation);
  Of.Core =
      std::make_unique<NodeCore>(Node, *Of.Source, this->nodeHooks(Of.Name));
}

void World::startTicks(NodeState &Of) {
  std::string Name = Of.Name;
  uint64_t Incarnation = Of.Incarnation;
  this->callTick(Name, Incarnation);
  this->controlTick(Name, Incarnation);
  auto Health = std::make_shared<std::function<void()>>();
  *Health = [this, Name, Incarnation, Health] {
    NodeState &There = this->node(Name);
    if (!There.Alive || There.Incarnation != Incarnation)
      return;
    if (!There.Paused) {
      There.Core->observe(this->Now);
      if (!There.Upstream.Alive)
        There.Core->health(
            Error{Errc::Unreachable, "upstream-health", Name, ""}, this->Now);
      else
        There.Core->health(this->healthOf(There.Upstream), this->Now);
    }
    this->later(HealthInterval, *Health);
  };
  this->later(Millis(1), *Health);
}

void World::callTick(const std::string &Name, uint64_t Incarnation) {
  NodeState &Of = this->node(Name);
  if (!Of.Alive || Of.Incarnation != Incarnation)
    return;
  if (!Of.Paused) {
    Of.Core->callTick(this->Now);
    this->checkConfig(Of);
  }
  this->later(CallTick,
              [this, Name, Incarnation] { this->callTick(Name, Incarnation); });
}

void World::controlTick(const std::string &Name, uint64_t Incarnation) {
  NodeState &Of = this->node(Name);
  if (!Of.Alive || Of.Incarnation != Incarnation)
    return;
  if (!Of.Paused)
    Of.Core->controlTick(this->Now);
  this->later(ControlTick, [this, Name, Incarnation] {
    this->controlTick(Name, Incarnation);
  });
}

NodeCore::Hooks World::nodeHooks(const std::string &Name) {
  NodeCore::Hooks Out;
  Out.Dial = [this, Name](char Purpose, const std::string &Peer,
                          const std::string &) {
    this->dial(Name, Purpose, Peer);
  };
  Out.Send = [this, Name](LinkId Link, std::string Bytes) {
    this->send(Link, Name, std::move(Bytes));
  };
  Out.Close = [this, Name](LinkId Link) { this->closeLink(Link, Name); };
  Out.Post = [this, Name](const std::function<void(TimePoint)> &Work) {
    this->at(Name, Clock::duration::zero(),
             [this, Work](NodeState &) { Work(this->Now); });
  };
  Out.Callers = this->callerHooks();
  Out.Upstream = this->upstreamHooks(Name);
  Out.Stopped = [this, Name] {
    this->later(Clock::duration::zero(), [this, Name] {
      this->node(Name).Stopped = true;
      this->kill(Name);
    });
  };
  return Out;
}

void World::kill(const std::string &Name) {
  NodeState &Of = this->node(Name);
  if (!Of.Alive)
    return;
  Of.Alive = false;
  Of.Paused = false;
  Of.Waiting.clear();
  for (auto &[Id, One] : this->Links)
    if (One.Ends[0] == Name || One.Ends[1] == Name)
      this->closeLink(Id, Name);
  // Its callers' connections break.
  for (auto &[Caller, Label] : this->Callers) {
    CallState &One = this->Calls[Label];
    if (One.Node == Name && One.Now == CallState::End::Pending)
      this->endCall(Caller, CallState::End::Broken);
  }
  // The upstream finishes what it runs, for nobody.
  this->Jobs[Name].clear();
  Of.Upstream.Running = 0;
  // The core may be on the stack: destroy it in a step of its own.
  std::shared_ptr<NodeCore> Old(std::move(Of.Core));
  this->later(Clock::duration::zero(), [Old] {});
}

void World::pause(const std::string &Name) { this->node(Name).Paused = true; }

void World::resume(const std::string &Name) {
  NodeState &Of = this->node(Name);
  if (!Of.Paused)
    return;
  Of.Paused = false;
  auto Waiting = std::exchange(Of.Waiting, {});
  for (const auto &Work : Waiting)
    Work();
}

void World::stop(const std::string &Name) {
  NodeState &Of = this->node(Name);
  if (!Of.Alive)
    return;
  Of.DrainedAt = this->Now;
  Of.Core->stop("signal", this->Now);
}

bool World::isCut(const std::string &A, const std::string &B) const {
  return this->Cuts.count({std::min(A, B), std::max(A, B)}) != 0;
}

void World::cut(const std::string &A, const std::string &B) {
  if (A != B)
    this->Cuts.insert({std::min(A, B), std::max(A, B)});
}

void World::cutPlatform(const std::string &Name) {
  this->PlatformCuts.insert(Name);
}

void World::mend() {
  this->Cuts.clear();
  this->PlatformCuts.clear();
  this->setLoss(0, 0);
  for (auto &[Id, One] : this->Links) {
    One.Holding = false;
    for (int End = 0; End < 2; ++End) {
      for (std::string &Bytes : std::exchange(One.Stalled[End], {}))
        this->transmit(Id, End, std::move(Bytes));
      if (!One.Open[End])
        this->transmitClose(Id, End);
    }
  }
}

void World::silence(const std::string &A, const std::string &B) {
  for (auto &[Id, One] : this->Links)
    if ((One.Ends[0] == A && One.Ends[1] == B) ||
        (One.Ends[0] == B && One.Ends[1] == A))
      One.Silent = true;
}

void World::stall(const std::string &A, const std::string &B) {
  for (auto &[Id, One] : this->Links)
    if ((One.Ends[0] == A && One.Ends[1] == B) ||
        (One.Ends[0] == B && One.Ends[1] == A))
      One.Holding = true;
}

void World::breakLinks(const std::string &A, const std::string &B) {
  for (auto &[Id, One] : this->Links) {
    bool Between = (One.Ends[0] == A && One.Ends[1] == B) ||
                   (One.Ends[0] == B && One.Ends[1] == A);
    if (!Between || !One.Open[0] || !One.Open[1])
      continue;
    this->transmitClose(Id, 0);
    this->transmitClose(Id, 1);
  }
}

void World::setLoss(double NewLost, double NewDamaged) {
  this->Lost = NewLost;
  this->Damaged = NewDamaged;
}

void World::dial(const std::string &From, char Purpose,
                 const std::string &Peer) {
  auto Failed = [this, From, Purpose, Peer](Clock::duration After) {
    this->at(From, After, [this, Purpose, Peer](NodeState &Of) {
      Of.Core->dialFailed(Purpose, Peer, this->Now);
    });
  };
  auto To = this->Nodes.find(Peer);
  if (To == this->Nodes.end() || !To->second.Alive)
    return Failed(this->delay());
  if (this->isCut(From, Peer))
    return Failed(DialTimeout);
  LinkId Id = ++this->LastLink;
  Link &New = this->Links[Id];
  New.Ends[0] = From;
  New.Ends[1] = Peer;
  New.Purpose = Purpose;
  auto Open = [this, Id, Purpose](const std::string &Who,
                                  const std::string &Dialled) {
    this->at(Who, this->delay(), [this, Id, Purpose, Dialled](NodeState &Of) {
      if (this->Links[Id].Open[Dialled.empty() ? 1 : 0])
        Of.Core->opened(Id, Purpose, Dialled, this->Now);
    });
  };
  Open(Peer, "");
  Open(From, Peer);
  // Frames follow the opening in both directions.
  for (TimePoint &Last : New.LastArrival)
    Last = this->Now + this->Opts.LinkDelay + Millis(1);
}

void World::send(LinkId Id, const std::string &From, std::string Bytes) {
  auto Found = this->Links.find(Id);
  if (Found == this->Links.end())
    return;
  Link &On = Found->second;
  int End = On.Ends[0] == From ? 0 : 1;
  if (!On.Open[End])
    return;
  if (On.Purpose == ControlPurpose)
    this->node(From).ControlBytes += Bytes.size() + 4;
  if (On.Silent)
    return;
  if (On.Holding || this->isCut(On.Ends[0], On.Ends[1])) {
    On.Stalled[End].push_back(std::move(Bytes));
    return;
  }
  this->transmit(Id, End, std::move(Bytes));
}

void World::transmit(LinkId Id, int FromEnd, std::string Bytes) {
  Link &On = this->Links[Id];
  std::uniform_real_distribution<> Chance(0, 1);
  bool Document = On.Purpose == ControlPurpose && Bytes.size() > 100;
  if (Document && this->Lost > 0 && Chance(this->Random) < this->Lost)
    return;
  if (Document && this->Damaged > 0 && Chance(this->Random) < this->Damaged)
    Bytes[this->Random() % Bytes.size()] ^= 0x55;
  TimePoint Due = std::max(this->Now + this->delay(), On.LastArrival[FromEnd]);
  On.LastArrival[FromEnd] = Due;
  std::string To = On.Ends[1 - FromEnd];
  this->at(To, Due - this->Now,
           [this, Id, Bytes = std::move(Bytes)](NodeState &Of) {
             Link &There = this->Links[Id];
             if (There.Open[There.Ends[0] == Of.Name ? 0 : 1])
               Of.Core->frame(Id, There.Purpose, Bytes, this->Now);
           });
}

// The other end hears of a close after all that was sent before it.
void World::transmitClose(LinkId Id, int FromEnd) {
  Link &On = this->Links[Id];
  TimePoint Due = std::max(this->Now + this->delay(), On.LastArrival[FromEnd]);
  int ToEnd = 1 - FromEnd;
  this->at(On.Ends[ToEnd], Due - this->Now, [this, Id, ToEnd](NodeState &Of) {
    Link &There = this->Links[Id];
    if (std::exchange(There.Open[ToEnd], false))
      Of.Core->closed(Id, There.Purpose, this->Now);
  });
}

void World::closeLink(LinkId Id, const std::string &From) {
  auto Found = this->Links.find(Id);
  if (Found == this->Links.end())
    return;
  Link &On = Found->second;
  int End = On.Ends[0] == From ? 0 : 1;
  if (!std::exchange(On.Open[End], false))
    return;
  bool Held = On.Silent || On.Holding || this->isCut(On.Ends[0], On.Ends[1]);
  if (!Held)
    this->transmitClose(Id, End);
}

void World::checkConfig(NodeState &Of) {
  if (!Of.Alive || !Of.Core)
    return;
  ConfigPtr Held = Of.Core->control().config();
  if (!Held)
    return;
  if (Held->stamp() < Of.Floor)
    this->note("version lowered at " + Of.Name + " from " +
               std::to_string(Of.Floor.Version) + " to " +
               std::to_string(Held->stamp().Version));
  if (this->StrictRestarts && Held->stamp() < Of.EverHeld)
    this->note("version lowered by a restart of " + Of.Name);
  Of.EverHeld = std::max(Of.EverHeld, Held->stamp());
  if (Held->stamp() == Of.Floor)
    return;
  Of.Floor = Held->stamp();
  for (const auto &[Name, One] : Held->routes())
    for (const SplitPart &Part : One->Parts)
      if (!Part.Target || !Held->findService(Part.Target->Name))
        this->note("dangling route " + Name + " at " + Of.Name);
  // In force whole: what the platform published under this stamp.
  DocumentPtr Doc = Of.Core->control().spreader().acceptedDocument(ConfigTopic);
  if (!Doc)
    return;
  CompileResult Whole = compileConfig(*Doc, [&] {
    CompileOptions Strict;
    for (const auto &[Kind, Schema] : Of.OldSchemas)
      Strict.NewestSchema[Kind] = Schema;
    return Strict;
  }());
  uint64_t Sum = 0;
  for (const auto &[Name, Entry] : Doc->entries())
    Sum += Entry.Hash;
  if (!Whole.Compiled)
    this->note("a version with faults is in force at " + Of.Name);
  if (Sum != Doc->stamp().Hash)
    this->note("a version is in force in part at " + Of.Name);
}

Entry::Hooks World::callerHooks() {
  Entry::Hooks Out;
  auto Find = [this](Entry::CallerId Caller) -> CallState * {
    auto Found = this->Callers.find(Caller);
    return Found == this->Callers.end() ? nullptr : &this->Calls[Found->second];
  };
  Out.Head = [Find](Entry::CallerId Caller, const ResponseHead &Head) {
    if (CallState *Of = Find(Caller))
      Of->Status = Head.Status;
  };
  Out.Body = [this, Find](Entry::CallerId Caller, std::string_view Bytes) {
    CallState *Of = Find(Caller);
    if (!Of)
      return;
    Of->Body.append(Bytes);
    uint64_t Total = Of->Body.size();
    this->at(Of->Node, this->delay(), [this, Caller, Total](NodeState &There) {
      There.Core->entry().callerConsumed(Caller, Total, this->Now);
    });
  };
  Out.BodyEnd = [this](Entry::CallerId Caller) {
    this->endCall(Caller, CallState::End::Answered);
  };
  Out.Abort = [this](Entry::CallerId Caller, const Refusal &) {
    this->endCall(Caller, CallState::End::Broken);
  };
  Out.Refuse = [this, Find](Entry::CallerId Caller, const Refusal &Why) {
    if (CallState *Of = Find(Caller))
      Of->Why = Why;
    this->endCall(Caller, Why.CallOutcome == Outcome::NotRun
                              ? CallState::End::NotRun
                              : CallState::End::Unknown);
  };
  Out.PauseRequest = [](Entry::CallerId, bool) {};
  return Out;
}

unsigned World::runsOf(const std::string &Label) const {
  unsigned Sum = 0;
  for (const auto &[Name, Of] : this->Nodes) {
    auto Found = Of.Upstream.RunsByLabel.find(Label);
    if (Found != Of.Upstream.RunsByLabel.end())
      Sum += Found->second;
  }
  return Sum;
}

void World::endCall(uint64_t Caller, CallState::End How) {
  auto Found = this->Callers.find(Caller);
  if (Found == this->Callers.end())
    return;
  CallState &Of = this->Calls[Found->second];
  if (Of.Now != CallState::End::Pending)
    return;
  Of.Now = How;
  Of.EndedAt = this->Now;
  if (How == CallState::End::NotRun && this->runsOf(Of.Label) != 0)
    this->note("false refusal: " + Of.Label + " was told not-run (" +
               Of.Why.Reason + ") and ran");
  bool Whole = Of.Status != 200 || Of.Body == Of.Expected ||
               (!Of.Key.empty() && Of.Body.rfind("answer to ", 0) == 0);
  if (How == CallState::End::Answered && !Whole)
    this->note("answer not whole or not its own: " + Of.Label);
}

void World::call(const std::string &Label, const std::string &Node,
                 const std::string &Method, const std::string &Path,
                 const std::string &Key, size_t BodyBytes,
                 std::optional<Millis> Budget) {
  CallState &New = this->Calls[Label];
  New = CallState();
  New.Label = Label;
  New.Node = Node;
  New.Key = Key;
  New.Repeatable = Method == "GET";
  New.AskedAt = this->Now;
  std::string Body;
  for (size_t I = 0; I < BodyBytes; ++I)
    Body += static_cast<char>('a' + (I * 31 + Label.size()) % 26);
  New.Expected = answerFor(Label, Body);
  uint64_t Caller = ++this->LastCaller;
  this->Callers[Caller] = Label;
  if (!this->node(Node).Alive)
    return this->endCall(Caller, CallState::End::Broken);
  RequestHead Head;
  Head.Method = Method;
  Head.Path = Path;
  Head.Length = static_cast<int64_t>(BodyBytes);
  Head.Headers.push_back({LabelHeader, Label});
  if (!Key.empty())
    Head.Headers.push_back({KeyHeader, Key});
  if (Budget)
    Head.Headers.push_back(
        {"Hickorylift-Budget-Ms", std::to_string(Budget->count())});
  this->at(Node, this->delay(), [this, Caller, Head, Body](NodeState &Of) {
    Of.Core->entry().request(Caller, Head, this->Now);
    if (Body.empty())
      return;
    Of.Core->entry().body(Caller, Body, this->Now);
    Of.Core->entry().bodyEnd(Caller, this->Now);
  });
}

void World::hangUp(const std::string &Label) {
  for (auto &[Caller, Name] : this->Callers) {
    if (Name != Label)
      continue;
    this->endCall(Caller, CallState::End::Broken);
    this->at(this->Calls[Label].Node, this->delay(),
             [this, Caller = Caller](NodeState &Of) {
               Of.Core->entry().callerGone(Caller, this->Now);
             });
  }
}

void World::step() {
  auto First = this->Events.begin();
  this->Now = std::max(this->Now, First->first);
  auto Work = std::move(First->second);
  this->Events.erase(First);
  Work();
}

void World::run(Millis Length) {
  TimePoint End = this->Now + Length;
  while (!this->Events.empty() && this->Events.begin()->first <= End)
    this->step();
  this->Now = End;
}

bool World::runUntil(const std::function<bool()> &Holds, Millis Limit) {
  TimePoint End = this->Now + Limit;
  while (!Holds()) {
    if (this->Events.empty() || this->Events.begin()->first > End)
      return false;
    this->step();
  }
  return true;
}

std::string recordFromShort(const std::string &Short) {
  std::vector<std::string> Fields;
  std::istringstream In(Short);
  for (std::string Field; std::getline(In, Field, ':');)
    Fields.push_back(Field);
  if (Fields.size() < 2)
    return "";
  Json::Value Out(Json::objectValue);
  Out["kind"] = Fields[0];
  Out["name"] = Fields[1];
  Out["schema"] = 1;
  size_t Next = 2;
  if (Fields[0] == "route") {
    if (Fields.size() < 4)
      return "";
    Out["match"]["prefix"] = Fields[2];
    Out["service"] = Fields[3];
    Next = 4;
  }
  for (; Next < Fields.size(); ++Next) {
    size_t Equals = Fields[Next].find('=');
    if (Equals == std::string::npos)
      return "";
    std::string Name = Fields[Next].substr(0, Equals);
    std::string Value = Fields[Next].substr(Equals + 1);
    bool Number = !Value.empty() &&
                  Value.find_first_not_of("0123456789") == std::string::npos;
    if (Name == "methods") {
      std::istringstream List(Value);
      for (std::string One; std::getline(List, One, '+');)
        Out["idempotent_methods"].append(One);
    } else if (Number) {
      Out[Name] = Json::Int64(std::stoll(Value));
    } else {
      Out[Name] = Value;
    }
  }
  return writeJson(Out);
}

} // namespace hickorylift::scenario
