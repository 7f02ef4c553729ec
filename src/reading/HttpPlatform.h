#ifndef HICKORYLIFT_READING_HTTPPLATFORM_H
#define HICKORYLIFT_READING_HTTPPLATFORM_H

#include "base/HttpFetch.h"
#include "reading/Platform.h"

namespace hickorylift {

/// Client of the platform's HTTP protocol, described in docs/PLATFORM.md.
/// Buffers at most MaxValueBytes for each request in progress.
class HttpPlatform final : public Platform {
public:
  struct Options {
    /// "ip:port".
    std::string Address;
    Millis Timeout{3000};
    size_t MaxValueBytes = 1u << 20;
  };

  /// Now returns the event loop's time, which is passed to the callbacks.
  HttpPlatform(const Options &Opts, std::function<TimePoint()> Now);

  void get(const std::string &Key, TimePoint Now, ValueCallback Done) override;
  void watch(const std::vector<std::string> &Keys, uint64_t After, Millis Wait,
             TimePoint Now, ChangesCallback Done) override;

private:
  using ReplyCallback =
      std::function<void(Result<std::pair<uint64_t, std::string>>, TimePoint)>;

  void send(const std::string &Path, const std::string &Step, Millis Timeout,
            const ReplyCallback &Done);

  Options Opts;
  HttpFetcher Http;
};

} // namespace hickorylift

#endif
