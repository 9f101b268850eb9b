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

// Kinds of errors. Code branches on them and operators search the documentation
// for them.
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

// The error type of all public interfaces, carried by boost::leaf::result.
struct Error {
  ErrorKind kind = ErrorKind::kInvalidJson;
  // Location: a settings key ("proxy.listen"), a file, an address.
  std::string where;
  // What was found at the location.
  std::string found;
  // Remedy, worded as an instruction.
  std::string remedy;

  bool operator==(const Error&) const = default;
};

// Returns "kind at where: found; remedy" on one line.
std::string ToString(const Error& error);
std::ostream& operator<<(std::ostream& out, const Error& error);

// Creates an error to return: `return Fail(kind, where, found, remedy);`
inline leaf::error_id Fail(ErrorKind kind,
                           std::string where,
                           std::string found,
                           std::string remedy) {
  return leaf::new_error(
      Error{kind, std::move(where), std::move(found), std::move(remedy)});
}

// Runs `body`, a callable that returns leaf::result<T>, and returns its value.
// On failure returns the result of `on_error(const Error&)`, which is a T too.
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

// Returns the error of `body`, a callable that returns leaf::result<T>, or null
// if it succeeds. For code that converts an error to another form: if a LEAF
// handler itself fails, LEAF replaces the new error by the old one.
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
