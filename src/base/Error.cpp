#include "base/Error.h"

namespace hickorylift {

namespace {

class Category final : public std::error_category {
public:
  const char *name() const noexcept override { return "hickorylift"; }

  std::string message(int Value) const override {
    switch (static_cast<Errc>(Value)) {
    case Errc::Timeout:
      return "timeout";
    case Errc::Unreachable:
      return "unreachable";
    case Errc::Closed:
      return "closed";
    case Errc::BadMessage:
      return "bad-message";
    case Errc::TooLarge:
      return "too-large";
    case Errc::Refused:
      return "refused";
    case Errc::Busy:
      return "busy";
    case Errc::Stale:
      return "stale";
    case Errc::NotFound:
      return "not-found";
    case Errc::Invalid:
      return "invalid";
    case Errc::Cancelled:
      return "cancelled";
    }
    return "unknown";
  }
};

} // namespace

const std::error_category &errorCategory() {
  static const Category Instance;
  return Instance;
}

std::string Error::text() const {
  return "code=" + this->Code.message() + " step=" + this->Step +
         " peer=" + this->Peer + " detail=\"" + this->Detail + "\"";
}

} // namespace hickorylift
