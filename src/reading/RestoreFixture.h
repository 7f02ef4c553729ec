#ifndef HICKORYLIFT_READING_RESTOREFIXTURE_H
#define HICKORYLIFT_READING_RESTOREFIXTURE_H

#include "membership/Evacuations.h"
#include "reading/StoreFixture.h"
#include "reading/StoreReader.h"
#include "spread/Frames.h"
#include "spread/Spreader.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <set>
#include <vector>

// A store and nodes that read it and that can be linked, for tests of what
// nodes know after the store or their access to it was lost.
//
//   RestoreFixture Test;
//   Test.start(1);
//   Test.link(0, 1);
//   Test.Store.put("i/y", "leaving");
//   Test.run(Millis(1000));
//   Test.node(1).stateOf("y");     // "leaving"

namespace hickorylift {

constexpr char North[] = "instances/north";
constexpr Millis Step{50};
/// A node with a reader of the store and a spreader.
struct ReadingNode {
  ReadingNode(RestorableStore &Store, Spreader::Hooks Hooks)
      : Access(Store), Spread(Spreader::Options(), std::move(Hooks), 7) {
    StoreReader::Options Opts;
    Opts.StartJitter = Millis(0);
    Opts.WatchWait = Millis(2500);
    this->Read = std::make_unique<StoreReader>(
        Opts, this->Access, testLayout(), this->sourceHooks(),
        std::vector<std::string>{"north"}, 7);
  }

  SourceHooks sourceHooks() {
    SourceHooks Hooks;
    Hooks.Publish = [this](const std::string &Topic, const DocumentPtr &Doc,
                           TimePoint Now) {
      this->Spread.publish(Topic, Doc, Now);
    };
    Hooks.Confirm = [this](const std::string &Topic, uint64_t Version,
                           uint64_t Revision, TimePoint AskedAt) {
      this->Spread.confirm(Topic, Version, Revision, AskedAt);
    };
    Hooks.ConfirmedAt = [this](const std::string &Topic) {
      return this->Spread.confirmedAt(Topic);
    };
    Hooks.CurrentDocument = [this](const std::string &Topic) {
      return this->Spread.storedDocument(Topic);
    };
    Hooks.ReportComplete = [this](uint64_t Revision) {
      this->Spread.markComplete(Revision);
    };
    Hooks.CompleteRevision = [this] { return this->Spread.completeRevision(); };
    Hooks.Failed = [](const Error &, TimePoint) {};
    Hooks.EraObserved = [this](uint64_t Era) { this->Spread.recordEra(Era); };
    Hooks.EarliestEra = [this] { return this->Spread.earliestEra(); };
    Hooks.Restored = [this](uint64_t, uint64_t, TimePoint) {
      ++this->RestoreReports;
    };
    return Hooks;
  }

  uint64_t version() const {
    return stampOrNull(this->Spread.storedDocument(ConfigTopic)).Version;
  }

  /// "none", "live" or "leaving".
  std::string stateOf(const std::string &Name) const {
    DocumentPtr List = this->Spread.storedDocument(North);
    auto Found = List->entries().find(Name);
    if (Found == List->entries().end())
      return "none";
    bool IsLeaving = Found->second.Bytes->find("leaving") != std::string::npos;
    return IsLeaving ? "leaving" : "live";
  }

  bool evacuates(const std::string &DataCentre) const {
    return evacuatedDataCentres(*this->Spread.storedDocument(EvacuationTopic))
        .count(DataCentre);
  }

  StoreAccess Access;
  Spreader Spread;
  std::unique_ptr<StoreReader> Read;
  ReadDuty Duty = ReadDuty::Watch;
  unsigned RestoreReports = 0;
};

/// A store and nodes that can be linked. Only node 0 is started.
struct RestoreFixture {
  struct SentFrame {
    int From;
    int To;
    wire::SpreadFrameT Frame;
  };

  RestorableStore Store;
  std::vector<std::unique_ptr<ReadingNode>> Nodes;
  std::deque<SentFrame> Frames;
  /// Pairs of nodes, the lower index first.
  std::set<std::pair<int, int>> Linked;
  TimePoint Now = TimePoint(std::chrono::hours(1));

  RestoreFixture() {
    this->Store.put("c", "1");
    this->Store.put("i/x", "live");
    this->Store.put("i/y", "live");
    this->start(0);
    this->run(Millis(1000));
  }

  void start(int Index) {
    Spreader::Hooks Hooks;
    Hooks.Send = [this, Index](LinkId Link, const wire::SpreadFrameT &Frame) {
      this->Frames.push_back({Index, static_cast<int>(Link) - 1, Frame});
    };
    Hooks.Accept = [](const Spreader::ReceivedDocument &, TimePoint) {
      return true;
    };
    Hooks.CloseDeadLink = [](LinkId, const Error &) {};
    this->Nodes.resize(std::max<size_t>(this->Nodes.size(), Index + 1));
    this->Nodes[Index] = std::make_unique<ReadingNode>(this->Store, Hooks);
  }

  /// The link of any node to this one.
  static LinkId linkTo(int Index) { return static_cast<LinkId>(Index) + 1; }

  void link(int A = 0, int B = 1) {
    this->Linked.insert(std::minmax(A, B));
    this->node(A).Spread.linkUp(linkTo(B), "peer", /*Eager=*/true, this->Now);
    this->node(B).Spread.linkUp(linkTo(A), "peer", /*Eager=*/true, this->Now);
  }

  void cut(int A = 0, int B = 1) {
    this->Linked.erase(std::minmax(A, B));
    this->node(A).Spread.linkDown(linkTo(B));
    this->node(B).Spread.linkDown(linkTo(A));
  }

  void run(Millis Duration) {
    for (TimePoint End = this->Now + Duration; this->Now < End;
         this->Now += Step) {
      this->Store.answer(this->Now);
      for (auto &Node : this->Nodes) {
        Node->Access.answer(this->Now);
        Node->Read->tick(this->Now, Node->Duty);
        Node->Spread.tick(this->Now);
      }
      this->deliver();
    }
  }

  void deliver() {
    while (!this->Frames.empty()) {
      SentFrame Next = std::move(this->Frames.front());
      this->Frames.pop_front();
      if (this->Linked.count(std::minmax(Next.From, Next.To)))
        this->node(Next.To).Spread.receive(linkTo(Next.From), Next.Frame,
                                           this->Now);
    }
  }

  /// Raises the store's revision without changing any value.
  void advanceRevision(unsigned Writes) {
    for (unsigned I = 0; I < Writes; ++I)
      this->Store.put("i/x", "live");
  }

  /// Makes a copy, this many writes and a few more, and restores the copy. The
  /// last writes change the lists and evacuations, so that these are published
  /// near the highest revision.
  void loseWrites(unsigned Writes) {
    this->Store.saveCopy();
    this->advanceRevision(Writes);
    this->Store.put("i/w", "live");
    this->Store.put("c-e/west", "{}");
    this->run(Millis(1000));
    this->Store.remove("i/w");
    this->Store.remove("c-e/west");
    this->run(Millis(1000));
    this->Store.restore();
  }

  ReadingNode &node(int Index = 0) { return *this->Nodes[Index]; }
};

} // namespace hickorylift

#endif
