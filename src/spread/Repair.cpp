#include "spread/Frames.h"
#include "spread/Spreader.h"

// The pull half of Spreader: it handles stamps that neighbours report, and
// pulls the documents that this node lacks. Each topic has at most one pull at
// a time; if it stays unanswered or its link is lost, another neighbour that
// has the document is asked. A document arrives in parts, in order over one
// link, and is used only once it is complete and has the stated hash.

namespace hickorylift {

void Spreader::onNeighbourStamp(LinkId From, const std::string &Name,
                                const Stamp &Reported, TimePoint Now) {
  TopicOnLink &OnLink = this->Links[From].Topics[Name];
  OnLink.NeighbourStamp = std::max(OnLink.NeighbourStamp, Reported);
  TopicState &State = this->Topics[Name];
  Stamp Ours = stampOrNull(State.Stored);
  if (!this->Opts.Guards.RepairByStamps)
    return;
  if (Reported > Ours) {
    Millis Delay = this->pullDelay(this->Links[From], Name, State);
    this->schedulePull(From, Name, Now + Delay);
    if (Delay == Millis(0))
      this->advancePull(Name, State, Now);
    return;
  }
  // The neighbour has an older document: it was disconnected, or a push was
  // lost. It receives this node's stamp in a heartbeat at the latest;
  // announcing it now saves that wait.
  if (Reported < Ours && State.Stored) {
    wire::AnnounceT Announce;
    Announce.topic = Name;
    Announce.held = makeWireStamp(Ours);
    this->Hook.Send(From, makeFrame(std::move(Announce)));
    ++this->Counts.Announces;
  }
}

// How long a pull waits for the document to arrive without it, or for another
// neighbour to announce it. Without a version, or on a link that has just come
// up, there is nothing to wait for: neighbours push a document only when they
// store it, and one that they stored before this node was linked is never
// pushed. One that is stored after that is pushed as well, and may arrive twice
// because of the pull.
Millis Spreader::pullDelay(const Link &From, const std::string &Name,
                           const TopicState &State) const {
  const std::string &Prefix = this->Opts.DeferredTopicPrefix;
  bool Deferred = From.IsSeed && !Prefix.empty() &&
                  Name.rfind(Prefix, 0) == 0 && Name != this->Opts.FirstTopic;
  if (Deferred)
    return this->Opts.SeedPullDelay;
  bool MayBePushed = State.Stored && From.ReceivedSeq > 1;
  return MayBePushed ? this->Opts.GraftDelay : Millis(0);
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
  // This node stores a document that it did not accept, and has accepted no
  // older one: ask for an older one as well. Otherwise a node that starts after
  // a bad version was published would serve nothing forever.
  if (State.Stored && !State.Accepted && this->Opts.Guards.AskOlder)
    Pull.below = makeWireStamp(State.Stored->stamp());
  this->Hook.Send(To, makeFrame(std::move(Pull)));
  ++this->Counts.Pulls;
}

// Returns a random link to a neighbour with a newer document. Excluded is
// returned only if there is no other.
std::optional<LinkId> Spreader::chooseLinkWithNewer(const TopicState &State,
                                                    const std::string &Name,
                                                    LinkId Excluded) {
  std::vector<LinkId> Candidates;
  for (auto &[Id, LinkState] : this->Links)
    if (Id != Excluded &&
        LinkState.Topics[Name].NeighbourStamp > stampOrNull(State.Stored))
      Candidates.push_back(Id);
  if (!Candidates.empty())
    return Candidates[this->Random() % Candidates.size()];
  if (this->Links.count(Excluded))
    return Excluded;
  return std::nullopt;
}

void Spreader::advancePull(const std::string &Name, TopicState &State,
                           TimePoint Now) {
  if (!State.NextPullAt) {
    if (!State.Stored || State.Accepted || this->Links.empty())
      return;
    // No version was accepted yet: ask a random neighbour for an older one.
    auto Chosen = this->Links.begin();
    std::advance(Chosen, this->Random() % this->Links.size());
    this->sendPull(Chosen->first, Name, State);
    State.NextPullAt = Now + this->Opts.PullTimeout;
    State.PullSent = true;
    State.PullFrom = Chosen->first;
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
  // The pull was not answered or its link was closed: ask another neighbour
  // that has the document.
  if (State.PullSent)
    this->Hook.PullUnanswered(Name, State.PullFrom, Now);
  auto Next = this->chooseLinkWithNewer(State, Name, State.PullFrom);
  State.NextPullAt.reset();
  if (Next)
    this->schedulePull(*Next, Name, Now);
}

void Spreader::onPull(LinkId From, const wire::PullT &Pull, TimePoint Now) {
  TopicState &State = this->Topics[Pull.topic];
  TopicOnLink &OnLink = this->Links[From].Topics[Pull.topic];
  OnLink.Lazy = false;
  Stamp Have = fromWire(Pull.have.get());
  Stamp Below = fromWire(Pull.below.get());
  if (State.Stored && State.Stored->stamp() > Have) {
    this->sendDocument(From, Pull.topic, State.Stored, Have, /*Asked=*/true,
                       Now);
    OnLink.NeighbourStamp = State.Stored->stamp();
    return;
  }
  if (!Below.isNull() && State.Accepted && State.Accepted->stamp() < Below)
    this->sendDocument(From, Pull.topic, State.Accepted, Stamp(),
                       /*Asked=*/true, Now);
}

void Spreader::onPart(LinkId From, Link &LinkState, const wire::PartT &Part,
                      TimePoint Now) {
  TopicState &State = this->Topics[Part.topic];
  TopicOnLink &OnLink = LinkState.Topics[Part.topic];
  Stamp Target = fromWire(Part.target.get());
  OnLink.NeighbourStamp = std::max(OnLink.NeighbourStamp, Target);
  bool WantsOlder = State.Stored && !State.Accepted;
  if (this->isOutdated(Target, State.Stored) && !WantsOlder) {
    if (Part.index + 1 != Part.count)
      return;
    // The document has already arrived over another link, so this link becomes
    // lazy: the neighbour need only announce on it.
    ++this->Counts.Duplicates;
    wire::PruneT Prune;
    Prune.topic = Part.topic;
    this->Hook.Send(From, makeFrame(std::move(Prune)));
    return;
  }
  PartialChangeSet &Partial = OnLink.Incoming;
  if (Part.index == 0) {
    Partial = PartialChangeSet();
    Partial.Base = fromWire(Part.base.get());
    Partial.Target = Target;
    Partial.PartCount = Part.count;
    Partial.RawSize = Part.raw_size;
  }
  bool Follows = Partial.Target == Target && Partial.NextPart == Part.index &&
                 Partial.PartCount == Part.count;
  bool Fits =
      Partial.Bytes.size() + Part.bytes.size() <= this->Opts.MaxChangeSetBytes;
  if (!Follows || !Fits) {
    ++this->Counts.Damaged;
    Partial = PartialChangeSet();
    return;
  }
  Partial.Bytes.append(Part.bytes.begin(), Part.bytes.end());
  ++Partial.NextPart;
  // The document is still arriving: put off asking another neighbour for it.
  if (State.NextPullAt && State.PullFrom == From)
    State.NextPullAt = Now + this->Opts.PullTimeout;
  if (Partial.NextPart == Partial.PartCount)
    this->applyChangeSet(From, LinkState, Part.topic,
                         std::exchange(Partial, PartialChangeSet()), Now);
}

void Spreader::applyChangeSet(LinkId From, Link &LinkState,
                              const std::string &Name,
                              const PartialChangeSet &Whole, TimePoint Now) {
  TopicState &State = this->Topics[Name];
  DocumentPtr Base;
  if (!Whole.Base.isNull()) {
    Base = stampOrNull(State.Stored) == Whole.Base
               ? State.Stored
               : this->findDeltaBase(State, Whole.Base);
    if (!Base) {
      // The base of this delta is not stored here. Pull again: the pull states
      // what is stored, and the neighbour answers with a snapshot.
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
    this->storeDocument(Name, *Doc, LinkState.Peer, From, Now);
  else
    this->offerForAcceptance(Name, State, *Doc, LinkState.Peer, Now);
}

} // namespace hickorylift
