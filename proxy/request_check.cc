#include "proxy/request_check.h"

#include <algorithm>
#include <array>
#include <string>

#include "proxy/http_text.h"

namespace damasktack {

namespace {

// Enough for any number within the limits, and cannot overflow 64 bits.
constexpr std::size_t kMaxDigits = 18;

bool IsControl(char it) {
  const auto code = static_cast<unsigned char>(it);
  return (code < 0x20 && it != '\t') || code == 0x7f;
}

bool IsNumber(std::string_view text) {
  return !text.empty() && text.size() <= kMaxDigits &&
         std::ranges::all_of(text, IsDigit);
}

char Lower(char it) {
  return it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it;
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, {}, Lower, Lower);
}

std::string_view Trim(std::string_view text) {
  const auto is_blank = [](char it) { return it == ' ' || it == '\t'; };
  while (!text.empty() && is_blank(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && is_blank(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

Failure MakeBadRequest(std::string found) {
  return MakeFailure(FailureKind::kBadRequest, std::move(found));
}

int HexValue(char it) {
  if (IsDigit(it)) {
    return it - '0';
  }
  const char low = Lower(it);
  return low >= 'a' && low <= 'f' ? low - 'a' + 10 : -1;
}

// Returns the path with its percent escapes decoded, or null if an escape is
// invalid.
std::optional<std::string> Unescape(std::string_view path) {
  std::string plain;
  for (std::size_t n = 0; n < path.size(); ++n) {
    if (path[n] != '%') {
      plain += path[n];
      continue;
    }
    const int high = n + 2 < path.size() ? HexValue(path[n + 1]) : -1;
    const int low = n + 2 < path.size() ? HexValue(path[n + 2]) : -1;
    if (high < 0 || low < 0) {
      return std::nullopt;
    }
    plain += static_cast<char>(high * 16 + low);
    n += 2;
  }
  return plain;
}

bool HasDotSegment(std::string_view path) {
  while (true) {
    const std::size_t end = path.find('/');
    const std::string_view segment = path.substr(0, end);
    if (segment == "." || segment == "..") {
      return true;
    }
    if (end == std::string_view::npos) {
      return false;
    }
    path.remove_prefix(end + 1);
  }
}

// The contract's rules are matched against the path without resolving dot
// segments. An endpoint that resolves `..` would serve a different path from
// the one that was checked, so dot segments are refused in any spelling.
std::optional<Failure> CheckTarget(std::string_view target) {
  if (target.empty() || target.front() != '/') {
    return MakeBadRequest("a target that does not start with '/'");
  }
  const auto is_plain = [](char it) { return it > 0x20 && it < 0x7f; };
  if (!std::ranges::all_of(target, is_plain)) {
    return MakeBadRequest("a target with characters outside printable ASCII");
  }
  if (target.find_first_of("#\\") != std::string_view::npos) {
    return MakeBadRequest("a target with '#' or a backslash");
  }
  const std::optional<std::string> resolved =
      Unescape(target.substr(0, target.find('?')));
  if (!resolved) {
    return MakeBadRequest("a target with a broken escape");
  }
  if (std::ranges::any_of(*resolved, IsControl) ||
      resolved->find('\\') != std::string::npos) {
    return MakeBadRequest(
        "a target with an escaped control character or backslash");
  }
  if (HasDotSegment(*resolved)) {
    return MakeBadRequest("a target with dot segments");
  }
  return std::nullopt;
}

// Headers that determine how a request is parsed or which caller it belongs to.
// Each may appear only once.
enum class HeaderId {
  kHost,
  kContentLength,
  kTransferEncoding,
  kExpect,
  kKey,
  kIdempotencyKey,
  kDeadline,
  kDepth,
  kAttempt,
  kOther,
};

struct HeaderName {
  std::string_view name;
  HeaderId id;
};

constexpr std::array<HeaderName, 9> kCheckedHeaders = {{
    {"Host", HeaderId::kHost},
    {"Content-Length", HeaderId::kContentLength},
    {"Transfer-Encoding", HeaderId::kTransferEncoding},
    {"Expect", HeaderId::kExpect},
    {kKeyHeader, HeaderId::kKey},
    {kIdempotencyKeyHeader, HeaderId::kIdempotencyKey},
    {kDeadlineHeader, HeaderId::kDeadline},
    {kDepthHeader, HeaderId::kDepth},
    {kAttemptHeader, HeaderId::kAttempt},
}};

HeaderId ClassifyHeader(std::string_view name) {
  const auto it =
      std::ranges::find_if(kCheckedHeaders, [&](const HeaderName& candidate) {
        return EqualsIgnoringCase(candidate.name, name);
      });
  return it == kCheckedHeaders.end() ? HeaderId::kOther : it->id;
}

// Checks one complete request head line by line.
class HeadChecker {
 public:
  std::optional<Failure> Check(std::string_view head);

 private:
  std::optional<Failure> CheckFirstLine(std::string_view line);
  std::optional<Failure> CheckHeaderLine(std::string_view line);
  std::optional<Failure> CheckValue(HeaderId id, std::string_view value) const;
  std::optional<Failure> CheckWhole() const;
  bool Has(HeaderId id) const { return seen_[static_cast<std::size_t>(id)]; }

  bool is_1_0_ = false;
  bool is_trace_ = false;
  // The value of Content-Length has a digit other than 0.
  bool has_length_ = false;
  std::size_t lines_ = 0;
  std::array<bool, kCheckedHeaders.size()> seen_{};
};

std::optional<Failure> HeadChecker::CheckFirstLine(std::string_view line) {
  const std::size_t first = line.find(' ');
  const std::size_t second =
      first == std::string_view::npos ? first : line.find(' ', first + 1);
  if (second == std::string_view::npos) {
    return MakeBadRequest("a first line without method, target and version");
  }
  const std::string_view version = line.substr(second + 1);
  if (!IsToken(line.substr(0, first))) {
    return MakeBadRequest("a method that is no token");
  }
  is_trace_ = line.substr(0, first) == "TRACE";
  if (auto fault = CheckTarget(line.substr(first + 1, second - first - 1))) {
    return fault;
  }
  is_1_0_ = version == "HTTP/1.0";
  if (version.starts_with("HTTP/") && version != "HTTP/1.1" && !is_1_0_) {
    return MakeFailure(FailureKind::kVersion);
  }
  if (!version.starts_with("HTTP/")) {
    return MakeBadRequest("a first line that does not end with the version");
  }
  return std::nullopt;
}

std::optional<Failure> HeadChecker::CheckValue(HeaderId id,
                                               std::string_view value) const {
  switch (id) {
    case HeaderId::kContentLength:
    case HeaderId::kDeadline:
    case HeaderId::kDepth:
    case HeaderId::kAttempt:
      if (!IsNumber(value)) {
        return MakeBadRequest(
            "a length, deadline, depth or attempt that is not digits");
      }
      break;
    case HeaderId::kTransferEncoding:
      if (!EqualsIgnoringCase(value, "chunked")) {
        return MakeFailure(FailureKind::kNotSupported);
      }
      break;
    case HeaderId::kExpect:
      if (!EqualsIgnoringCase(value, "100-continue")) {
        return MakeFailure(FailureKind::kExpectation);
      }
      break;
    case HeaderId::kIdempotencyKey:
      if (value.empty() || value.size() > kMaxIdempotencyKeyLength) {
        return MakeBadRequest(
            "an Idempotency-Key that is empty or over 255 characters");
      }
      break;
    case HeaderId::kHost:
      if (value.find_first_of(" \t,/@") != std::string_view::npos) {
        return MakeBadRequest("a Host that is no host");
      }
      break;
    default:
      break;
  }
  return std::nullopt;
}

std::optional<Failure> HeadChecker::CheckHeaderLine(std::string_view line) {
  if (++lines_ > kMaxRequestHeaders) {
    return MakeFailure(FailureKind::kHeadTooLarge, "over 100 header lines");
  }
  // This also refuses folded lines, which start with a blank.
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon))) {
    return MakeBadRequest(
        "a header line without a plain name right before its colon");
  }
  const std::string_view value = Trim(line.substr(colon + 1));
  if (std::ranges::any_of(value, IsControl)) {
    return MakeBadRequest("a header value with control characters");
  }
  const HeaderId id = ClassifyHeader(line.substr(0, colon));
  if (id == HeaderId::kOther) {
    return std::nullopt;
  }
  bool& seen = seen_[static_cast<std::size_t>(id)];
  if (seen) {
    return MakeBadRequest("the header " + std::string(line.substr(0, colon)) +
                          " twice");
  }
  seen = true;
  if (id == HeaderId::kContentLength) {
    has_length_ = value.find_first_not_of('0') != std::string_view::npos;
  }
  return CheckValue(id, value);
}

std::optional<Failure> HeadChecker::CheckWhole() const {
  if (!is_1_0_ && !Has(HeaderId::kHost)) {
    return MakeBadRequest("no Host");
  }
  if (Has(HeaderId::kTransferEncoding) && Has(HeaderId::kContentLength)) {
    return MakeBadRequest("Content-Length with Transfer-Encoding");
  }
  if (Has(HeaderId::kTransferEncoding) && is_1_0_) {
    return MakeBadRequest("Transfer-Encoding in HTTP/1.0");
  }
  // Forbidden by RFC 9110, 9.3.8; Beast does not serialize such a request.
  if (is_trace_ && (has_length_ || Has(HeaderId::kTransferEncoding))) {
    return MakeBadRequest("a body in TRACE");
  }
  return std::nullopt;
}

std::optional<Failure> HeadChecker::Check(std::string_view head) {
  head.remove_suffix(kLineEnd.size());
  bool is_first = true;
  while (!head.empty()) {
    const std::size_t end = head.find(kLineEnd);
    const std::string_view line = head.substr(0, end);
    head.remove_prefix(end + kLineEnd.size());
    auto fault = is_first ? CheckFirstLine(line) : CheckHeaderLine(line);
    if (fault) {
      return fault;
    }
    is_first = false;
  }
  return CheckWhole();
}

}  // namespace

std::optional<Failure> CheckRequestHead(std::string_view head) {
  return HeadChecker().Check(head);
}

std::string PathForRules(std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  std::string plain = Unescape(path).value_or(std::string(path));
  const auto both_slashes = [](char a, char b) { return a == '/' && b == '/'; };
  plain.erase(std::unique(plain.begin(), plain.end(), both_slashes),
              plain.end());
  return plain;
}

std::optional<Failure> CheckPartialHead(std::string_view bytes) {
  if (!bytes.empty() && !IsTokenChar(bytes.front())) {
    return MakeBadRequest("a first byte that starts no method");
  }
  for (std::size_t at = bytes.find('\n'); at != std::string_view::npos;
       at = bytes.find('\n', at + 1)) {
    if (at == 0 || bytes[at - 1] != '\r') {
      return MakeBadRequest("a line that ends without a carriage return");
    }
  }
  return std::nullopt;
}

}  // namespace damasktack
