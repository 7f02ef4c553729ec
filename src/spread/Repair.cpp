#include "spread/Frames.h"
#include "spread/Spreader.h"

// The lazy half of a Spreader: what a neighbour tells of a newer document, and
// asking for it. One pull for each topic is under way at a time; where it stays
// unanswered, or its link is lost, another that has the document is asked. A
// document comes in parts, in order over one link, and counts only once it is
// whole and has the hash that was stated.

namespace hickorylift {

void Spreader::onNeighbourStamp(LinkId From, const std::string &Name,
                                const Stamp &Theirs, TimePoint Now) {
  TopicOnLink &There = this->Links[From].Topics[Name];
  There.NeighbourStamp = std::max(There.NeighbourStamp, Theirs);
  TopicState &State = this->Topics[Name];
  Stamp Ours = stampOrNull(State.Stored);
  if (!this->Opts.Guards.RepairByStamps)
    return;
  if (Theirs > Ours) {
    // Nobody pushes to a node what it never had: there is nothing to wait for.
    Millis Delay = State.Stored ? this->Opts.GraftDelay : Millis(0);
    this->schedulePull(From, Name, Now + Delay);
    if (!State.Stored)
      this->advancePull(Name, State, Now);
    return;
  }
  // The neighbour is behind: it was away, or a push was lost. It will hear our
  // stamp in a heartbeat at the latest; telling it now saves that wait.
  if (Theirs < Ours && State.Stored) {
    wire::AnnounceT Announce;
    Announce.topic = Name;
    Announce.held = makeWireStamp(Ours);
    this->Hook.Send(From, makeFrame(std::move(Announce)));
    ++this->Counts.Announces;
  }
}

void Spreader::schedulePull(LinkId From, const std::string &Name,
                            TimePoint At) {
  TopicState &State = this->Topics[Name];
  bool Sooner = State.NextPullAt && !State.PullSent && At < *State.NextPullAt;
  if (State.NextPullAt && !Sooner)
    return;
  State.NextPullAt = At;
  State.PullFrom = From;
  State.PullSent = false;
}

void Spreader::sendPull(LinkId To, const std::string &Name,
                        const TopicState &State) {
  wire::PullT Pull;
  Pull.topic = Name;
  Pull.have = makeWireStamp(stampOrNull(State.Stored));
  // Held but not accepted, and nothing older in force: a node that starts
  // after a bad version was published would serve nothing for ever.
  if (State.Stored && !State.Accepted && this->Opts.Guards.AskOlder)
    Pull.below = makeWireStamp(State.Stored->stamp());
  this->Hook.Send(To, makeFrame(std::move(Pull)));
  ++this->Counts.Pulls;
}

std::optional<LinkId> Spreader::chooseLinkWithNewer(const TopicState &State,
                                                    const std::string &Name,
                                                    LinkId NotThis) {
  std::vector<LinkId> Fit;
  for (auto &[Id, On] : this->Links)
    if (Id != NotThis &&
        On.Topics[Name].NeighbourStamp > stampOrNull(State.Stored))
      Fit.push_back(Id);
  if (!Fit.empty())
    return Fit[this->Random() % Fit.size()];
  if (this->Links.count(NotThis))
    return NotThis;
  return std::nullopt;
}

void Spreader::advancePull(const std::string &Name, TopicState &State,
                           TimePoint Now) {
  if (!State.NextPullAt) {
    if (!State.Stored || State.Accepted || this->Links.empty())
      return;
    auto Any = this->Links.begin();
    std::advance(Any, this->Random() % this->Links.size());
    this->sendPull(Any->first, Name, State);
    State.NextPullAt = Now + this->Opts.PullTimeout;
    State.PullSent = true;
    State.PullFrom = Any->first;
    return;
  }
  if (Now < *State.NextPullAt)
    return;
  if (!State.PullSent && this->Links.count(State.PullFrom)) {
    this->sendPull(State.PullFrom, Name, State);
    State.PullSent = true;
    State.NextPullAt = Now + this->Opts.PullTimeout;
    return;
  }
  // Unanswered or its link is gone: ask another that has it.
  auto Next = this->chooseLinkWithNewer(State, Name, State.PullFrom);
  State.NextPullAt.reset();
  if (Next)
    this->schedulePull(*Next, Name, Now);
}

void Spreader::onPull(LinkId From, const wire::PullT &Pull, TimePoint Now) {
  TopicState &State = this->Topics[Pull.topic];
  TopicOnLink &There = this->Links[From].Topics[Pull.topic];
  There.Lazy = false;
  Stamp Have = fromWire(Pull.have.get());
  Stamp Below = fromWire(Pull.below.get());
  if (State.Stored && State.Stored->stamp() > Have) {
    this->sendDocument(From, Pull.topic, State.Stored, Have, /*Asked=*/true,
                       Now);
    There.NeighbourStamp = State.Stored->stamp();
    return;
  }
  if (!Below.isNull() && State.Accepted && State.Accepted->stamp() < Below)
    this->sendDocument(From, Pull.topic, State.Accepted, Stamp(),
                       /*Asked=*/true, Now);
}

void Spreader::onPart(LinkId From, Link &On, const wire::PartT &Part,
                      TimePoint Now) {
  TopicState &State = this->Topics[Part.topic];
  TopicOnLink &There = On.Topics[Part.topic];
  Stamp Target = fromWire(Part.target.get());
  There.NeighbourStamp = std::max(There.NeighbourStamp, Target);
  bool Wanted = State.Stored && !State.Accepted;
  if (this->isOutdated(Target, State.Stored) && !Wanted) {
    if (Part.index + 1 != Part.count)
      return;
    // It came another way first: this link need only announce.
    ++this->Counts.Duplicates;
    wire::PruneT Prune;
    Prune.topic = Part.topic;
    this->Hook.Send(From, makeFrame(std::move(Prune)));
    return;
  }
  PartialChangeSet &Gathered = There.Incoming;
  if (Part.index == 0) {
    Gathered = PartialChangeSet();
    Gathered.Base = fromWire(Part.base.get());
    Gathered.Target = Target;
    Gathered.PartCount = Part.count;
    Gathered.RawSize = Part.raw_size;
  }
  bool Follows = Gathered.Target == Target && Gathered.NextPart == Part.index &&
                 Gathered.PartCount == Part.count;
  bool Fits =
      Gathered.Bytes.size() + Part.bytes.size() <= this->Opts.MaxChangeSetBytes;
  if (!Follows || !Fits) {
    ++this->Counts.Damaged;
    Gathered = PartialChangeSet();
    return;
  }
  Gathered.Bytes.append(Part.bytes.begin(), Part.bytes.end());
  ++Gathered.NextPart;
  // Still arriving: do not ask another for the same.
  if (State.NextPullAt && State.PullFrom == From)
    State.NextPullAt = Now + this->Opts.PullTimeout;
  if (Gathered.NextPart == Gathered.PartCount)
    this->applyChangeSet(From, On, Part.topic,
                         std::exchange(Gathered, PartialChangeSet()), Now);
}

void Spreader::applyChangeSet(LinkId From, Link &On, const std::string &Name,
                              const PartialChangeSet &Whole, TimePoint Now) {
  TopicState &State = this->Topics[Name];
  DocumentPtr Base;
  if (!Whole.Base.isNull()) {
    Base = stampOrNull(State.Stored) == Whole.Base
               ? State.Stored
               : this->findDeltaBase(State, Whole.Base);
    if (!Base) {
      // A delta to something that we never had: ask again, stating what we
      // have, and get a snapshot.
      ++this->Counts.Damaged;
      State.NextPullAt.reset();
      this->schedulePull(From, Name, Now);
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
    State.NextPullAt.reset();
    this->schedulePull(From, Name, Now + this->Opts.PullTimeout);
    return;
  }
  if (!this->isOutdated((*Doc)->stamp(), State.Stored))
    this->storeDocument(Name, *Doc, On.Peer, From, Now);
  else
    this->offerForAcceptance(Name, State, *Doc, On.Peer, Now);
}

} // namespace hickorylift
