#ifndef HICKORYLIFT_BASE_HTTPFETCH_H
#define HICKORYLIFT_BASE_HTTPFETCH_H

#include "base/Error.h"
#include "base/Time.h"

#include <libsoup/soup.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

// An HttpFetcher reads from one HTTP server with limits of time and bytes on
// each request. For reading a platform, not for carrying calls.
//
//   HttpFetcher Get(Options, Clock);
//   Get.fetch("/v1/values/x", "platform-get", Millis(3000),
//             [](const Result<HttpReply> &Got, TimePoint Now) { ... });

namespace hickorylift {

struct HttpReply {
  unsigned Status = 0;
  std::string Body;
  /// Names in lower case.
  std::map<std::string, std::string> Headers;
  /// Time from the head of the response to its end.
  Millis TransferTime{0};
};

class HttpFetcher {
public:
  struct Options {
    /// "ip:port".
    std::string Address;
    size_t MaxBytes = 1u << 20;
    /// Connections at once.
    unsigned Connections = 20;
    /// A connection whose peer answers no probe of the kernel for this long is
    /// given up, also while a request waits on it; 0 for never. Something in
    /// between may lose track of a connection without a reset, and a request
    /// that waits for a change would hang on it unseen.
    std::chrono::seconds SilenceLimit{0};
    /// A response is given up when no more of it arrives for this long. How
    /// long a transfer takes depends on its size and on the other traffic of
    /// the link, so a limit on all of it would make a large response fail
    /// every time while the link is busy.
    Millis StallLimit{1500};
    /// Longest transfer of a response, however it progresses.
    Millis MaxTransfer{30000};
    /// Interim responses (1xx) to one request. The library reads them without
    /// returning to the loop while they keep arriving, so no timer could end a
    /// request that gets them without end.
    unsigned MaxInterimResponses = 32;
  };
  using GotReply = std::function<void(Result<HttpReply>, TimePoint)>;

  HttpFetcher(Options Opts, std::function<TimePoint()> Now);
  ~HttpFetcher();
  HttpFetcher(const HttpFetcher &) = delete;
  HttpFetcher &operator=(const HttpFetcher &) = delete;

  /// Identifies a request of this fetcher. Never reused.
  using RequestId = uint64_t;

  /// Done is called once, never from within. Step is for errors; a reply of
  /// any status is a result. HeadLimit is the time until the head of the
  /// response; its body is bounded by Options::StallLimit.
  RequestId fetch(const std::string &Path, const std::string &Step,
                  Millis HeadLimit, GotReply Done);
  /// Ends a request, and closes its connection if a response is being received.
  /// Done gets an error. Ignored if the request has ended.
  void cancel(RequestId Request);
  const std::string &address() const { return this->Opts.Address; }

private:
  static void onNetworkEvent(SoupMessage *, GSocketClientEvent Event,
                             GIOStream *Stream, gpointer Self);

  Options Opts;
  std::function<TimePoint()> Now;
  SoupSession *Session;
  // Requests in progress. Shared with them, as they may outlive the fetcher.
  std::shared_ptr<std::map<RequestId, GCancellable *>> Running =
      std::make_shared<std::map<RequestId, GCancellable *>>();
  RequestId LastRequest = 0;
};

} // namespace hickorylift

#endif
