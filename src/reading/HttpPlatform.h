#ifndef HICKORYLIFT_READING_HTTPPLATFORM_H
#define HICKORYLIFT_READING_HTTPPLATFORM_H

#include "base/HttpFetch.h"
#include "reading/Platform.h"

namespace hickorylift {

/// The platform over HTTP, as docs/PLATFORM.md gives it. At most one value of
/// MaxValueBytes is held for each call under way.
class HttpPlatform final : public Platform {
public:
  struct Options {
    /// "ip:port".
    std::string Address;
    Millis Timeout{3000};
    size_t MaxValueBytes = 1u << 20;
  };

  /// Now gives the time at which an answer is handed on; the loop's clock.
  HttpPlatform(const Options &Opts, std::function<TimePoint()> Now);

  void get(const std::string &Key, TimePoint Now, ValueCallback Done) override;
  void watch(const std::vector<std::string> &Keys, uint64_t After, Millis Wait,
             TimePoint Now, ChangesCallback Done) override;

private:
  using ReplyCallback =
      std::function<void(Result<std::pair<uint64_t, std::string>>, TimePoint)>;

  void send(const std::string &Path, const std::string &Step, Millis Limit,
            const ReplyCallback &Done);

  Options Opts;
  HttpFetcher Http;
};

} // namespace hickorylift

#endif
