#ifndef CORE_JSON_READER_H_
#define CORE_JSON_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/time.h"

namespace damasktack {

using Json = nlohmann::json;

// Parses JSON that may contain comments. `where` names the source in errors.
leaf::result<Json> ParseJson(std::string_view text, std::string_view where);

// Parses "250us", "5ms", "3s", "2min" or "1h". A number without a unit is
// rejected, because seconds and milliseconds would be confused.
leaf::result<Duration> ParseDuration(std::string_view text,
                                     std::string_view where);
std::string FormatDuration(Duration duration);

// IP address and port, written as "10.0.0.1:8080" or "[::1]:8080". Host names
// are rejected.
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const SocketAddress&) const = default;
};

leaf::result<SocketAddress> ParseSocketAddress(std::string_view text,
                                               std::string_view where);
std::string ToString(const SocketAddress& address);

// Reads the members of one JSON object and keeps the first error, so that a
// parser reads all members in sequence and checks for errors once:
//
//   JsonReader reader(json, "proxy");
//   reader.Read("listen", options.listen);
//   reader.ReadOptional("threads", options.threads, 1, 64);
//   return reader.Finish();
//
// Finish fails if the object has members that were not read.
class JsonReader {
 public:
  JsonReader(const Json& json, std::string path);

  void Read(std::string_view key, std::string& out);
  void ReadOptional(std::string_view key, std::string& out);
  void Read(std::string_view key, Duration& out, Duration low, Duration high);
  void ReadOptional(std::string_view key,
                    Duration& out,
                    Duration low,
                    Duration high);
  void Read(std::string_view key,
            std::int64_t& out,
            std::int64_t low,
            std::int64_t high);
  void ReadOptional(std::string_view key,
                    std::int64_t& out,
                    std::int64_t low,
                    std::int64_t high);
  void Read(std::string_view key, double& out, double low, double high);
  void ReadOptional(std::string_view key, double& out, double low, double high);
  // Reads a whole number from 0 to 2^64 - 1, as used for revisions and
  // incarnations.
  void Read(std::string_view key, std::uint64_t& out);
  void ReadOptional(std::string_view key, std::uint64_t& out);
  void ReadOptional(std::string_view key, bool& out);
  void Read(std::string_view key, SocketAddress& out);
  void ReadOptional(std::string_view key, SocketAddress& out);
  void ReadOptional(std::string_view key, std::vector<std::string>& out);

  // Reads one of `names`; `out` is set to its index.
  void ReadChoice(std::string_view key,
                  const std::vector<std::string_view>& names,
                  std::size_t& out);
  void ReadOptionalChoice(std::string_view key,
                          const std::vector<std::string_view>& names,
                          std::size_t& out);

  // Return the member itself, or null if it is missing or has another type. A
  // missing member is an error only for Object and Array.
  const Json* OptionalValue(std::string_view key);
  const Json* Object(std::string_view key);
  const Json* OptionalObject(std::string_view key);
  const Json* Array(std::string_view key);
  const Json* OptionalArray(std::string_view key);

  bool Has(std::string_view key) const;
  std::string PathOf(std::string_view key) const;
  void Refuse(ErrorKind kind,
              std::string_view key,
              std::string found,
              std::string remedy);

  // Records the error of a reader for a nested object, unless there is an
  // earlier one.
  void Adopt(const Error& error);

  bool failed() const { return failed_; }
  leaf::result<void> Finish();
  // For messages between daemons, where a newer sender may add members.
  leaf::result<void> FinishIgnoringUnknown();

 private:
  const Json* Find(std::string_view key, bool required);
  const Json* FindTyped(std::string_view key,
                        bool required,
                        Json::value_t type,
                        std::string_view expected);
  void ReadDuration(std::string_view key,
                    Duration& out,
                    Duration low,
                    Duration high,
                    bool required);
  void ReadInteger(std::string_view key,
                   std::int64_t& out,
                   std::int64_t low,
                   std::int64_t high,
                   bool required);
  void ReadUnsigned(std::string_view key, std::uint64_t& out, bool required);
  void ReadNumber(std::string_view key,
                  double& out,
                  double low,
                  double high,
                  bool required);
  void ReadAddress(std::string_view key, SocketAddress& out, bool required);
  void ReadNamed(std::string_view key,
                 const std::vector<std::string_view>& names,
                 std::size_t& out,
                 bool required);
  void RefuseUnknownKeys();

  const Json& json_;
  std::string path_;
  std::vector<std::string> read_keys_;
  Error error_;
  bool failed_ = false;
};

}  // namespace damasktack

#endif  // CORE_JSON_READER_H_
