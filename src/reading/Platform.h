#ifndef HICKORYLIFT_READING_PLATFORM_H
#define HICKORYLIFT_READING_PLATFORM_H

#include "base/Error.h"
#include "base/Time.h"

#include <functional>
#include <string>
#include <vector>

// Platform is the interface to the configuration service that we read from and
// never write to. Support for another service's protocol needs only another
// subclass; HttpPlatform.h implements the protocol of docs/PLATFORM.md.

namespace hickorylift {

struct PlatformValue {
  uint64_t Revision = 0;
  std::string Bytes;
};

struct PlatformChange {
  std::string Key;
  uint64_t Revision = 0;
};

struct PlatformChanges {
  /// The platform's revision when it answered.
  uint64_t Revision = 0;
  /// Empty if nothing changed before the wait was over.
  std::vector<PlatformChange> Changed;
};

class Platform {
public:
  using ValueCallback = std::function<void(Result<PlatformValue>, TimePoint)>;
  using ChangesCallback =
      std::function<void(Result<PlatformChanges>, TimePoint)>;

  virtual ~Platform() = default;

  /// Reads one value. Done is called once, never from within get.
  virtual void get(const std::string &Key, TimePoint Now,
                   ValueCallback Done) = 0;
  /// Waits until one of the keys has a revision after After, at most Wait.
  virtual void watch(const std::vector<std::string> &Keys, uint64_t After,
                     Millis Wait, TimePoint Now, ChangesCallback Done) = 0;
};

} // namespace hickorylift

#endif
