#include "core/error.h"

#include <array>

namespace damasktack {

namespace {

struct KindName {
  ErrorKind kind;
  std::string_view name;
};

constexpr std::array kKindNames = {
    KindName{ErrorKind::kInvalidJson, "invalid-json"},
    KindName{ErrorKind::kUnknownKey, "unknown-key"},
    KindName{ErrorKind::kMissingKey, "missing-key"},
    KindName{ErrorKind::kWrongType, "wrong-type"},
    KindName{ErrorKind::kOutOfRange, "out-of-range"},
    KindName{ErrorKind::kWrongUnit, "wrong-unit"},
    KindName{ErrorKind::kInvalidAddress, "invalid-address"},
    KindName{ErrorKind::kDuplicate, "duplicate"},
    KindName{ErrorKind::kUnknownReference, "unknown-reference"},
    KindName{ErrorKind::kInvalidChart, "unsound-chart"},
    KindName{ErrorKind::kFileUnreadable, "file-unreadable"},
    KindName{ErrorKind::kUnreachable, "unreachable"},
    KindName{ErrorKind::kTimeout, "timeout"},
    KindName{ErrorKind::kProtocol, "protocol"},
    KindName{ErrorKind::kTooLarge, "too-large"},
    KindName{ErrorKind::kUnauthorized, "unauthorized"},
    KindName{ErrorKind::kStale, "stale"},
    KindName{ErrorKind::kRefused, "refused"},
    KindName{ErrorKind::kUsage, "usage"},
};

}  // namespace

std::string_view ToString(ErrorKind kind) {
  for (const KindName& it : kKindNames) {
    if (it.kind == kind) {
      return it.name;
    }
  }
  return "unknown";
}

std::string ToString(const Error& error) {
  std::string text(ToString(error.kind));
  text += " at " + error.where;
  text += ": " + error.found;
  text += "; " + error.remedy;
  return text;
}

std::ostream& operator<<(std::ostream& out, const Error& error) {
  return out << ToString(error);
}

}  // namespace damasktack
