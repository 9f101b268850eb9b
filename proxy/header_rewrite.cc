#include "proxy/header_rewrite.h"

#include <charconv>
#include <string>
#include <vector>

#include "proxy/endpoint_report_codec.h"

namespace damasktack {

namespace {

bool IsHopByHop(http::field name) {
  return name == http::field::connection || name == http::field::keep_alive ||
         name == http::field::transfer_encoding || name == http::field::te ||
         name == http::field::trailer || name == http::field::upgrade ||
         name == http::field::proxy_connection || name == http::field::expect ||
         name == http::field::proxy_authenticate ||
         name == http::field::proxy_authorization;
}

bool IsOwn(std::string_view name, std::string_view prefix) {
  return name.size() >= prefix.size() &&
         beast::iequals(ToBeast(name.substr(0, prefix.size())),
                        ToBeast(prefix));
}

// Names that the sender says concern its connection only.
std::vector<std::string> NamedInConnection(const http::fields& fields) {
  std::vector<std::string> names;
  for (const auto& it : http::token_list(fields[http::field::connection])) {
    names.emplace_back(it);
  }
  return names;
}

void RemoveHopByHop(http::fields& fields) {
  for (const std::string& name : NamedInConnection(fields)) {
    fields.erase(name);
  }
  for (auto it = fields.begin(); it != fields.end();) {
    it = IsHopByHop(it->name()) ? fields.erase(it) : std::next(it);
  }
}

void RemoveOwn(http::fields& fields, std::string_view prefix) {
  if (prefix.empty()) {
    return;
  }
  for (auto it = fields.begin(); it != fields.end();) {
    const bool is_own = IsOwn(FromBeast(it->name_string()), prefix);
    it = is_own ? fields.erase(it) : std::next(it);
  }
}

}  // namespace

std::optional<std::int64_t> ReadNumber(const http::fields& fields,
                                       std::string_view name) {
  const auto text = FromBeast(fields[ToBeast(name)]);
  std::int64_t number = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || parsed.ec != std::errc() ||
      parsed.ptr != text.data() + text.size() || number < 0) {
    return std::nullopt;
  }
  return number;
}

void SetNamed(http::fields& fields,
              const std::string& name,
              std::string_view value) {
  if (!name.empty()) {
    fields.set(name, ToBeast(value));
  }
}

void PrepareForEndpoint(HttpRequest& request,
                        const CallId& call,
                        std::int64_t depth,
                        const ProtocolNames& names) {
  RemoveHopByHop(request);
  RemoveOwn(request, names.own_header_prefix);
  if (!names.callers_assign_call_ids) {
    SetNamed(request, names.call, call.text());
  }
  SetNamed(request, names.depth, std::to_string(depth));
  if (request.count(http::field::host) == 0) {
    // Allowed in HTTP/1.0; the call goes on as HTTP/1.1, which wants one.
    request.set(http::field::host, "");
  }
  request.version(11);
  request.keep_alive(true);
  request.prepare_payload();
}

void PrepareForCaller(HttpResponse& answer,
                      bool for_head,
                      const ProtocolNames& names) {
  RemoveHopByHop(answer);
  answer.erase(names.load);
  answer.erase(names.shed);
  if (!for_head) {
    answer.erase(http::field::content_length);
  }
}

}  // namespace damasktack
