#include "scenario/World.h"

#include "membership/Evacuations.h"

#include <algorithm>

// The upstreams of a World: what they do with the calls that their gates start,
// and what is checked there.

namespace hickorylift::scenario {

namespace {

constexpr Micros UpstreamDelay{200};
// No new work may start later than this after an upstream began to leave.
constexpr Millis LastWorkAfterDrain{2000};
// The same after operators evacuated its data centre.
constexpr Millis LastWorkAfterEvacuation{2000};
constexpr Millis ColdSpan{1000};
// An upstream holds its calls against the rate that it states over this window,
// from so long after it stated it, and tolerates so much there.
constexpr Millis RateWindow{4000};
constexpr Millis RateEffect{3000};
constexpr double RateFactor = 1.5;
constexpr double RateExtra = 5;

} // namespace

Gate::Hooks World::upstreamHooks(const std::string &Name) {
  Gate::Hooks Out;
  Out.Start = [this, Name](const CallId &Id, const RequestHead &Head, bool) {
    this->upstreamStart(Name, Id, Head);
  };
  Out.Body = [this, Name](const CallId &Id, std::string_view Bytes) {
    auto &Jobs = this->Jobs[Name];
    auto Found = Jobs.find(Id);
    if (Found == Jobs.end())
      return;
    Found->second.Body.append(Bytes);
    uint64_t Total = Found->second.Body.size();
    this->at(Name, UpstreamDelay, [this, Id, Total](NodeState &Of) {
      Of.Core->gate().requestConsumed(Id, Total, this->Now);
    });
  };
  Out.BodyEnd = [this, Name](const CallId &Id) {
    this->later(this->node(Name).Upstream.RunTime,
                [this, Name, Id] { this->upstreamFinish(Name, Id); });
  };
  Out.Cancel = [this, Name](const CallId &Id) {
    if (this->Jobs[Name].erase(Id))
      --this->node(Name).Upstream.Running;
  };
  Out.PauseAnswer = [](const CallId &, bool) {};
  Out.Probe = [this, Name] {
    this->at(Name, UpstreamDelay, [this](NodeState &Of) {
      Of.Core->gate().upstreamProbed(Of.Upstream.Alive
                                         ? UpstreamProbeResult::Open
                                         : UpstreamProbeResult::Closed,
                                     this->Now);
    });
  };
  Out.QueryHealth = [this, Name](const std::string &) {
    this->at(Name, UpstreamDelay, [this](NodeState &Of) {
      if (Of.Upstream.Alive)
        Of.Core->health(this->healthOf(Of.Upstream), this->Now);
    });
  };
  return Out;
}

HealthAnswer World::healthOf(const UpstreamState &Of) const {
  HealthAnswer Out;
  Out.Status = 200;
  Out.Body = Of.Draining ? "draining" : "ok";
  Out.ColdTimeLeft =
      toMillis(std::max(Clock::duration::zero(), Of.ColdUntil - this->Now));
  return Out;
}

// Counts a call, and tells whether it is one more than a cold upstream bears.
bool World::overruns(UpstreamState &Of) const {
  if (this->Now >= Of.ColdUntil)
    return false;
  Of.ColdStarts.push_back(this->Now);
  while (this->Now - Of.ColdStarts.front() >= ColdSpan)
    Of.ColdStarts.pop_front();
  return Of.ColdStarts.size() > Of.ColdMost;
}

void World::checkStatements(const std::string &Name, UpstreamState &Of) {
  Of.Starts.push_back(this->Now);
  while (this->Now - Of.Starts.front() >= RateWindow)
    Of.Starts.pop_front();
  if (Of.StatedRate && this->Now - Of.RateStatedAt >= RateEffect) {
    double Tolerated = *Of.StatedRate * RateFactor *
                           std::chrono::duration<double>(RateWindow).count() +
                       RateExtra;
    if (static_cast<double>(Of.Starts.size()) > Tolerated)
      this->note("more calls came to " + Name + " than the rate it states");
  }
  if (Of.StatedLeavingAt &&
      this->Now - *Of.StatedLeavingAt > LastWorkAfterDrain)
    this->note("new work at " + Name + " after it stated that it leaves");
}

HeaderList World::statementOf(UpstreamState &Of) const {
  HeaderList Fields;
  if (Of.StatedRate)
    Fields.push_back(
        {"Hickorylift-Rate-Limit", std::to_string(*Of.StatedRate)});
  if (!Of.StatesLeaving)
    return Fields;
  Fields.push_back({"Hickorylift-Leaving", "1"});
  if (!Of.StatedLeavingAt)
    Of.StatedLeavingAt = this->Now;
  return Fields;
}

void World::chill(const std::string &DataCentre) {
  for (auto &[Name, Of] : this->Nodes)
    if (Of.DataCentre == DataCentre)
      Of.Upstream.ColdUntil = this->Now + Of.Upstream.Warmup;
}

void World::evacuate(const std::set<std::string> &DataCentres) {
  Json::Value Out(Json::objectValue);
  Out["data_centres"] = Json::Value(Json::arrayValue);
  for (const std::string &One : DataCentres)
    Out["data_centres"].append(One);
  this->put(EvacuationTopic, writeJson(Out));
  for (auto &[Name, Of] : this->Nodes) {
    if (!DataCentres.count(Of.DataCentre))
      Of.EvacuatedAt.reset();
    else if (!Of.EvacuatedAt)
      Of.EvacuatedAt = this->Now;
  }
}

void World::upstreamStart(const std::string &Name, const CallId &Id,
                          const RequestHead &Head) {
  NodeState &Of = this->node(Name);
  UpstreamState &Up = Of.Upstream;
  if (!Up.Alive)
    return this->at(Name, UpstreamDelay, [this, Id, Name](NodeState &There) {
      There.Core->gate().upstreamFailed(
          Id, /*Sent=*/false,
          Error{Errc::Unreachable, "upstream-call", Name, "refused"},
          this->Now);
    });
  bool Shed = Up.Running >= Up.Sheds;
  Up.Shed += Shed;
  std::string Label = findHeader(Head.Headers, LabelHeader);
  std::string Key = findHeader(Head.Headers, KeyHeader);
  bool Repeatable = this->Calls[Label].Repeatable;
  bool Crashes = !Up.CrashesOn.empty() && Head.Path == Up.CrashesOn && !Shed;
  this->Jobs[Name][Id] = {Label, "", Key, Shed, Crashes};
  ++Up.Running;
  Up.LastStart = this->Now;
  Of.Core->gate().requestSent(Id, this->Now);
  if (this->overruns(Up)) {
    this->note("more calls came to " + Name + " than it bears while cold");
    return this->crash(Name);
  }
  this->checkStatements(Name, Up);
  if (Of.DrainedAt && this->Now - *Of.DrainedAt > LastWorkAfterDrain)
    this->note("new work at " + Name + " after it began to leave");
  if (Of.EvacuatedAt && this->Now - *Of.EvacuatedAt > LastWorkAfterEvacuation)
    this->note("new work at " + Name + ", whose data centre is evacuated");
  if (!Shed) {
    ++Up.RunsByLabel[Label];
    if (this->runsOf(Label) > 1 && !Repeatable)
      this->note("ran twice: " + Label);
    if (!Key.empty() && !Repeatable)
      this->checkKey(Up, Key);
    if (this->Calls[Label].Now == CallState::End::NotRun)
      this->note("false refusal: " + Label + " ran after it was told not-run");
  }
  if (Crashes) {
    this->CrashRuns.push_back(this->Now);
    // A run that is broken off before ends nothing.
    this->later(Up.CrashAfter, [this, Name, Id] {
      if (this->Jobs[Name].count(Id))
        this->crash(Name);
    });
  } else if (Up.DiesOnRequest)
    this->at(Name, UpstreamDelay, [this, Id, Name](NodeState &There) {
      this->Jobs[Name].erase(Id);
      --There.Upstream.Running;
      There.Core->gate().upstreamFailed(
          Id, /*Sent=*/true,
          Error{Errc::Closed, "upstream-call", Name, "closed"}, this->Now);
    });
  else if (Head.Length == 0)
    this->later(Up.RunTime,
                [this, Name, Id] { this->upstreamFinish(Name, Id); });
}

// The process goes, with its connections and its port, and comes back later.
void World::crash(const std::string &Name) {
  UpstreamState &Up = this->node(Name).Upstream;
  std::map<CallId, Job> Ran = std::exchange(this->Jobs[Name], {});
  this->Crashes.push_back(this->Now);
  Up.Alive = false;
  Up.Running = 0;
  for (const auto &One : Ran)
    this->at(Name, UpstreamDelay, [this, Id = One.first, Name](NodeState &Of) {
      Of.Core->gate().upstreamFailed(
          Id, /*Sent=*/true,
          Error{Errc::Closed, "upstream-call", Name, "closed"}, this->Now);
    });
  this->later(Up.BackAfter, [this, Name] {
    UpstreamState &Back = this->node(Name).Upstream;
    Back.Alive = true;
    Back.StatedRate.reset();
    Back.StatedLeavingAt.reset();
    Back.StatesLeaving = false;
    Back.ColdUntil = this->Now + Back.Warmup;
  });
}

uint64_t World::lateCrashRuns(size_t After, Millis Within) const {
  if (this->Crashes.size() < After)
    return 0;
  TimePoint Bound = this->Crashes[After - 1] + Within;
  return static_cast<uint64_t>(
      std::count_if(this->CrashRuns.begin(), this->CrashRuns.end(),
                    [Bound](TimePoint At) { return At > Bound; }));
}

void World::checkKey(UpstreamState &At, const std::string &Key) {
  for (const auto &[Name, Of] : this->Nodes) {
    auto Last = Of.Upstream.LastRunByKey.find(Key);
    if (Last != Of.Upstream.LastRunByKey.end() &&
        this->Now - Last->second < this->KeyWindow)
      this->note("key ran twice: " + Key);
  }
  At.LastRunByKey[Key] = this->Now;
}

void World::upstreamFinish(const std::string &Name, const CallId &Id) {
  auto Found = this->Jobs[Name].find(Id);
  if (Found == this->Jobs[Name].end() || Found->second.Crashes)
    return;
  Job Done = std::move(Found->second);
  this->Jobs[Name].erase(Found);
  --this->node(Name).Upstream.Running;
  ++this->node(Name).Upstream.Answered;
  HeaderList Stated = this->statementOf(this->node(Name).Upstream);
  this->at(Name, UpstreamDelay, [this, Id, Done, Stated](NodeState &There) {
    ResponseHead Head;
    Head.Headers = Stated;
    Head.Status = Done.Shed ? 503 : 200;
    std::string Body = Done.Shed ? "" : answerFor(Done.Label, Done.Body);
    Head.Length = static_cast<int64_t>(Body.size());
    There.Core->gate().upstreamHead(Id, Head, this->Now);
    There.Core->gate().upstreamData(Id, Body, this->Now);
    There.Core->gate().upstreamEnd(Id, this->Now);
  });
}

} // namespace hickorylift::scenario
