#ifndef HICKORYLIFT_HTTP_MESSAGEPARSER_H
#define HICKORYLIFT_HTTP_MESSAGEPARSER_H

#include "calls/Message.h"

#include <boost/beast/http/basic_parser.hpp>

#include <functional>

// The parsers turn the bytes of one HTTP/1.1 message into a head and pieces of
// body. Boost.Beast reads the syntax; what a proxy must refuse besides, because
// two readers could see the message end at different places, is checked here.
//
//   RequestParser In(/*MaxHeaderBytes=*/16384);
//   size_t Used = In.feed(Bytes, [&](std::string_view Piece) { ... });
//   if (In.failed()) ...            // status() says with what to refuse
//   if (In.headDone()) use(In.head());
//   if (In.done()) ...              // Bytes past Used are the next message's

namespace hickorylift {

/// Takes pieces of a body as they are parsed.
using BodySink = std::function<void(std::string_view)>;

class RequestParser
    : private boost::beast::http::basic_parser</*isRequest=*/true> {
public:
  /// MaxHeaderBytes also limits what frames one chunk of the body, and its
  /// trailer.
  explicit RequestParser(size_t MaxHeaderBytes);

  /// Returns how many bytes were used; the rest must be given again together
  /// with what follows. Stops after the head, so that the caller can look at
  /// it before the body comes.
  size_t feed(std::string_view Bytes, const BodySink &Sink);
  bool headDone() const { return this->HeadSeen; }
  bool done() const { return this->is_done(); }
  bool failed() const { return this->Status != 0; }
  /// The status to refuse with: 400, 431 or 501; 0 while nothing is wrong.
  unsigned status() const { return this->Status; }
  const RequestHead &head() const { return this->Head; }
  RequestHead takeHead() { return std::move(this->Head); }
  /// Whether the caller means to send more on this connection.
  bool keepsAlive() const { return this->keep_alive(); }
  bool isHttp10() const { return this->Version < 11; }
  /// Whether the caller waits for an interim answer before it sends the body.
  /// Never one of HTTP/1.0, which has no interim answers.
  bool awaitsContinue() const;

private:
  using Base = boost::beast::http::basic_parser<true>;
  using ErrorCode = boost::beast::error_code;
  using View = boost::beast::string_view;

  void checkHead();

  void on_request_impl(boost::beast::http::verb, View Method, View Target,
                       int HttpVersion, ErrorCode &) override;
  void on_response_impl(int, View, int, ErrorCode &) override {}
  void on_field_impl(boost::beast::http::field, View Name, View Value,
                     ErrorCode &) override;
  void on_header_impl(ErrorCode &) override { this->HeadSeen = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t> &,
                         ErrorCode &) override {}
  size_t on_body_impl(View Piece, ErrorCode &) override;
  void on_chunk_header_impl(std::uint64_t, View, ErrorCode &) override {}
  size_t on_chunk_body_impl(std::uint64_t, View Piece, ErrorCode &) override;
  void on_finish_impl(ErrorCode &) override {}

  size_t MaxUnused;
  RequestHead Head;
  const BodySink *Sink = nullptr;
  bool HeadSeen = false;
  int Version = 11;
  unsigned Status = 0;
};

class ResponseParser
    : private boost::beast::http::basic_parser</*isRequest=*/false> {
public:
  /// MaxHeaderBytes as for a request. WithoutBody: the answer to HEAD, which
  /// states a length and sends nothing.
  ResponseParser(size_t MaxHeaderBytes, bool WithoutBody);

  size_t feed(std::string_view Bytes, const BodySink &Sink);
  /// The connection ended in order. True if that completes the message, which
  /// holds only for one without a length.
  bool finishAtEnd();
  bool headDone() const { return this->HeadSeen; }
  bool done() const { return this->is_done(); }
  bool failed() const { return this->Bad; }
  const ResponseHead &head() const { return this->Head; }
  bool keepsAlive() const { return this->keep_alive(); }
  /// Whether only the end of the connection ends the body.
  bool endsWithConnection() const { return this->need_eof(); }
  /// Seconds of the field Keep-Alive; nullopt where it says nothing.
  std::optional<std::chrono::seconds> keepAliveFor() const;

private:
  using Base = boost::beast::http::basic_parser<false>;
  using ErrorCode = boost::beast::error_code;
  using View = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb, View, View, int,
                       ErrorCode &) override {}
  void on_response_impl(int Status, View Reason, int, ErrorCode &) override;
  void on_field_impl(boost::beast::http::field, View Name, View Value,
                     ErrorCode &) override;
  void on_header_impl(ErrorCode &) override { this->HeadSeen = true; }
  void on_body_init_impl(const boost::optional<std::uint64_t> &,
                         ErrorCode &) override {}
  size_t on_body_impl(View Piece, ErrorCode &) override;
  void on_chunk_header_impl(std::uint64_t, View, ErrorCode &) override {}
  size_t on_chunk_body_impl(std::uint64_t, View Piece, ErrorCode &) override;
  void on_finish_impl(ErrorCode &) override {}

  size_t MaxUnused;
  ResponseHead Head;
  const BodySink *Sink = nullptr;
  bool HeadSeen = false;
  bool Bad = false;
};

} // namespace hickorylift

#endif
