#include "spread/Spreader.h"
#include "spread/Frames.h"

#include "base/Hash.h"

#include <algorithm>

// Eager push with lazy repair, after Plumtree (Leitao, Pereira, Rodrigues:
// "Epidemic Broadcast Trees", 2007). A new document is sent at once, as a
// delta, over the eager links, and only its stamp over the lazy ones. A node
// that receives a stamp newer than its own waits briefly for the push and then
// pulls the document from the neighbour that announced it; that link becomes
// eager. If a document arrives twice, the later link becomes lazy. Heartbeats
// repeat the stamps whenever they have changed, so a lost document is repaired
// within one heartbeat interval.
//
// A document is never replaced by an older one: only storeDocument() assigns
// Stored and only offerForAcceptance() assigns Accepted, and both compare
// stamps first. This covers a platform that serves an outdated copy, a delayed
// frame, and a neighbour that reconnects with an old document.
//
// A document is never stored in part: its parts are collected separately, must
// arrive in order over one link, and become a document only if the result has
// the stated hash (applyDelta).

namespace hickorylift {

namespace {

// Send times kept per link, for heartbeats whose echo has not arrived yet.
constexpr size_t MaxHeartbeatSendTimes = 16;

} // namespace

Spreader::Spreader(Options GivenOpts, Hooks Hooks, uint64_t Seed)
    : Opts(std::move(GivenOpts)), Hook(std::move(Hooks)), Random(Seed),
      SnapshotBudget(this->Opts.SnapshotBytesPerSecond,
                     this->Opts.SnapshotBurstBytes) {}

bool Spreader::publish(const std::string &Topic, const DocumentPtr &Doc,
                       TimePoint Now) {
  if (this->isOutdated(Doc->stamp(), this->Topics[Topic].Stored) ||
      this->neighbourHasNewer(Topic, Doc->stamp())) {
    ++this->Counts.StalePublishes;
    return false;
  }
  this->storeDocument(Topic, Doc, "platform", std::nullopt, Now);
  return true;
}

// A node that has just started stores no documents and would accept even an
// outdated copy from the platform. If a neighbour is known to have a newer
// document, that one is already being sent to this node.
bool Spreader::neighbourHasNewer(const std::string &Topic,
                                 const Stamp &Than) const {
  if (!this->Opts.Guards.KeepOrder)
    return false;
  for (const auto &[Id, LinkState] : this->Links) {
    auto Found = LinkState.Topics.find(Topic);
    if (Found != LinkState.Topics.end() && Found->second.NeighbourStamp > Than)
      return true;
  }
  return false;
}

bool Spreader::hasAllDocumentsOf(const Link &Neighbour) const {
  return std::all_of(Neighbour.Topics.begin(), Neighbour.Topics.end(),
                     [&](const auto &Topic) {
                       return Topic.second.NeighbourStamp <=
                              stampOrNull(this->storedDocument(Topic.first));
                     });
}

// A neighbour may have reported a newer document that has not arrived yet. Then
// the revision is not recorded.
void Spreader::markComplete(uint64_t Revision) {
  bool HasAll = std::all_of(this->Links.begin(), this->Links.end(),
                            [&](const auto &Neighbour) {
                              return this->hasAllDocumentsOf(Neighbour.second);
                            });
  if (HasAll)
    this->CompleteRevision = std::max(this->CompleteRevision, Revision);
}

void Spreader::recordEra(uint64_t Era) {
  this->EarliestEra = std::min(this->EarliestEra.value_or(Era), Era);
}

bool Spreader::hasNeighbourState() const {
  for (const auto &[Id, LinkState] : this->Links)
    if (LinkState.ReceivedSeq != 0)
      return true;
  return false;
}

void Spreader::confirm(const std::string &Topic, uint64_t Version,
                       uint64_t Revision, TimePoint AskedAt) {
  auto &State = this->Topics[Topic];
  Stamp Stored = stampOrNull(State.Stored);
  if (!State.Stored || Stored.Version != Version || Stored.Revision != Revision)
    return;
  if (!State.ConfirmedAt || *State.ConfirmedAt < AskedAt)
    State.ConfirmedAt = AskedAt;
}

void Spreader::resync(TimePoint Now) {
  for (auto &[Id, LinkState] : this->Links) {
    LinkState.LastSentDigest = 0;
    LinkState.LastReceivedAt = Now;
    this->sendHeartbeat(Id, LinkState, Now);
  }
}

void Spreader::sendHeartbeatBy(LinkId Id, TimePoint At) {
  auto Found = this->Links.find(Id);
  if (Found != this->Links.end())
    Found->second.NextHeartbeatAt = std::min(Found->second.NextHeartbeatAt, At);
}

void Spreader::sendHeartbeatsBy(TimePoint At) {
  for (auto &[Id, LinkState] : this->Links)
    LinkState.NextHeartbeatAt = std::min(LinkState.NextHeartbeatAt, At);
}

void Spreader::linkUp(LinkId Id, const std::string &Peer, bool Eager,
                      TimePoint Now, bool IsSeed) {
  Link &LinkState = this->Links[Id];
  LinkState = Link();
  LinkState.Peer = Peer;
  LinkState.Eager = Eager;
  LinkState.IsSeed = IsSeed;
  LinkState.LastReceivedAt = Now;
  LinkState.NextHeartbeatAt = Now;
  this->sendHeartbeat(Id, LinkState, Now);
}

void Spreader::linkDown(LinkId Id) {
  this->Links.erase(Id);
  for (auto &[Name, State] : this->Topics) {
    if (State.PullFrom != Id)
      continue;
    State.PullSent = false;
    // The next tick asks another neighbour that has the document.
    if (State.NextPullAt)
      State.NextPullAt = TimePoint();
  }
}

DocumentPtr Spreader::storedDocument(const std::string &Topic) const {
  auto Found = this->Topics.find(Topic);
  return Found == this->Topics.end() ? nullptr : Found->second.Stored;
}

DocumentPtr Spreader::acceptedDocument(const std::string &Topic) const {
  auto Found = this->Topics.find(Topic);
  return Found == this->Topics.end() ? nullptr : Found->second.Accepted;
}

std::optional<TimePoint> Spreader::confirmedAt(const std::string &Topic) const {
  auto Found = this->Topics.find(Topic);
  return Found == this->Topics.end() ? std::nullopt : Found->second.ConfirmedAt;
}

std::optional<Millis> Spreader::age(const std::string &Topic,
                                    TimePoint Now) const {
  std::optional<TimePoint> At = this->confirmedAt(Topic);
  return At ? std::optional(toMillis(Now - *At)) : std::nullopt;
}

bool Spreader::isOutdated(const Stamp &New, const DocumentPtr &Current) const {
  if (!this->Opts.Guards.KeepOrder)
    return New == stampOrNull(Current);
  return New <= stampOrNull(Current);
}

void Spreader::storeDocument(const std::string &Name, const DocumentPtr &Doc,
                             const std::string &From,
                             std::optional<LinkId> Source, TimePoint Now) {
  TopicState &State = this->Topics[Name];
  if (this->isOutdated(Doc->stamp(), State.Stored))
    return;
  if (State.Stored)
    State.DeltaBases.push_back(State.Stored);
  while (State.DeltaBases.size() > this->Opts.MaxDeltaBases)
    State.DeltaBases.pop_front();
  State.Stored = Doc;
  // The platform has not confirmed the new document yet.
  State.ConfirmedAt.reset();
  State.NextPullAt.reset();
  State.PullSent = false;
  // Forward the document before checking it: the neighbours should not wait for
  // this node to compile it, and a version that this build refuses may be
  // accepted by another.
  this->forwardDocument(Name, Source, Now);
  this->offerForAcceptance(Name, State, Doc, From, Now);
}

void Spreader::offerForAcceptance(const std::string &Name, TopicState &State,
                                  const DocumentPtr &Doc,
                                  const std::string &From, TimePoint Now) {
  if (this->isOutdated(Doc->stamp(), State.Accepted))
    return;
  if (this->Hook.Accept({Name, Doc, From}, Now))
    State.Accepted = Doc;
}

void Spreader::forwardDocument(const std::string &Name,
                               std::optional<LinkId> Source, TimePoint Now) {
  const DocumentPtr Doc = this->Topics[Name].Stored;
  for (auto &[Id, LinkState] : this->Links) {
    TopicOnLink &OnLink = LinkState.Topics[Name];
    if (Source == Id || OnLink.NeighbourStamp >= Doc->stamp())
      continue;
    if (!OnLink.Lazy.value_or(!LinkState.Eager)) {
      this->sendDocument(Id, Name, Doc, OnLink.NeighbourStamp, /*Asked=*/false,
                         Now);
      OnLink.NeighbourStamp = Doc->stamp();
      continue;
    }
    wire::AnnounceT Announce;
    Announce.topic = Name;
    Announce.held = makeWireStamp(Doc->stamp());
    this->Hook.Send(Id, makeFrame(std::move(Announce)));
    ++this->Counts.Announces;
  }
}

DocumentPtr Spreader::findDeltaBase(const TopicState &State,
                                    const Stamp &Have) const {
  if (Have.isNull())
    return nullptr;
  for (const DocumentPtr &Base : State.DeltaBases)
    if (Base->stamp() == Have)
      return Base;
  return nullptr;
}

void Spreader::sendDocument(LinkId To, const std::string &Name,
                            const DocumentPtr &Doc, const Stamp &Have,
                            bool Asked, TimePoint Now) {
  const TopicState &State = this->Topics[Name];
  if (DocumentPtr Base = this->findDeltaBase(State, Have))
    return this->sendParts(To, Name, Base, Doc);
  // Without a base only a snapshot can be sent. A neighbour that has an older
  // version and did not ask may get a delta from another node, so announce the
  // stamp and let the neighbour decide.
  if (!Asked && !Have.isNull()) {
    wire::AnnounceT Announce;
    Announce.topic = Name;
    Announce.held = makeWireStamp(Doc->stamp());
    this->Hook.Send(To, makeFrame(std::move(Announce)));
    ++this->Counts.Announces;
    return;
  }
  if (!this->takeSnapshotBudget(Doc->byteSize(), Now)) {
    wire::BusyT Busy;
    Busy.topic = Name;
    Busy.retry_after_ms =
        static_cast<uint32_t>(1000.0 * static_cast<double>(Doc->byteSize()) /
                                  this->Opts.SnapshotBytesPerSecond +
                              1);
    this->Hook.Send(To, makeFrame(std::move(Busy)));
    return;
  }
  ++this->Counts.Snapshots;
  this->sendParts(To, Name, nullptr, Doc);
}

// Limits the rate of snapshots. Many empty nodes that start at once ask for all
// documents at once. Without a limit, the answers fill this node's memory and
// delay its heartbeats until its links are declared dead, and all those nodes
// start over. The bucket may go into debt, so that a document larger than the
// burst is still sent, one at a time.
bool Spreader::takeSnapshotBudget(size_t Bytes, TimePoint Now) {
  return Bytes <= this->Opts.UnmeteredSnapshotBytes ||
         this->SnapshotBudget.takeWithDebt(Now, static_cast<double>(Bytes));
}

// Returns the encoded changes from Base to Target, reusing those encoded last.
// The children of a node mostly have the same version, and starting nodes have
// none, so one encoding serves most of them.
const Spreader::PackedChangeSet &
Spreader::packOrReuse(const std::string &Name, const DocumentPtr &Base,
                      const DocumentPtr &Target) {
  PackedChangeSet &Last = this->LastPacked[Name];
  if (Last.Base == stampOrNull(Base) && Last.Target == Target->stamp())
    return Last;
  Last.Base = stampOrNull(Base);
  Last.Target = Target->stamp();
  Last.Bytes = packChanges(
      makeDelta(Base ? Base->entries() : EntryMap(), Target->entries()),
      this->Opts.MinCompressBytes, Last.RawSize);
  return Last;
}

void Spreader::sendParts(LinkId To, const std::string &Name,
                         const DocumentPtr &Base, const DocumentPtr &Target) {
  const PackedChangeSet &Whole = this->packOrReuse(Name, Base, Target);
  size_t Count =
      std::max<size_t>(1, (Whole.Bytes.size() + this->Opts.MaxPartBytes - 1) /
                              this->Opts.MaxPartBytes);
  for (size_t Index = 0; Index < Count; ++Index) {
    wire::PartT Part;
    Part.topic = Name;
    Part.base = makeWireStamp(Whole.Base);
    Part.target = makeWireStamp(Whole.Target);
    Part.index = static_cast<uint32_t>(Index);
    Part.count = static_cast<uint32_t>(Count);
    Part.raw_size = Whole.RawSize;
    std::string Piece = Whole.Bytes.substr(Index * this->Opts.MaxPartBytes,
                                           this->Opts.MaxPartBytes);
    Part.bytes.assign(Piece.begin(), Piece.end());
    this->Hook.Send(To, makeFrame(std::move(Part)));
    ++this->Counts.Parts;
  }
}

uint64_t Spreader::digest() const {
  uint64_t Digest = 1;
  for (const auto &[Name, State] : this->Topics) {
    Stamp Stored = stampOrNull(State.Stored);
    Digest = combineHash(Digest, contentHash(Name));
    Digest = combineHash(Digest, combineHash(Stored.Version, Stored.Revision));
    Digest = combineHash(Digest, Stored.Hash);
  }
  return Digest;
}

void Spreader::sendHeartbeat(LinkId To, Link &LinkState, TimePoint Now) {
  wire::HeartbeatT Beat;
  uint64_t Digest = this->digest();
  bool WithStamps = Digest != LinkState.LastSentDigest;
  LinkState.LastSentDigest = Digest;
  for (const auto &[Name, State] : this->Topics) {
    if (!State.Stored)
      continue;
    uint32_t AgeMs = UINT32_MAX;
    if (State.ConfirmedAt)
      AgeMs = static_cast<uint32_t>(toMillis(Now - *State.ConfirmedAt).count());
    if (!WithStamps) {
      Beat.ages_ms.push_back(AgeMs);
      continue;
    }
    auto Item = std::make_unique<wire::TopicStateT>();
    Item->topic = Name;
    Item->held = makeWireStamp(State.Stored->stamp());
    Item->age_ms = AgeMs;
    Beat.topics.push_back(std::move(Item));
  }
  this->Hook.CompleteHeartbeat(To, Beat, Now);
  Beat.seq = ++LinkState.SentSeq;
  Beat.echo = LinkState.ReceivedSeq;
  Beat.complete_at = this->CompleteRevision;
  if (this->EarliestEra)
    Beat.first_era = *this->EarliestEra;
  LinkState.HeartbeatsSentAt.push_back(Now);
  if (LinkState.HeartbeatsSentAt.size() > MaxHeartbeatSendTimes)
    LinkState.HeartbeatsSentAt.pop_front();
  this->Hook.Send(To, makeFrame(std::move(Beat)));
  ++this->Counts.Heartbeats;
  // The interval varies over a range of a fifth, so that nodes that started
  // together do not send at the same times.
  double Jitter = std::uniform_real_distribution<>(0.9, 1.1)(this->Random);
  LinkState.NextHeartbeatAt =
      Now + std::chrono::duration_cast<Clock::duration>(
                std::chrono::duration<double, std::milli>(
                    Jitter * this->Opts.HeartbeatInterval.count()));
}

// Updates a document's age from a neighbour's heartbeat. The sender wrote the
// age after it had received a heartbeat of this node, so after ComposedAfter,
// the time at which that one was sent. Counting from there, and not from the
// arrival, keeps the age correct if the bytes waited in a socket while this
// process was paused. Otherwise a list would look too new, and a gate would
// decide on idempotency keys whose home it no longer is. The cost is one
// heartbeat interval of extra age per hop.
void Spreader::updateConfirmedAt(const std::string &Name, const Stamp &Reported,
                                 uint32_t AgeMs, TimePoint ComposedAfter) {
  auto Found = this->Topics.find(Name);
  if (Found == this->Topics.end() || !Found->second.Stored ||
      Found->second.Stored->stamp() != Reported || AgeMs == UINT32_MAX)
    return;
  TimePoint At = ComposedAfter - Millis(AgeMs);
  auto &ConfirmedAt = Found->second.ConfirmedAt;
  if (!ConfirmedAt || *ConfirmedAt < At)
    ConfirmedAt = At;
}

void Spreader::tick(TimePoint Now) {
  Clock::duration Passed =
      this->LastTick ? Now - *this->LastTick : Clock::duration::zero();
  this->LastTick = Now;
  // After a pause of this process every link looks unresponsive. Restart the
  // liveness timeouts; a link that really is dead is detected one
  // LivenessTimeout later.
  if (Passed > this->Opts.PauseThreshold)
    this->resync(Now);
  std::vector<LinkId> Unresponsive;
  for (auto &[Id, LinkState] : this->Links) {
    if (Now - LinkState.LastReceivedAt > this->Opts.LivenessTimeout)
      Unresponsive.push_back(Id);
    else if (Now >= LinkState.NextHeartbeatAt)
      this->sendHeartbeat(Id, LinkState, Now);
  }
  for (LinkId Id : Unresponsive)
    this->Hook.CloseDeadLink(Id, Error{Errc::Timeout, "heartbeat",
                                       this->Links[Id].Peer,
                                       "no frame within the liveness timeout"});
  for (auto &[Name, State] : this->Topics)
    this->advancePull(Name, State, Now);
}

void Spreader::receive(LinkId From, const wire::SpreadFrameT &Frame,
                       TimePoint Now) {
  auto Found = this->Links.find(From);
  if (Found == this->Links.end())
    return;
  Link &LinkState = Found->second;
  LinkState.LastReceivedAt = Now;
  if (const auto *Beat = Frame.payload.AsHeartbeat())
    return this->onHeartbeat(From, LinkState, *Beat, Now);
  if (const auto *Announce = Frame.payload.AsAnnounce())
    return this->onNeighbourStamp(From, Announce->topic,
                                  fromWire(Announce->held.get()), Now);
  if (const auto *Pull = Frame.payload.AsPull())
    return this->onPull(From, *Pull, Now);
  if (const auto *Part = Frame.payload.AsPart())
    return this->onPart(From, LinkState, *Part, Now);
  if (const auto *Prune = Frame.payload.AsPrune()) {
    LinkState.Topics[Prune->topic].Lazy = true;
    return;
  }
  if (const auto *Busy = Frame.payload.AsBusy()) {
    TopicState &State = this->Topics[Busy->topic];
    if (!State.NextPullAt || State.PullFrom != From)
      return;
    State.NextPullAt =
        Now + Millis(Busy->retry_after_ms + this->Random() % 200);
    // Another neighbour that announces the document may be asked sooner:
    // schedulePull() brings forward only a pull that is not marked as sent.
    State.PullSent = false;
  }
}

void Spreader::onHeartbeat(LinkId From, Link &LinkState,
                           const wire::HeartbeatT &Beat, TimePoint Now) {
  // A heartbeat was lost, and it may have been the one with the neighbour's new
  // stamps, which are not repeated. The neighbour answers older stamps with its
  // own.
  if (Beat.seq > LinkState.ReceivedSeq + 1) {
    LinkState.LastSentDigest = 0;
    LinkState.NextHeartbeatAt = std::min(LinkState.NextHeartbeatAt, Now);
  }
  LinkState.ReceivedSeq = std::max(LinkState.ReceivedSeq, Beat.seq);
  if (Beat.first_era)
    this->recordEra(*Beat.first_era);
  std::optional<TimePoint> ComposedAfter;
  uint32_t SentSince = LinkState.SentSeq - Beat.echo;
  if (Beat.echo != 0 && SentSince < LinkState.HeartbeatsSentAt.size())
    ComposedAfter =
        LinkState.HeartbeatsSentAt[LinkState.HeartbeatsSentAt.size() - 1 -
                                   SentSince];
  if (!this->Opts.Guards.EchoedAges)
    ComposedAfter = Now;
  // Ages without topic names follow the order of the last heartbeat with names.
  std::vector<std::string> Order;
  for (const auto &Item : Beat.topics) {
    Stamp Reported = fromWire(Item->held.get());
    if (ComposedAfter)
      this->updateConfirmedAt(Item->topic, Reported, Item->age_ms,
                              *ComposedAfter);
    Order.push_back(Item->topic);
  }
  // Documents arrive in the order in which they are pulled. Go backwards, so
  // that the lists, whose names sort last, arrive before a version, which may
  // be half a megabyte.
  for (const auto &Item : Beat.topics)
    if (Item->topic == this->Opts.FirstTopic)
      this->onNeighbourStamp(From, Item->topic, fromWire(Item->held.get()),
                             Now);
  for (auto Item = Beat.topics.rbegin(); Item != Beat.topics.rend(); ++Item)
    this->onNeighbourStamp(From, (*Item)->topic, fromWire((*Item)->held.get()),
                           Now);
  // If every document stored here is at least as new as the neighbour's, the
  // neighbour's complete revision holds for this node too.
  if (this->hasAllDocumentsOf(LinkState))
    this->CompleteRevision = std::max(this->CompleteRevision, Beat.complete_at);
  if (!Order.empty()) {
    LinkState.AgeTopics = std::move(Order);
    return;
  }
  if (!ComposedAfter)
    return;
  for (size_t I = 0; I < Beat.ages_ms.size() && I < LinkState.AgeTopics.size();
       ++I)
    this->updateConfirmedAt(
        LinkState.AgeTopics[I],
        LinkState.Topics[LinkState.AgeTopics[I]].NeighbourStamp,
        Beat.ages_ms[I], *ComposedAfter);
}

} // namespace hickorylift
