#include "standin/standin_control.h"

#include <httplib.h>

#include <array>
#include <sstream>
#include <string_view>
#include <thread>

namespace damasktack {

namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr auto kJsonType = "application/json";

struct PlatformFaultName {
  std::string_view name;
  StandinPlatform::Fault fault;
};

constexpr std::array kPlatformFaults = {
    PlatformFaultName{"none", StandinPlatform::Fault::kNone},
    PlatformFaultName{"down", StandinPlatform::Fault::kDown},
    PlatformFaultName{"slow", StandinPlatform::Fault::kSlow},
    PlatformFaultName{"refusing", StandinPlatform::Fault::kRefusing},
    PlatformFaultName{"stale", StandinPlatform::Fault::kStale},
    PlatformFaultName{"half-body", StandinPlatform::Fault::kHalfBody},
};

void RespondWithError(httplib::Response& res,
                      int status,
                      const std::string& text) {
  res.status = status;
  res.set_content(text + "\n", "text/plain");
}

void ApplyFaultsRequest(StandinEndpoint& endpoint,
                        const httplib::Request& req,
                        httplib::Response& res) {
  Try(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(json, ParseJson(req.body, "body"));
        BOOST_LEAF_AUTO(faults, ParseEndpointFaults(json));
        if (!req.has_param("for")) {
          endpoint.SetFaults(faults);
          return {};
        }
        BOOST_LEAF_AUTO(time, ParseDuration(req.get_param_value("for"), "for"));
        endpoint.SetFaultsFor(faults, time);
        return {};
      },
      [&](const Error& error) {
        RespondWithError(res, kStatusBadRequest, ToString(error));
      });
}

Json ToJson(const StandinEndpointCounts& counts) {
  return Json{{"executions", counts.executions},
              {"shed", counts.shed},
              {"failed", counts.failed},
              {"cancelled_queued", counts.cancelled_queued},
              {"expired_queued", counts.expired_queued},
              {"cancelled_running", counts.cancelled_running},
              {"probes", counts.probes},
              {"connections", counts.connections}};
}

}  // namespace

struct StandinControl::Backend {
  httplib::Server server;
  std::thread thread;
};

StandinControl::StandinControl(StandinFleet& fleet,
                               const Deployment& deployment)
    : fleet_(fleet),
      deployment_(deployment),
      backend_(std::make_unique<Backend>()) {}

StandinControl::~StandinControl() {
  Stop();
}

std::uint16_t StandinControl::Start(std::uint16_t port) {
  httplib::Server& server = backend_->server;
  server.Post(R"(/standin/endpoints/([-\w]+)/faults)",
              [this](const httplib::Request& req, httplib::Response& res) {
                StandinEndpoint* endpoint =
                    fleet_.Find(EndpointId(req.matches[1]));
                if (endpoint == nullptr) {
                  RespondWithError(res, kStatusNotFound, "no such endpoint");
                  return;
                }
                ApplyFaultsRequest(*endpoint, req, res);
              });
  server.Get("/standin/endpoints",
             [this](const httplib::Request&, httplib::Response& res) {
               Json list = Json::object();
               for (std::size_t n = 0; n < fleet_.size(); ++n) {
                 list[deployment_.endpoints[n].id.text()] =
                     ToJson(fleet_.endpoint(n).counts());
               }
               res.set_content(list.dump(), kJsonType);
             });
  server.Get("/standin/executions",
             [this](const httplib::Request&, httplib::Response& res) {
               const Json log{{"total", fleet_.log().total()},
                              {"by_key", fleet_.log().by_key()},
                              {"by_call", fleet_.log().by_call()}};
               res.set_content(log.dump(), kJsonType);
             });
  server.Post(R"(/standin/platform/faults/([-\w]+))",
              [this](const httplib::Request& req, httplib::Response& res) {
                for (const PlatformFaultName& it : kPlatformFaults) {
                  if (req.matches[1].str() == it.name) {
                    fleet_.platform().SetFault(it.fault);
                    return;
                  }
                }
                RespondWithError(res, kStatusNotFound, "no such fault");
              });
  server.Put(R"(/standin/platform/documents/(\w+))",
             [this](const httplib::Request& req, httplib::Response& res) {
               const std::string revision = req.get_param_value("revision");
               if (revision.empty()) {
                 const auto given =
                     fleet_.platform().Publish(req.matches[1], req.body);
                 res.set_content(std::to_string(given) + "\n", "text/plain");
                 return;
               }
               fleet_.platform().PublishAs(
                   req.matches[1], std::strtoull(revision.c_str(), nullptr, 10),
                   req.body);
             });
  server.Get("/standin/platform",
             [this](const httplib::Request&, httplib::Response& res) {
               const Json counts{{"reads", fleet_.platform().reads()},
                                 {"waiting", fleet_.platform().waiting()}};
               res.set_content(counts.dump(), kJsonType);
             });
  if (port == 0) {
    port = static_cast<std::uint16_t>(server.bind_to_any_port("127.0.0.1"));
  } else if (!server.bind_to_port("127.0.0.1", port)) {
    return 0;
  }
  backend_->thread = std::thread([&server] { server.listen_after_bind(); });
  return port;
}

void StandinControl::Stop() {
  if (backend_->thread.joinable()) {
    backend_->server.stop();
    backend_->thread.join();
  }
}

}  // namespace damasktack
