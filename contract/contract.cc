#include "contract/contract.h"

#include <algorithm>

#include "contract/contract_check.h"

namespace damasktack {

namespace {

constexpr std::int64_t kMaxShare = 1'000'000;
constexpr std::int64_t kMaxCallsPerSecond = 10'000'000;
constexpr std::int64_t kMaxInFlight = 1'000'000;
constexpr std::int64_t kMaxWaitingPerHost = 100'000;
constexpr Duration kMinDeadline = std::chrono::milliseconds(1);
constexpr Duration kMaxDeadline = std::chrono::minutes(10);
constexpr std::size_t kSha256HexDigits = 64;

const std::vector<std::string_view> kUrgencyNames = {"urgent", "normal",
                                                     "bulk"};
const std::vector<std::string_view> kOverloadPolicyNames = {"wait", "shed"};

bool IsSha256Hex(std::string_view text) {
  return text.size() == kSha256HexDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

CustomerLimits ReadLimits(const Json& json,
                          const std::string& path,
                          JsonReader& parent) {
  CustomerLimits limits;
  JsonReader reader(json, path);
  reader.ReadOptional("calls_per_second", limits.calls_per_second, 0,
                      kMaxCallsPerSecond);
  reader.ReadOptional("in_flight", limits.in_flight, 0, kMaxInFlight);
  reader.ReadOptional("waiting_per_host", limits.waiting_per_host, 0,
                      kMaxWaitingPerHost);
  Try([&] { return reader.Finish(); },
      [&](const Error& error) { parent.Adopt(error); });
  return limits;
}

RequestRule ReadRule(const Json& json,
                     const std::string& path,
                     JsonReader& parent) {
  RequestRule rule;
  std::string service;
  auto urgency = static_cast<std::size_t>(Urgency::kNormal);
  JsonReader reader(json, path);
  reader.Read("service", service);
  reader.ReadOptional("methods", rule.methods);
  reader.ReadOptional("path_prefix", rule.path_prefix);
  reader.ReadOptional("idempotent", rule.idempotent);
  reader.ReadOptionalChoice("urgency", kUrgencyNames, urgency);
  reader.ReadOptional("deadline", rule.deadline, kMinDeadline, kMaxDeadline);
  if (!rule.path_prefix.starts_with('/')) {
    reader.Refuse(ErrorKind::kOutOfRange, "path_prefix", rule.path_prefix,
                  "start the prefix with /");
  }
  Try([&] { return reader.Finish(); },
      [&](const Error& error) { parent.Adopt(error); });
  rule.service = ServiceId(service);
  rule.urgency = static_cast<Urgency>(urgency);
  return rule;
}

bool Matches(const RequestRule& rule,
             const ServiceId& service,
             std::string_view method,
             std::string_view path) {
  if (rule.service != service || !path.starts_with(rule.path_prefix)) {
    return false;
  }
  return rule.methods.empty() ||
         std::ranges::find(rule.methods, method) != rule.methods.end();
}

Json ToJson(const RequestRule& rule) {
  return Json{{"service", rule.service.text()},
              {"methods", rule.methods},
              {"path_prefix", rule.path_prefix},
              {"idempotent", rule.idempotent},
              {"urgency", ToString(rule.urgency)},
              {"deadline", FormatDuration(rule.deadline)}};
}

}  // namespace

std::string_view ToString(Urgency urgency) {
  return kUrgencyNames[static_cast<std::size_t>(urgency)];
}

std::string_view ToString(OverloadPolicy policy) {
  return kOverloadPolicyNames[static_cast<std::size_t>(policy)];
}

leaf::result<Contract> ParseContract(const Json& json,
                                     const std::string& path) {
  Contract contract;
  std::string customer;
  auto policy = static_cast<std::size_t>(OverloadPolicy::kWait);
  JsonReader reader(json, path);
  reader.Read("customer", customer);
  reader.ReadOptional("key_sha256", contract.key_sha256);
  reader.ReadOptional("share", contract.share, 1, kMaxShare);
  reader.ReadOptionalChoice("when_short", kOverloadPolicyNames, policy);
  reader.ReadOptional("retry_percent", contract.retry_percent, 0, 100);
  if (const Json* limits = reader.OptionalObject("limits")) {
    contract.limits = ReadLimits(*limits, reader.PathOf("limits"), reader);
  }
  if (const Json* requests = reader.Array("requests")) {
    for (std::size_t n = 0; n < requests->size(); ++n) {
      const std::string rule_path =
          reader.PathOf("requests") + "[" + std::to_string(n) + "]";
      contract.requests.push_back(ReadRule((*requests)[n], rule_path, reader));
    }
  }
  for (const std::string& digest : contract.key_sha256) {
    if (!IsSha256Hex(digest)) {
      // The value may be the key itself, which must not reach a log, so only
      // its length is reported.
      reader.Refuse(
          ErrorKind::kOutOfRange, "key_sha256",
          "a text of " + std::to_string(digest.size()) + " characters",
          "write the SHA-256 of the key as 64 lower-case hex "
          "digits, never the key itself");
    }
  }
  BOOST_LEAF_CHECK(reader.Finish());
  contract.customer = CustomerId(customer);
  contract.overload_policy = static_cast<OverloadPolicy>(policy);
  BOOST_LEAF_CHECK(CheckContract(contract, path));
  return contract;
}

Json ToJson(const Contract& contract) {
  Json requests = Json::array();
  for (const RequestRule& it : contract.requests) {
    requests.push_back(ToJson(it));
  }
  const Json limits{{"calls_per_second", contract.limits.calls_per_second},
                    {"in_flight", contract.limits.in_flight},
                    {"waiting_per_host", contract.limits.waiting_per_host}};
  return Json{{"customer", contract.customer.text()},
              {"key_sha256", contract.key_sha256},
              {"share", contract.share},
              {"when_short", ToString(contract.overload_policy)},
              {"limits", limits},
              {"retry_percent", contract.retry_percent},
              {"requests", requests}};
}

std::optional<RequestClass> Classify(const Contract& contract,
                                     const ServiceId& service,
                                     std::string_view method,
                                     std::string_view path) {
  for (const RequestRule& it : contract.requests) {
    if (Matches(it, service, method, path)) {
      return RequestClass{it.service, it.urgency, it.idempotent, it.deadline};
    }
  }
  return std::nullopt;
}

}  // namespace damasktack
