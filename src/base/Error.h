#ifndef HICKORYLIFT_BASE_ERROR_H
#define HICKORYLIFT_BASE_ERROR_H

#include <optional>
#include <string>
#include <system_error>
#include <utility>

// An Error says what went wrong, at which step, and with which peer:
//
//   Result<Value> Got = readManifest(Bytes);
//   if (!Got)
//     log(Got.error().text()); // "step=manifest peer=127.0.0.1:7000 ..."
//   use(*Got);

namespace hickorylift {

/// What can go wrong, for std::error_code.
enum class Errc {
  Timeout = 1,
  Unreachable,
  Closed,
  BadMessage,
  TooLarge,
  Refused,
  Busy,
  Stale,
  NotFound,
  Invalid,
  Cancelled,
};

const std::error_category &errorCategory();

inline std::error_code make_error_code(Errc Code) {
  return {static_cast<int>(Code), errorCategory()};
}

struct Error {
  std::error_code Code;
  /// The step that failed, as a short hyphenated word: "platform-get".
  std::string Step;
  /// Who was at the other end: an address or an instance's name.
  std::string Peer;
  std::string Detail;

  /// One line: "code=... step=... peer=... detail=...".
  std::string text() const;
};

/// A value, or the Error that stands in its place.
template <typename T> class Result {
public:
  Result(T Value) : Held(std::move(Value)) {}
  Result(Error Why) : Why(std::move(Why)) {}

  explicit operator bool() const { return this->Held.has_value(); }
  const T &operator*() const { return *this->Held; }
  T &operator*() { return *this->Held; }
  const T *operator->() const { return &*this->Held; }
  const Error &error() const { return this->Why; }

private:
  std::optional<T> Held;
  Error Why;
};

} // namespace hickorylift

template <>
struct std::is_error_code_enum<hickorylift::Errc> : std::true_type {};

#endif
