#include "proxy_fixture.h"

#include <cstdlib>
#include <utility>

namespace damasktack {

namespace {

ContractList Contracts() {
  Contract contract;
  contract.customer = CustomerId("keepers");
  contract.key_sha256 = {Sha256Hex("key")};
  RequestRule reads;
  reads.service = ServiceId("dispatch");
  reads.methods = {"GET", "HEAD"};
  reads.idempotent = true;
  RequestRule commands;
  commands.service = ServiceId("dispatch");
  commands.urgency = Urgency::kUrgent;
  contract.requests = {reads, commands};
  return ContractList{1, {contract}};
}

ServiceList Services(const ProxyFixture::Setup& setup) {
  ServiceSpec service;
  service.id = ServiceId("dispatch");
  service.prefix = "/dispatch";
  service.echoes_call = setup.echoes_call;
  for (const std::uint16_t port : setup.endpoint_ports) {
    EndpointSpec endpoint;
    endpoint.id = EndpointId("e" + std::to_string(port));
    endpoint.address = SocketAddress{"127.0.0.1", port};
    endpoint.slots = 6;
    endpoint.connections = setup.connections;
    service.endpoints.push_back(endpoint);
  }
  return ServiceList{1, {service}};
}

std::string CommonHeaders(std::string_view more) {
  return "Host: h\r\nDamasktack-Key: key\r\n" + std::string(more);
}

}  // namespace

std::string GetRequest(std::string_view path, std::string_view headers) {
  return "GET /dispatch" + std::string(path) + " HTTP/1.1\r\n" +
         CommonHeaders(headers) + "\r\n";
}

std::string PostRequest(std::string_view body, std::string_view headers) {
  return "POST /dispatch/cut HTTP/1.1\r\n" + CommonHeaders(headers) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

std::string HeaderOf(const std::string& answer, std::string_view name) {
  const std::string line = "\r\n" + std::string(name) + ": ";
  const std::size_t at = answer.find(line);
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t start = at + line.size();
  return answer.substr(start, answer.find("\r\n", start) - start);
}

int StatusOf(const std::string& answer) {
  constexpr std::size_t kStatusAt = 9;
  return answer.size() < kStatusAt + 3
             ? 0
             : std::atoi(answer.substr(kStatusAt, 3).c_str());
}

std::string BodyOf(const std::string& answer) {
  const std::size_t end = answer.find("\r\n\r\n");
  return end == std::string::npos ? "" : answer.substr(end + 4);
}

RoutingTablePtr MakeReadWriteRoutes(const std::vector<std::uint16_t>& ports,
                                    const Route& traits) {
  auto book = std::make_shared<RouteTable>();
  book->version = 1;
  book->services = {{ServiceId("s"), "/health", 250}};
  for (const bool idempotent : {true, false}) {
    Route route = traits;
    route.host = "a.example";
    route.prefix = idempotent ? "/read/" : "/write/";
    route.idempotent = idempotent;
    route.targets = {{ServiceId("s"), 1}};
    route.contract.customer = CustomerId(route.prefix);
    book->routes.push_back(route);
  }
  ServiceSpec service;
  service.id = ServiceId("s");
  service.health_path = "/health";
  service.echoes_call = true;
  for (const std::uint16_t port : ports) {
    EndpointSpec endpoint;
    endpoint.id = EndpointId("i-" + std::to_string(service.endpoints.size()));
    endpoint.address = {"127.0.0.1", port};
    endpoint.slots = 16;
    service.endpoints.push_back(endpoint);
  }
  return std::make_shared<RoutingTable>(book, std::vector{service});
}

ProxyOptions ProxyFixture::FastOptions() {
  ProxyOptions options;
  options.listen = SocketAddress{"127.0.0.1", 0};
  return options;
}

ProxyFixture::ProxyFixture(Setup setup) {
  LimitGate& limits = setup.limits != nullptr ? *setup.limits : open_limits_;
  ClaimGate& claims = setup.claims != nullptr ? *setup.claims : open_claims_;
  state_ = std::make_unique<ProxyState>(setup.options, limits, claims);
  state_->SetRouting(
      std::make_shared<RoutingTable>(Contracts(), Services(setup)), setup.hosts,
      Clock::now());
  server_ = std::make_unique<CallerServer>(*state_);
  Try([&] { return server_->Start(); }, [](const Error&) {});
}

ProxyFixture::~ProxyFixture() {
  server_.reset();
}

std::string ProxyFixture::Ask(std::string_view request) const {
  RawConnection connection = Connect();
  connection.Send(request);
  return connection.ReadMessage();
}

}  // namespace damasktack
