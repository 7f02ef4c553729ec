#include "spread/Frames.h"
#include "spread/Spreader.h"

// The lazy half of a Spreader: what a neighbour tells of a newer document, and
// asking for it. One pull for each topic is under way at a time; where it stays
// unanswered, or its link is lost, another that has the document is asked. A
// document comes in parts, in order over one link, and counts only once it is
// whole and has the hash that was stated.

namespace hickorylift {

void Spreader::notice(LinkId From, const std::string &Name, const Stamp &Theirs,
                      TimePoint Now) {
  TopicOnLink &There = this->Links[From].Topics[Name];
  There.Theirs = std::max(There.Theirs, Theirs);
  Topic &State = this->Topics[Name];
  Stamp Ours = stampOf(State.Held);
  if (!this->Opts.Guards.RepairByStamps)
    return;
  if (Theirs > Ours) {
    // Nobody pushes to a node what it never had: there is nothing to wait for.
    Millis Delay = State.Held ? this->Opts.GraftDelay : Millis(0);
    this->startPull(From, Name, Now + Delay);
    if (!State.Held)
      this->drivePull(Name, State, Now);
    return;
  }
  // The neighbour is behind: it was away, or a push was lost. It will hear our
  // stamp in a heartbeat at the latest; telling it now saves that wait.
  if (Theirs < Ours && State.Held) {
    wire::AnnounceT Announce;
    Announce.topic = Name;
    Announce.held = wireStamp(Ours);
    this->Hook.Send(From, frameOf(std::move(Announce)));
    ++this->Counts.Announces;
  }
}

void Spreader::startPull(LinkId From, const std::string &Name, TimePoint At) {
  Topic &State = this->Topics[Name];
  bool Sooner = State.PullAt && !State.PullSent && At < *State.PullAt;
  if (State.PullAt && !Sooner)
    return;
  State.PullAt = At;
  State.PullFrom = From;
  State.PullSent = false;
}

void Spreader::sendPull(LinkId To, const std::string &Name,
                        const Topic &State) {
  wire::PullT Pull;
  Pull.topic = Name;
  Pull.have = wireStamp(stampOf(State.Held));
  // Held but not accepted, and nothing older in force: a node that starts
  // after a bad version was published would serve nothing for ever.
  if (State.Held && !State.Accepted && this->Opts.Guards.AskOlder)
    Pull.below = wireStamp(State.Held->stamp());
  this->Hook.Send(To, frameOf(std::move(Pull)));
  ++this->Counts.Pulls;
}

std::optional<LinkId> Spreader::linkHolding(const Topic &State,
                                            const std::string &Name,
                                            LinkId NotThis) {
  std::vector<LinkId> Fit;
  for (auto &[Id, On] : this->Links)
    if (Id != NotThis && On.Topics[Name].Theirs > stampOf(State.Held))
      Fit.push_back(Id);
  if (!Fit.empty())
    return Fit[this->Random() % Fit.size()];
  if (this->Links.count(NotThis))
    return NotThis;
  return std::nullopt;
}

void Spreader::drivePull(const std::string &Name, Topic &State, TimePoint Now) {
  if (!State.PullAt) {
    if (!State.Held || State.Accepted || this->Links.empty())
      return;
    auto Any = this->Links.begin();
    std::advance(Any, this->Random() % this->Links.size());
    this->sendPull(Any->first, Name, State);
    State.PullAt = Now + this->Opts.PullTimeout;
    State.PullSent = true;
    State.PullFrom = Any->first;
    return;
  }
  if (Now < *State.PullAt)
    return;
  if (!State.PullSent && this->Links.count(State.PullFrom)) {
    this->sendPull(State.PullFrom, Name, State);
    State.PullSent = true;
    State.PullAt = Now + this->Opts.PullTimeout;
    return;
  }
  // Unanswered or its link is gone: ask another that has it.
  auto Next = this->linkHolding(State, Name, State.PullFrom);
  State.PullAt.reset();
  if (Next)
    this->startPull(*Next, Name, Now);
}

void Spreader::onPull(LinkId From, const wire::PullT &Pull, TimePoint Now) {
  Topic &State = this->Topics[Pull.topic];
  TopicOnLink &There = this->Links[From].Topics[Pull.topic];
  There.Lazy = false;
  Stamp Have = fromWire(Pull.have.get());
  Stamp Below = fromWire(Pull.below.get());
  if (State.Held && State.Held->stamp() > Have) {
    this->sendDocument(From, Pull.topic, State.Held, Have, /*Asked=*/true, Now);
    There.Theirs = State.Held->stamp();
    return;
  }
  if (!Below.isNull() && State.Accepted && State.Accepted->stamp() < Below)
    this->sendDocument(From, Pull.topic, State.Accepted, Stamp(),
                       /*Asked=*/true, Now);
}

void Spreader::onPart(LinkId From, Link &On, const wire::PartT &Part,
                      TimePoint Now) {
  Topic &State = this->Topics[Part.topic];
  TopicOnLink &There = On.Topics[Part.topic];
  Stamp Target = fromWire(Part.target.get());
  There.Theirs = std::max(There.Theirs, Target);
  bool Wanted = State.Held && !State.Accepted;
  if (this->isOld(Target, State.Held) && !Wanted) {
    if (Part.index + 1 != Part.count)
      return;
    // It came another way first: this link need only announce.
    ++this->Counts.Duplicates;
    wire::PruneT Prune;
    Prune.topic = Part.topic;
    this->Hook.Send(From, frameOf(std::move(Prune)));
    return;
  }
  Assembly &Gathered = There.Incoming;
  if (Part.index == 0) {
    Gathered = Assembly();
    Gathered.Base = fromWire(Part.base.get());
    Gathered.Target = Target;
    Gathered.Count = Part.count;
    Gathered.RawSize = Part.raw_size;
  }
  bool Follows = Gathered.Target == Target && Gathered.Next == Part.index &&
                 Gathered.Count == Part.count;
  bool Fits =
      Gathered.Bytes.size() + Part.bytes.size() <= this->Opts.MaxChangeSetBytes;
  if (!Follows || !Fits) {
    ++this->Counts.Damaged;
    Gathered = Assembly();
    return;
  }
  Gathered.Bytes.append(Part.bytes.begin(), Part.bytes.end());
  ++Gathered.Next;
  // Still arriving: do not ask another for the same.
  if (State.PullAt && State.PullFrom == From)
    State.PullAt = Now + this->Opts.PullTimeout;
  if (Gathered.Next == Gathered.Count)
    this->finishAssembly(From, On, Part.topic,
                         std::exchange(Gathered, Assembly()), Now);
}

void Spreader::finishAssembly(LinkId From, Link &On, const std::string &Name,
                              const Assembly &Whole, TimePoint Now) {
  Topic &State = this->Topics[Name];
  DocumentPtr Base;
  if (!Whole.Base.isNull()) {
    Base = stampOf(State.Held) == Whole.Base
               ? State.Held
               : this->findBase(State, Whole.Base);
    if (!Base) {
      // A delta to something that we never had: ask again, stating what we
      // have, and get a snapshot.
      ++this->Counts.Damaged;
      State.PullAt.reset();
      this->startPull(From, Name, Now);
      return;
    }
  }
  Result<ChangeSet> Changes =
      unpackChanges(Whole.Bytes, Whole.RawSize, this->Opts.MaxChangeSetBytes);
  Result<DocumentPtr> Doc =
      Changes ? applyDelta(Base, Whole.Target, *Changes, this->Opts.Guards)
              : Result<DocumentPtr>(Changes.error());
  if (!Doc) {
    ++this->Counts.Damaged;
    State.PullAt.reset();
    this->startPull(From, Name, Now + this->Opts.PullTimeout);
    return;
  }
  if (!this->isOld((*Doc)->stamp(), State.Held))
    this->take(Name, *Doc, On.Peer, From, Now);
  else
    this->judge(Name, State, *Doc, On.Peer, Now);
}

} // namespace hickorylift
