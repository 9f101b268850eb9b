#ifndef CORE_ERROR_H_
#define CORE_ERROR_H_

#include <boost/leaf.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace damasktack {

namespace leaf = boost::leaf;

// What went wrong, as a kind that code can branch on and an operator can
// search the documentation for.
enum class ErrorKind {
  kInvalidJson,
  kUnknownKey,
  kMissingKey,
  kWrongType,
  kOutOfRange,
  kWrongUnit,
  kInvalidAddress,
  kDuplicate,
  kUnknownReference,
  kInvalidChart,
  kFileUnreadable,
  kUnreachable,
  kTimeout,
  kProtocol,
  kTooLarge,
  kUnauthorized,
  kStale,
  kRefused,
  kUsage,
};

std::string_view ToString(ErrorKind kind);

// The one error type that crosses package boundaries, carried by
// boost::leaf::result.
struct Error {
  ErrorKind kind = ErrorKind::kInvalidJson;
  // Where: a settings key ("proxy.listen"), a file, an address.
  std::string where;
  // What was found there.
  std::string found;
  // What to do about it, as an instruction.
  std::string remedy;

  bool operator==(const Error&) const = default;
};

// "kind at where: found; remedy", one line.
std::string ToString(const Error& error);
std::ostream& operator<<(std::ostream& out, const Error& error);

// Shorthand for the guard clauses: `return Fail(kind, where, found, remedy);`
inline leaf::error_id Fail(ErrorKind kind,
                           std::string where,
                           std::string found,
                           std::string remedy) {
  return leaf::new_error(
      Error{kind, std::move(where), std::move(found), std::move(remedy)});
}

// Runs `body`, a callable that returns leaf::result<T>, and hands an error to
// `on_error(const Error&)`, which returns T too.
template <typename Body, typename OnError>
auto Try(Body&& body, OnError&& on_error) {
  return leaf::try_handle_all(
      std::forward<Body>(body),
      [&](const Error& error) { return on_error(error); },
      [&](const leaf::error_info&) {
        return on_error(Error{ErrorKind::kProtocol, "internal",
                              "an error without a description",
                              "report this as a defect"});
      });
}

// The error of `body`, a callable that returns leaf::result<T>; null where it
// succeeds. For code that passes on an error in another form: a handler of
// LEAF that itself fails would have its new error replaced by the old one.
template <typename Body>
std::optional<Error> CaptureError(Body&& body) {
  return Try(
      [&]() -> leaf::result<std::optional<Error>> {
        BOOST_LEAF_CHECK(std::forward<Body>(body)());
        return std::optional<Error>();
      },
      [](const Error& error) { return std::optional<Error>(error); });
}

}  // namespace damasktack

#endif  // CORE_ERROR_H_
