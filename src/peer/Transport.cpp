#include "peer/Transport.h"

#include <utility>

// Every hook is called from the loop and never from within send(), dial() or
// close(): the layers above may call these from anywhere, even while they walk
// their own tables. A link that fails inside send() is put on a list and told
// at the end of the turn.
//
// Frames of one turn to one peer leave in one piece, as TcpStream gathers what
// is written.

namespace hickorylift {

namespace {

constexpr size_t LengthBytes = 4;

} // namespace

Transport::Transport(Options Opts, Hooks Hooks,
                     std::function<TimePoint()> Clock)
    : Opts(Opts), Hook(std::move(Hooks)), Now(std::move(Clock)) {}

Transport::~Transport() {
  while (!this->Links.empty()) {
    this->Links.begin()->second->Stream->flush();
    this->release(*this->Links.begin()->second);
  }
}

Result<bool> Transport::listen(const NetAddress &At) {
  return this->Listening.open(At, "listen", this->Opts.AcceptsPerTurn,
                              [this](int Fd) { this->adopt(Fd); });
}

Transport::Connection *Transport::find(uint64_t Id) {
  auto Found = this->Links.find(Id);
  return Found == this->Links.end() ? nullptr : Found->second.get();
}

Transport::Connection &Transport::add() {
  auto New = std::make_unique<Connection>();
  New->Owner = this;
  New->Id = ++this->LastId;
  Connection &Out = *New;
  this->Links[Out.Id] = std::move(New);
  this->Hook.UsageChanged(Out.Id);
  return Out;
}

TcpStream::Hooks Transport::streamHooks(uint64_t Id) {
  TcpStream::Hooks Out;
  Out.Connected = [this, Id](TimePoint At) { this->dialled(Id, At); };
  Out.Data = [this, Id](std::string_view Bytes, TimePoint) {
    this->received(Id, Bytes);
  };
  Out.Ended = [this, Id](std::error_code Why, TimePoint At) {
    this->ended(Id, Why, At);
  };
  Out.Drained = [this, Id](TimePoint) { this->Hook.UsageChanged(Id); };
  return Out;
}

void Transport::adopt(int Fd) {
  Connection &New = this->add();
  New.Stream = TcpStream::adopt(Fd, this->streamHooks(New.Id), this->Now);
}

void Transport::dial(char Purpose, const std::string &Name,
                     const NetAddress &To) {
  Connection &New = this->add();
  New.Purpose = Purpose;
  New.Dialled = Name;
  New.PeerText = Name + "@" + To.text();
  New.Connecting = true;
  New.Timer = g_timeout_add(static_cast<guint>(this->Opts.DialTimeout.count()),
                            onDialTimeout, &New);
  New.Stream = TcpStream::dial(To, this->streamHooks(New.Id), this->Now);
  New.Stream->write(std::string_view(&Purpose, 1));
}

gboolean Transport::onDialTimeout(gpointer Data) {
  auto *Of = static_cast<Connection *>(Data);
  Of->Timer = 0;
  Of->Owner->fail(*Of, Error{Errc::Timeout, "dial", Of->PeerText, ""});
  return G_SOURCE_REMOVE;
}

void Transport::dialled(uint64_t Id, TimePoint At) {
  Connection *Of = this->find(Id);
  if (!Of || Of->Doomed)
    return;
  Of->Connecting = false;
  g_source_remove(std::exchange(Of->Timer, 0));
  this->Hook.Opened(Of->Id, Of->Purpose, Of->Dialled, At);
}

bool Transport::send(uint64_t Link, std::string_view Bytes) {
  Connection *Of = this->find(Link);
  if (!Of || Of->Doomed)
    return false;
  if (Of->Stream->pending() + Bytes.size() > this->Opts.MaxQueuedBytes) {
    this->fail(*Of, Error{Errc::TooLarge, "send", Of->PeerText,
                          "peer reads too slowly"});
    return false;
  }
  auto Length = static_cast<uint32_t>(Bytes.size());
  char Prefix[LengthBytes];
  for (size_t I = 0; I < LengthBytes; ++I)
    Prefix[I] = static_cast<char>(Length >> (8 * I));
  Of->Stream->write(std::string_view(Prefix, LengthBytes));
  Of->Stream->write(Bytes);
  this->Sent[Of->Purpose] += LengthBytes + Bytes.size();
  Of->TotalBytes += LengthBytes + Bytes.size();
  this->Hook.UsageChanged(Link);
  return true;
}

void Transport::received(uint64_t Id, std::string_view Bytes) {
  Connection *Of = this->find(Id);
  if (!Of || Of->Doomed)
    return;
  Of->TotalBytes += Bytes.size();
  this->Hook.UsageChanged(Id);
  Of->Reading.append(Bytes);
  if (Of->Purpose)
    this->Received[Of->Purpose] += Bytes.size();
  this->readFrames(Id);
}

// What a hook does may close the link, so it is looked up for each frame.
void Transport::readFrames(uint64_t Id) {
  size_t At = 0;
  while (true) {
    Connection *Of = this->find(Id);
    if (!Of || Of->Doomed)
      return;
    if (Of->Purpose == 0 && !Of->Reading.empty()) {
      Of->Purpose = Of->Reading[At++];
      this->Received[Of->Purpose] += Of->Reading.size();
      this->Hook.Opened(Id, Of->Purpose, "", this->Now());
      continue;
    }
    std::string_view Rest = std::string_view(Of->Reading).substr(At);
    uint32_t Length = 0;
    for (size_t I = 0; Rest.size() >= LengthBytes && I < LengthBytes; ++I)
      Length |= static_cast<uint32_t>(static_cast<unsigned char>(Rest[I]))
                << (8 * I);
    if (Length > this->Opts.MaxFrameBytes)
      return this->fail(*Of,
                        Error{Errc::TooLarge, "receive", Of->PeerText,
                              std::to_string(Length) + " bytes in one frame"});
    if (Rest.size() < LengthBytes || Rest.size() - LengthBytes < Length) {
      Of->Reading.erase(0, At);
      if (Of->Reading.empty())
        std::string().swap(Of->Reading);
      return;
    }
    // The handler gets its own copy, aligned for FlatBuffers; the buffer may
    // be gone by the time that it returns.
    std::string Frame(Rest.substr(LengthBytes, Length));
    At += LengthBytes + Length;
    this->Hook.Frame(Id, Of->Purpose, Frame, this->Now());
  }
}

void Transport::ended(uint64_t Id, std::error_code Why, TimePoint) {
  Connection *Of = this->find(Id);
  if (!Of || Of->Doomed)
    return;
  bool Connecting = Of->Connecting;
  this->tellEnd(Id, Error{Connecting ? Errc::Unreachable : Errc::Closed,
                          Connecting ? "dial" : "receive", Of->PeerText,
                          Why ? Why.message() : "closed by the peer"});
}

void Transport::fail(Connection &Of, const Error &Why) {
  if (std::exchange(Of.Doomed, true))
    return;
  Of.Stream->close();
  if (this->Failed.empty())
    Reactor::get().atTurnEnd([this, Still = std::weak_ptr<bool>(this->Alive)] {
      if (Still.lock())
        this->reap();
    });
  this->Failed.emplace_back(Of.Id, Why);
}

void Transport::reap() {
  for (const auto &[Id, Why] : std::exchange(this->Failed, {}))
    this->tellEnd(Id, Why);
}

void Transport::tellEnd(uint64_t Id, const Error &Why) {
  Connection *Of = this->find(Id);
  if (!Of)
    return;
  char Purpose = Of->Purpose;
  std::string Dialled = Of->Dialled;
  bool Connecting = Of->Connecting;
  this->release(*Of);
  if (Connecting)
    this->Hook.DialFailed(Purpose, Dialled, Why, this->Now());
  else if (Purpose)
    this->Hook.Closed(Id, Purpose, Why, this->Now());
}

void Transport::close(uint64_t Link) {
  Connection *Of = this->find(Link);
  if (!Of)
    return;
  Of->Stream->flush();
  this->release(*Of);
}

void Transport::release(Connection &Of) {
  if (Of.Timer)
    g_source_remove(Of.Timer);
  Of.Stream->close();
  this->Hook.UsageChanged(Of.Id);
  this->Links.erase(Of.Id);
}

std::optional<ResourceBudget::Usage> Transport::usage(uint64_t Link) const {
  auto Found = this->Links.find(Link);
  if (Found == this->Links.end() || Found->second->Doomed)
    return std::nullopt;
  const Connection &Of = *Found->second;
  ResourceBudget::Usage Out;
  Out.Bytes = Of.Reading.capacity() + Of.Stream->reserved();
  Out.Connections = Of.Dialled.empty() ? 1 : 0;
  Out.TotalBytes = Of.TotalBytes;
  return Out;
}

void Transport::evict(uint64_t Link) {
  if (Connection *Of = this->find(Link))
    this->fail(*Of, Error{Errc::TooLarge, "evict", Of->PeerText,
                          "this node holds too much for others"});
}

uint64_t Transport::bytesSent(char Purpose) const {
  auto Found = this->Sent.find(Purpose);
  return Found == this->Sent.end() ? 0 : Found->second;
}

uint64_t Transport::bytesReceived(char Purpose) const {
  auto Found = this->Received.find(Purpose);
  return Found == this->Received.end() ? 0 : Found->second;
}

} // namespace hickorylift
