#ifndef HICKORYLIFT_BASE_HTTPFETCH_H
#define HICKORYLIFT_BASE_HTTPFETCH_H

#include "base/Error.h"
#include "base/Time.h"

#include <libsoup/soup.h>

#include <functional>
#include <map>
#include <string>

// An HttpFetcher reads from one HTTP server with a limit of time and bytes on
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
  };
  using GotReply = std::function<void(Result<HttpReply>, TimePoint)>;

  HttpFetcher(Options Opts, std::function<TimePoint()> Now);
  ~HttpFetcher();
  HttpFetcher(const HttpFetcher &) = delete;
  HttpFetcher &operator=(const HttpFetcher &) = delete;

  /// Done is called once, never from within. Step is for errors; a reply of
  /// any status is a result.
  void fetch(const std::string &Path, const std::string &Step, Millis Limit,
             GotReply Done);
  const std::string &address() const { return this->Opts.Address; }

private:
  static void onNetworkEvent(SoupMessage *, GSocketClientEvent Event,
                             GIOStream *Stream, gpointer Self);

  Options Opts;
  std::function<TimePoint()> Now;
  SoupSession *Session;
};

} // namespace hickorylift

#endif
