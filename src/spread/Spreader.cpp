#include "spread/Spreader.h"
#include "spread/Frames.h"

#include "base/Hash.h"

#include <algorithm>

// Eager push with lazy repair, after Plumtree (Leitao, Pereira, Rodrigues:
// "Epidemic Broadcast Trees", 2007). A new document goes at once, as a delta,
// over the eager links, and its stamp alone over the lazy ones. A node that
// hears a stamp which it lacks waits a moment for the push and then pulls from
// whoever told it; that link becomes eager. A document that comes twice makes
// the later link lazy. Heartbeats repeat the stamps whenever they have changed,
// so whatever was lost is found again within one interval.
//
// Why the order holds: the only assignments to Held and to Accepted are in
// take() and judge(), and both compare stamps first. A stale platform, a late
// frame and a neighbour that returns with an old document all end there.
//
// Why nothing is taken in part: parts are gathered aside, must come in order
// from one link, and only a change set whose outcome has the stated hash
// becomes a document (applyDelta).

namespace hickorylift {

namespace {

// Heartbeats whose echo may still be under way on one link.
constexpr size_t KeptSendTimes = 16;

} // namespace

Spreader::Spreader(Options Opts, Hooks Hooks, uint64_t Seed)
    : Opts(Opts), Hook(std::move(Hooks)), Random(Seed),
      SnapshotBudget(Opts.SnapshotBytesPerSecond, Opts.SnapshotBurstBytes) {}

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

// A node that starts holds nothing and would take whatever the platform says,
// were it an old copy. If a neighbour is known to hold something newer, that is
// already on its way.
bool Spreader::neighbourHasNewer(const std::string &Topic,
                                 const Stamp &Than) const {
  if (!this->Opts.Guards.KeepOrder)
    return false;
  for (const auto &[Id, On] : this->Links) {
    auto Found = On.Topics.find(Topic);
    if (Found != On.Topics.end() && Found->second.NeighbourStamp > Than)
      return true;
  }
  return false;
}

bool Spreader::hasAllDocumentsOf(const Link &On) const {
  return std::all_of(On.Topics.begin(), On.Topics.end(), [&](const auto &One) {
    return One.second.NeighbourStamp <=
           stampOrNull(this->storedDocument(One.first));
  });
}

// A neighbour may have told of something newer that is still on its way here.
void Spreader::markComplete(uint64_t Revision) {
  bool HoldsAll =
      std::all_of(this->Links.begin(), this->Links.end(), [&](const auto &One) {
        return this->hasAllDocumentsOf(One.second);
      });
  if (HoldsAll)
    this->CompleteRevision = std::max(this->CompleteRevision, Revision);
}

void Spreader::recordEra(uint64_t Era) {
  this->EarliestEra = std::min(this->EarliestEra.value_or(Era), Era);
}

bool Spreader::hasNeighbourState() const {
  for (const auto &[Id, On] : this->Links)
    if (On.ReceivedSeq != 0)
      return true;
  return false;
}

void Spreader::confirm(const std::string &Topic, uint64_t Version,
                       uint64_t Revision, TimePoint AskedAt) {
  auto &State = this->Topics[Topic];
  Stamp Held = stampOrNull(State.Stored);
  if (!State.Stored || Held.Version != Version || Held.Revision != Revision)
    return;
  if (!State.ConfirmedAt || *State.ConfirmedAt < AskedAt)
    State.ConfirmedAt = AskedAt;
}

void Spreader::resync(TimePoint Now) {
  for (auto &[Id, On] : this->Links) {
    On.LastSentDigest = 0;
    On.LastReceivedAt = Now;
    this->sendHeartbeat(Id, On, Now);
  }
}

void Spreader::sendHeartbeatBy(LinkId Id, TimePoint At) {
  auto Found = this->Links.find(Id);
  if (Found != this->Links.end())
    Found->second.NextHeartbeatAt = std::min(Found->second.NextHeartbeatAt, At);
}

void Spreader::linkUp(LinkId Id, const std::string &Peer, bool Eager,
                      TimePoint Now) {
  Link &On = this->Links[Id];
  On = Link();
  On.Peer = Peer;
  On.Eager = Eager;
  On.LastReceivedAt = Now;
  On.NextHeartbeatAt = Now;
  this->sendHeartbeat(Id, On, Now);
}

void Spreader::linkDown(LinkId Id) {
  this->Links.erase(Id);
  for (auto &[Name, State] : this->Topics) {
    if (State.PullFrom != Id)
      continue;
    State.PullSent = false;
    // Whoever else has it is asked in the next tick.
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

std::optional<Millis> Spreader::age(const std::string &Topic,
                                    TimePoint Now) const {
  auto Found = this->Topics.find(Topic);
  if (Found == this->Topics.end() || !Found->second.ConfirmedAt)
    return std::nullopt;
  return toMillis(Now - *Found->second.ConfirmedAt);
}

bool Spreader::isOutdated(const Stamp &New, const DocumentPtr &Than) const {
  if (!this->Opts.Guards.KeepOrder)
    return New == stampOrNull(Than);
  return New <= stampOrNull(Than);
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
  // Nobody has confirmed the new one yet.
  State.ConfirmedAt.reset();
  State.NextPullAt.reset();
  State.PullSent = false;
  // Hand on before judging: the neighbours' wait should not include our
  // compiling, and a version that this build refuses may suit another.
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
  for (auto &[Id, On] : this->Links) {
    TopicOnLink &There = On.Topics[Name];
    if (Source == Id || There.NeighbourStamp >= Doc->stamp())
      continue;
    if (!There.Lazy.value_or(!On.Eager)) {
      this->sendDocument(Id, Name, Doc, There.NeighbourStamp, /*Asked=*/false,
                         Now);
      There.NeighbourStamp = Doc->stamp();
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
  // A snapshot. Unless the neighbour asked, it may well get a delta from
  // someone else, so tell it the stamp and let it decide.
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

// A herd of empty nodes asks for everything at once. Without a bound the
// answers fill this node's memory and delay its heartbeats until its links are
// condemned, and the herd starts over. A debt is allowed, so that a document
// larger than the burst still goes out, one at a time.
bool Spreader::takeSnapshotBudget(size_t Bytes, TimePoint Now) {
  return Bytes <= this->Opts.UnmeteredSnapshotBytes ||
         this->SnapshotBudget.takeWithDebt(Now, static_cast<double>(Bytes));
}

// The children of one node mostly hold the same version, and those who start
// hold none: what was packed for the first serves the others.
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
  uint64_t Sum = 1;
  for (const auto &[Name, State] : this->Topics) {
    Stamp Held = stampOrNull(State.Stored);
    Sum = combineHash(Sum, contentHash(Name));
    Sum = combineHash(Sum, combineHash(Held.Version, Held.Revision));
    Sum = combineHash(Sum, Held.Hash);
  }
  return Sum;
}

void Spreader::sendHeartbeat(LinkId To, Link &On, TimePoint Now) {
  wire::HeartbeatT Beat;
  uint64_t Digest = this->digest();
  bool Full = Digest != On.LastSentDigest;
  On.LastSentDigest = Digest;
  for (const auto &[Name, State] : this->Topics) {
    if (!State.Stored)
      continue;
    uint32_t AgeMs = UINT32_MAX;
    if (State.ConfirmedAt)
      AgeMs = static_cast<uint32_t>(toMillis(Now - *State.ConfirmedAt).count());
    if (!Full) {
      Beat.ages_ms.push_back(AgeMs);
      continue;
    }
    auto Item = std::make_unique<wire::TopicStateT>();
    Item->topic = Name;
    Item->held = makeWireStamp(State.Stored->stamp());
    Item->age_ms = AgeMs;
    Beat.topics.push_back(std::move(Item));
  }
  Beat.report = this->Hook.MakeReport(To);
  Beat.seq = ++On.SentSeq;
  Beat.echo = On.ReceivedSeq;
  Beat.complete_at = this->CompleteRevision;
  if (this->EarliestEra)
    Beat.first_era = *this->EarliestEra;
  On.HeartbeatsSentAt.push_back(Now);
  if (On.HeartbeatsSentAt.size() > KeptSendTimes)
    On.HeartbeatsSentAt.pop_front();
  this->Hook.Send(To, makeFrame(std::move(Beat)));
  ++this->Counts.Heartbeats;
  // Spread by a fifth, so that nodes started together drift apart.
  double Jitter = std::uniform_real_distribution<>(0.9, 1.1)(this->Random);
  On.NextHeartbeatAt =
      Now + std::chrono::duration_cast<Clock::duration>(
                std::chrono::duration<double, std::milli>(
                    Jitter * this->Opts.HeartbeatInterval.count()));
}

// The sender wrote the age after it had our heartbeat, so after ComposedAfter,
// the time at which we sent that one. Counting from there, and not from the
// arrival, keeps the age true when the bytes lay in a socket while this process
// was paused: a list that looks young then lets a gate judge keys that are no
// longer its own. The price is one heartbeat of extra age for each hop.
void Spreader::updateConfirmedAt(const std::string &Name, const Stamp &Theirs,
                                 uint32_t AgeMs, TimePoint ComposedAfter) {
  auto Found = this->Topics.find(Name);
  if (Found == this->Topics.end() || !Found->second.Stored ||
      Found->second.Stored->stamp() != Theirs || AgeMs == UINT32_MAX)
    return;
  TimePoint At = ComposedAfter - Millis(AgeMs);
  auto &Known = Found->second.ConfirmedAt;
  if (!Known || *Known < At)
    Known = At;
}

void Spreader::tick(TimePoint Now) {
  Clock::duration Passed =
      this->LastTick ? Now - *this->LastTick : Clock::duration::zero();
  this->LastTick = Now;
  // After a pause every link looks silent though only we were. Start the
  // count afresh: a link that really is dead is found one limit later.
  if (Passed > this->Opts.PauseThreshold)
    this->resync(Now);
  std::vector<LinkId> Silent;
  for (auto &[Id, On] : this->Links) {
    if (Now - On.LastReceivedAt > this->Opts.LivenessTimeout)
      Silent.push_back(Id);
    else if (Now >= On.NextHeartbeatAt)
      this->sendHeartbeat(Id, On, Now);
  }
  for (LinkId Id : Silent)
    this->Hook.CloseDeadLink(Id,
                             Error{Errc::Timeout, "heartbeat",
                                   this->Links[Id].Peer, "link went silent"});
  for (auto &[Name, State] : this->Topics)
    this->advancePull(Name, State, Now);
}

void Spreader::receive(LinkId From, const wire::SpreadFrameT &Frame,
                       TimePoint Now) {
  auto Found = this->Links.find(From);
  if (Found == this->Links.end())
    return;
  Link &On = Found->second;
  On.LastReceivedAt = Now;
  if (const auto *Beat = Frame.payload.AsHeartbeat())
    return this->onHeartbeat(From, On, *Beat, Now);
  if (const auto *Announce = Frame.payload.AsAnnounce())
    return this->onNeighbourStamp(From, Announce->topic,
                                  fromWire(Announce->held.get()), Now);
  if (const auto *Pull = Frame.payload.AsPull())
    return this->onPull(From, *Pull, Now);
  if (const auto *Part = Frame.payload.AsPart())
    return this->onPart(From, On, *Part, Now);
  if (const auto *Prune = Frame.payload.AsPrune()) {
    On.Topics[Prune->topic].Lazy = true;
    return;
  }
  if (const auto *Busy = Frame.payload.AsBusy()) {
    TopicState &State = this->Topics[Busy->topic];
    if (!State.NextPullAt || State.PullFrom != From)
      return;
    State.NextPullAt =
        Now + Millis(Busy->retry_after_ms + this->Random() % 200);
    // Another that has it may be asked sooner.
    State.PullSent = false;
  }
}

void Spreader::onHeartbeat(LinkId From, Link &On, const wire::HeartbeatT &Beat,
                           TimePoint Now) {
  On.ReceivedSeq = std::max(On.ReceivedSeq, Beat.seq);
  if (Beat.first_era)
    this->recordEra(*Beat.first_era);
  std::optional<TimePoint> ComposedAfter;
  uint32_t Back = On.SentSeq - Beat.echo;
  if (Beat.echo != 0 && Back < On.HeartbeatsSentAt.size())
    ComposedAfter = On.HeartbeatsSentAt[On.HeartbeatsSentAt.size() - 1 - Back];
  if (!this->Opts.Guards.EchoedAges)
    ComposedAfter = Now;
  // Ages without names follow the order of the topics named last.
  std::vector<std::string> Order;
  for (const auto &Item : Beat.topics) {
    Stamp Theirs = fromWire(Item->held.get());
    if (ComposedAfter)
      this->updateConfirmedAt(Item->topic, Theirs, Item->age_ms,
                              *ComposedAfter);
    Order.push_back(Item->topic);
  }
  // What is asked for first comes first: the lists, of which the names sort
  // last, before a version that may be half a megabyte.
  for (auto Item = Beat.topics.rbegin(); Item != Beat.topics.rend(); ++Item)
    this->onNeighbourStamp(From, (*Item)->topic, fromWire((*Item)->held.get()),
                           Now);
  // What we hold is as new as what they hold, so it lacks nothing either.
  if (this->hasAllDocumentsOf(On))
    this->CompleteRevision = std::max(this->CompleteRevision, Beat.complete_at);
  if (!Order.empty()) {
    On.AgeTopics = std::move(Order);
    return;
  }
  if (!ComposedAfter)
    return;
  for (size_t I = 0; I < Beat.ages_ms.size() && I < On.AgeTopics.size(); ++I)
    this->updateConfirmedAt(On.AgeTopics[I],
                            On.Topics[On.AgeTopics[I]].NeighbourStamp,
                            Beat.ages_ms[I], *ComposedAfter);
}

} // namespace hickorylift
