#include "http/MessageParser.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

#include <strings.h>

// Beast wants a head in one piece, so bytes that it has not used are given
// again with what follows; it remembers how far it has looked. It refuses two
// lengths that differ, a length beside chunks, and sizes that are no numbers.
// What is left to check: a transfer coding that does not end in chunks, a
// request without a host or with two, and a target that is not a path.
//
// Beast limits the size of a head, but not that of what frames the chunks of a
// body (sizes, extensions and trailers), which it wants in one piece as well.
// The same limit is applied here: without it, bytes that never complete such a
// piece would all be kept.

namespace hickorylift {

namespace {

namespace http = boost::beast::http;

constexpr unsigned BadRequest = 400;
constexpr unsigned HeadTooLarge = 431;
constexpr unsigned NotImplemented = 501;
constexpr int FirstStatus = 100;
constexpr int SwitchingProtocols = 101;
constexpr int LastStatus = 599;
// Whoever takes the pieces counts them. Beast's own "no limit" refuses every
// body that states its length.
constexpr std::uint64_t NoBodyLimit = std::numeric_limits<int64_t>::max();
const char KeepAliveTimeout[] = "timeout=";

std::string text(boost::beast::string_view Of) {
  return {Of.data(), Of.size()};
}

bool sameWord(std::string_view A, std::string_view B) {
  return A.size() == B.size() && strncasecmp(A.data(), B.data(), A.size()) == 0;
}

size_t count(const HeaderList &Headers, std::string_view Name) {
  return static_cast<size_t>(std::count_if(
      Headers.begin(), Headers.end(),
      [&](const HeaderField &One) { return sameWord(One.Name, Name); }));
}

/// Feeds a parser until it wants more bytes, or its head is done. Fails if it
/// wants more than MaxUnused bytes in one piece.
template <typename ParserT>
size_t feedAll(ParserT &To, std::string_view Bytes, size_t MaxUnused,
               bool &Failed, boost::beast::error_code &Why) {
  size_t Used = 0;
  bool HadHead = To.is_header_done();
  while (!To.is_done() && Used < Bytes.size()) {
    Why = {};
    size_t Took = To.put(
        boost::asio::const_buffer(Bytes.data() + Used, Bytes.size() - Used),
        Why);
    Used += Took;
    bool WantsMore = Why == http::error::need_more;
    bool Stalled = WantsMore || (Took == 0 && !To.is_done());
    if (Stalled && Bytes.size() - Used > MaxUnused)
      Why = http::error::buffer_overflow;
    Failed = Why && Why != http::error::need_more;
    if (Failed || Stalled)
      break;
    if (!HadHead && To.is_header_done())
      break;
  }
  return Used;
}

} // namespace

RequestParser::RequestParser(size_t MaxHeaderBytes)
    : MaxUnused(MaxHeaderBytes) {
  this->header_limit(static_cast<std::uint32_t>(MaxHeaderBytes));
  this->body_limit(NoBodyLimit);
}

size_t RequestParser::feed(std::string_view Bytes, const BodySink &To) {
  this->Sink = &To;
  bool HadHead = this->HeadSeen;
  bool Failed = false;
  ErrorCode Why;
  size_t Used =
      feedAll(static_cast<Base &>(*this), Bytes, this->MaxUnused, Failed, Why);
  this->Sink = nullptr;
  if (Failed)
    this->Status = Why == http::error::header_limit ? HeadTooLarge : BadRequest;
  else if (!HadHead && this->HeadSeen)
    this->checkHead();
  return Used;
}

// Beast announces a body only when its first byte is there.
void RequestParser::checkHead() {
  this->Head.Length =
      this->chunked()
          ? UnknownLength
          : static_cast<int64_t>(this->content_length().value_or(0));
  std::string Coding = findHeader(this->Head.Headers, "Transfer-Encoding");
  if (!Coding.empty() && !sameWord(Coding, "chunked"))
    this->Status = NotImplemented;
  bool BadTarget = this->Head.Path.empty() || this->Head.Path[0] != '/';
  size_t Hosts = count(this->Head.Headers, "Host");
  if (BadTarget || Hosts > 1 || (Hosts == 0 && !this->isHttp10()))
    this->Status = BadRequest;
}

bool RequestParser::awaitsContinue() const {
  return !this->isHttp10() &&
         sameWord(findHeader(this->Head.Headers, "Expect"), "100-continue");
}

void RequestParser::on_request_impl(http::verb, View Method, View Target,
                                    int HttpVersion, ErrorCode &) {
  this->Head.Method = text(Method);
  this->Head.Path = text(Target);
  this->Version = HttpVersion;
}

void RequestParser::on_field_impl(http::field, View Name, View Value,
                                  ErrorCode &) {
  this->Head.Headers.push_back({text(Name), text(Value)});
}

size_t RequestParser::on_body_impl(View Piece, ErrorCode &) {
  (*this->Sink)({Piece.data(), Piece.size()});
  return Piece.size();
}

size_t RequestParser::on_chunk_body_impl(std::uint64_t, View Piece,
                                         ErrorCode &) {
  (*this->Sink)({Piece.data(), Piece.size()});
  return Piece.size();
}

ResponseParser::ResponseParser(size_t MaxHeaderBytes, bool WithoutBody)
    : MaxUnused(MaxHeaderBytes) {
  this->header_limit(static_cast<std::uint32_t>(MaxHeaderBytes));
  this->body_limit(NoBodyLimit);
  this->skip(WithoutBody);
}

size_t ResponseParser::feed(std::string_view Bytes, const BodySink &To) {
  this->Sink = &To;
  ErrorCode Why;
  size_t Used = feedAll(static_cast<Base &>(*this), Bytes, this->MaxUnused,
                        this->Bad, Why);
  this->Sink = nullptr;
  bool Stated = this->HeadSeen && !this->chunked() && !this->need_eof();
  if (Stated)
    this->Head.Length =
        static_cast<int64_t>(this->content_length().value_or(0));
  return Used;
}

bool ResponseParser::finishAtEnd() {
  if (!this->HeadSeen || this->Bad || !this->need_eof())
    return false;
  ErrorCode Why;
  this->put_eof(Why);
  return !Why && this->is_done();
}

std::optional<std::chrono::seconds> ResponseParser::keepAliveFor() const {
  std::string Text = findHeader(this->Head.Headers, "Keep-Alive");
  size_t At = Text.find(KeepAliveTimeout);
  if (At == std::string::npos)
    return std::nullopt;
  const char *From = Text.data() + At + sizeof(KeepAliveTimeout) - 1;
  unsigned Seconds = 0;
  auto [Stop, Code] = std::from_chars(From, Text.data() + Text.size(), Seconds);
  if (Code != std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

// A status outside the protocol's classes is no answer. Neither is 101: no
// request here asks for another protocol.
void ResponseParser::on_response_impl(int Status, View Reason, int,
                                      ErrorCode &Why) {
  bool IsStatus = Status >= FirstStatus && Status <= LastStatus &&
                  Status != SwitchingProtocols;
  if (!IsStatus)
    Why = http::error::bad_status;
  this->Head.Status = static_cast<unsigned>(Status);
  this->Head.Reason = text(Reason);
}

void ResponseParser::on_field_impl(http::field, View Name, View Value,
                                   ErrorCode &) {
  this->Head.Headers.push_back({text(Name), text(Value)});
}

size_t ResponseParser::on_body_impl(View Piece, ErrorCode &) {
  (*this->Sink)({Piece.data(), Piece.size()});
  return Piece.size();
}

size_t ResponseParser::on_chunk_body_impl(std::uint64_t, View Piece,
                                          ErrorCode &) {
  (*this->Sink)({Piece.data(), Piece.size()});
  return Piece.size();
}

} // namespace hickorylift
