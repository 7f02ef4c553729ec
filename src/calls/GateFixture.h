#ifndef HICKORYLIFT_CALLS_GATEFIXTURE_H
#define HICKORYLIFT_CALLS_GATEFIXTURE_H

#include "calls/Gate.h"

#include "config/RecordFile.h"

#include <boost/test/unit_test.hpp>

// For tests only: a gate whose upstream and one entry are simulated by the
// test.
//
//   BOOST_FIXTURE_TEST_CASE(OneCall, GateFixture) {
//     this->sendOpen(this->makeOpen(1));
//     BOOST_TEST(this->StartedCalls.size() == 1u);
//   }

namespace hickorylift {

/// Configuration of one service whose upstreams have ten slots.
inline const std::string GateRecords = R"([
  {"kind":"service","name":"a","schema":1,"slots":10},
  {"kind":"route","name":"r","schema":3,"match":{"prefix":"/"},
   "service":"a","idempotent":false}])";

/// A gate whose upstream and one entry (incarnation 7) are simulated by the
/// test.
struct GateFixture {
  static constexpr Gate::LinkId Link = 1;

  std::unique_ptr<Gate> TestGate;
  std::vector<wire::CallFrameT> SentFrames;
  std::vector<std::pair<CallId, RequestHead>> StartedCalls;
  std::vector<CallId> CancelledCalls;
  /// Whether reading the upstream's answer was paused or resumed, in order.
  std::vector<bool> AnswerPauses;
  /// The quarantine decision returned for every request.
  Quarantine::Decision QuarantineDecision;
  /// The running requests of each crash that the gate reported.
  std::vector<std::vector<Quarantine::RunningRequest>> ReportedCrashes;
  std::vector<Fingerprint> AnsweredRequests;
  /// The names by which the upstream was called and that it has disowned.
  std::vector<std::string> Disowned;
  size_t ProbeCount = 0;
  /// Paths at which the gate queried the upstream's health.
  std::vector<std::string> HealthQueries;
  /// Whether each started request is written to the upstream at once.
  bool SendsAtOnce = true;
  /// When the process stops, if it does.
  std::optional<TimePoint> StopsAt;
  TimePoint Now = TimePoint(std::chrono::hours(1));

  /// Opens a call with a long body. The entry sends the body when it is
  /// requested if HoldsBody, otherwise without waiting.
  void openUpload(uint64_t Seq, bool HoldsBody = true) {
    wire::OpenT Open;
    Open.seq = Seq;
    Open.entry = 7;
    Open.service = "a";
    Open.method = "POST";
    Open.path = "/x";
    Open.budget_ms = 2000;
    Open.target_ms = 500;
    Open.length = 20000;
    Open.holds_body = HoldsBody;
    this->TestGate->handleFrame(Link, makeCallFrame(std::move(Open)),
                                this->Now);
  }
  void sendBody(uint64_t Seq, uint64_t Offset, size_t Size, bool End) {
    wire::DataT Data;
    Data.seq = Seq;
    Data.offset = Offset;
    Data.bytes.assign(Size, 'x');
    Data.end = End;
    this->TestGate->handleFrame(Link, makeCallFrame(std::move(Data)),
                                this->Now);
  }
  /// Lets the gate measure that bodies take 100 ms each.
  void makeLinkSlow() {
    for (uint64_t Seq = 90; Seq < 95; ++Seq) {
      this->openUpload(Seq);
      this->Now += Millis(100);
      this->sendBody(Seq, 0, 20000, /*End=*/true);
      ResponseHead Head;
      Head.Status = 200;
      Head.Length = 0;
      this->TestGate->upstreamHead({7, Seq}, Head, this->Now);
    }
    this->StartedCalls.clear();
    this->SentFrames.clear();
  }
  /// The calls whose bodies the gate has requested, in this order.
  std::vector<uint64_t> requestedBodies() const {
    std::vector<uint64_t> Requested;
    for (const wire::CallFrameT &Frame : this->SentFrames)
      if (const auto *Admitted = Frame.payload.AsAdmitted())
        Requested.push_back(Admitted->seq);
    return Requested;
  }

