#include "admin/admin_routes.h"

#include <array>

#include "admin/admin_json.h"

namespace damasktack {

namespace {

constexpr int kStatusConflict = 409;
constexpr int kStatusUnavailable = 503;
constexpr auto kPlainType = "text/plain";
constexpr auto kPrometheusType = "text/plain; version=0.0.4";

AdminReply JsonReply(const Json& json) {
  AdminReply reply;
  // Replaces invalid UTF-8 in names, which would otherwise make `dump` throw.
  reply.body = json.dump(-1, ' ', false, Json::error_handler_t::replace);
  return reply;
}

AdminReply Health(AdminSource& /*source*/, const std::string& /*segment*/) {
  return AdminReply{.content_type = kPlainType, .body = "ok\n"};
}

AdminReply Readiness(AdminSource& source, const std::string& /*segment*/) {
  return ReadinessReply(source);
}

AdminReply Metrics(AdminSource& source, const std::string& /*segment*/) {
  return AdminReply{.content_type = kPrometheusType, .body = source.Metrics()};
}

AdminReply Status(AdminSource& source, const std::string& /*segment*/) {
  return JsonReply(RenderStatus(source.Host(), source.Documents()));
}

AdminReply Contracts(AdminSource& source, const std::string& /*segment*/) {
  return JsonReply(RenderContracts(source.Documents(), source.Contracts()));
}

AdminReply Peers(AdminSource& source, const std::string& /*segment*/) {
  return JsonReply(RenderPeers(source.Peers()));
}

AdminReply Endpoints(AdminSource& source, const std::string& /*segment*/) {
  return JsonReply(RenderEndpoints(source.Services()));
}

AdminReply Customers(AdminSource& source, const std::string& /*segment*/) {
  return JsonReply(RenderCustomers(source.Customers()));
}

AdminReply Probes(AdminSource& source, const std::string& /*segment*/) {
  return JsonReply(RenderProbes(source.Services()));
}

AdminReply Histograms(AdminSource& source, const std::string& /*segment*/) {
  return JsonReply(RenderHistograms(source.Histograms()));
}

AdminReply Drain(AdminSource& source, const std::string& segment) {
  source.SetDrained(true);
  return Status(source, segment);
}

AdminReply Undrain(AdminSource& source, const std::string& segment) {
  source.SetDrained(false);
  return Status(source, segment);
}

AdminReply Gone(AdminSource& source, const std::string& segment) {
  return Try(
      [&]() -> leaf::result<AdminReply> {
        BOOST_LEAF_CHECK(source.DeclareGone(HostId(segment)));
        return JsonReply(Json{{"gone", segment}});
      },
      [](const Error& error) { return ErrorReply(kStatusConflict, error); });
}

constexpr AdminMethod kGet = AdminMethod::kGet;
constexpr AdminMethod kPost = AdminMethod::kPost;
constexpr AdminMethod kDelete = AdminMethod::kDelete;
constexpr AdminAccess kOpen = AdminAccess::kOpen;
constexpr AdminAccess kToken = AdminAccess::kToken;

constexpr std::array kRoutes = {
    AdminRoute{kGet, "/healthz", kOpen, Health},
    AdminRoute{kGet, "/readyz", kOpen, Readiness},
    AdminRoute{kGet, "/metrics", kOpen, Metrics},
    AdminRoute{kGet, "/v1/status", kToken, Status},
    AdminRoute{kGet, "/v1/contracts", kToken, Contracts},
    AdminRoute{kGet, "/v1/peers", kToken, Peers},
    AdminRoute{kGet, "/v1/endpoints", kToken, Endpoints},
    AdminRoute{kGet, "/v1/customers", kToken, Customers},
    AdminRoute{kGet, "/v1/probes", kToken, Probes},
    AdminRoute{kGet, "/v1/histograms", kToken, Histograms},
    AdminRoute{kPost, "/v1/drain", kToken, Drain},
    AdminRoute{kDelete, "/v1/drain", kToken, Undrain},
    AdminRoute{kPost, "/v1/hosts/{id}/gone", kToken, Gone},
};

}  // namespace

AdminReply ReadinessReply(const AdminSource& source) {
  if (source.Ready()) {
    return AdminReply{.content_type = kPlainType, .body = "ready\n"};
  }
  return AdminReply{kStatusUnavailable, kPlainType, "not ready\n"};
}

std::span<const AdminRoute> AdminRoutes() {
  return kRoutes;
}

AdminReply ErrorReply(int status, const Error& error) {
  AdminReply reply = JsonReply(RenderError(error));
  reply.status = status;
  return reply;
}

}  // namespace damasktack