  GateFixture() {
    this->TestGate = std::make_unique<Gate>(this->options(), this->hooks());
    this->configure(GateRecords);
    this->TestGate->linkUp(Link, this->Now);
    wire::CallHelloT Hello;
    Hello.incarnation = 7;
    this->TestGate->handleFrame(Link, makeCallFrame(std::move(Hello)),
                                this->Now);
  }

  Gate::Options options() const {
    Gate::Options Opts;
    Opts.Self = "me";
    Opts.Service = "a";
    Opts.HeaderNames.NotRun = "Not-Run";
    Opts.HeaderNames.ExpectedUpstream = "Expect-Upstream";
    Opts.HeaderNames.Budget = "Budget";
    return Opts;
  }

  Gate::Hooks hooks() {
    Gate::Hooks Hooks;
    Hooks.Send = [this](Gate::LinkId, wire::CallFrameT Frame) {
      this->SentFrames.push_back(std::move(Frame));
    };
    Hooks.Start = [this](const CallId &Id, const RequestHead &Head, bool) {
      this->StartedCalls.emplace_back(Id, Head);
      if (this->SendsAtOnce)
        this->TestGate->requestSent(Id, this->Now);
    };
    Hooks.Body = [](const CallId &, std::string_view) {};
    Hooks.BodyEnd = [](const CallId &) {};
    Hooks.Cancel = [this](const CallId &Id) {
      this->CancelledCalls.push_back(Id);
    };
    Hooks.PauseAnswer = [this](const CallId &, bool Paused) {
      this->AnswerPauses.push_back(Paused);
    };
    Hooks.CheckQuarantine = [this](const Fingerprint &, TimePoint) {
      return this->QuarantineDecision;
    };
    Hooks.RequestAnswered = [this](const Fingerprint &Answered, TimePoint) {
      this->AnsweredRequests.push_back(Answered);
    };
    Hooks.UpstreamCrashed =
        [this](const std::vector<Quarantine::RunningRequest> &Running,
               TimePoint) { this->ReportedCrashes.push_back(Running); };
    Hooks.Probe = [this] { ++this->ProbeCount; };
    Hooks.StopsAt = [this] { return this->StopsAt; };
    Hooks.UpstreamDisowned = [this](const std::string &Upstream, TimePoint) {
      this->Disowned.push_back(Upstream);
    };
    Hooks.QueryHealth = [this](const std::string &Path) {
      this->HealthQueries.push_back(Path);
    };
    return Hooks;
  }

  void configure(const std::string &Records) {
    FaultList Faults;
    this->TestGate->configure(
        compileConfig(
            *Document::make(1, 1, *readRecordFile(Records, "f", Faults)),
            CompileOptions())
            .Compiled,
        this->Now);
  }

  void listSlots(uint32_t Slots) {
    Instance Self;
    Self.Name = "me";
    Self.Service = "a";
    Self.Slots = Slots;
    this->TestGate->membersChanged({&Self}, this->Now);
  }

  wire::OpenT makeOpen(uint64_t Seq) const {
    wire::OpenT Open;
    Open.seq = Seq;
    Open.entry = 7;
    Open.service = "a";
    Open.method = "GET";
    Open.path = "/x";
    Open.budget_ms = 1000;
    Open.target_ms = 300;
    Open.route = "r";
    Open.upstream = "up-1";
    return Open;
  }
  void sendOpen(wire::OpenT Open) {
    this->TestGate->handleFrame(Link, makeCallFrame(std::move(Open)),
                                this->Now);
  }

  /// The last Failed frame that the gate sent; null if there is none.
  const wire::FailedT *lastFailed() const {
    const wire::FailedT *Last = nullptr;
    for (const wire::CallFrameT &Frame : this->SentFrames)
      if (const auto *Failed = Frame.payload.AsFailed())
        Last = Failed;
    return Last;
  }
  /// Number of Admitted frames that the gate sent.
  size_t admittedCount() const {
    size_t Count = 0;
    for (const wire::CallFrameT &Frame : this->SentFrames)
      Count += Frame.payload.AsAdmitted() != nullptr;
    return Count;
  }
};

} // namespace hickorylift

#endif
