#include "admin/admin_json.h"

namespace damasktack {

namespace {

std::int64_t Microseconds(Duration time) {
  return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

template <typename Item, typename Render>
Json RenderList(const std::vector<Item>& items, Render render) {
  Json list = Json::array();
  for (const Item& it : items) {
    list.push_back(render(it));
  }
  return list;
}

Json Render(const DocumentReport& document) {
  Json json{{"name", ToString(document.name)},
            {"revision", document.in_force},
            {"refused", nullptr}};
  if (document.refused) {
    json["refused"] = RenderError(document.refused->error);
    json["refused"]["revision"] = document.refused->revision;
  }
  return json;
}

Json Render(const Contract& contract) {
  Json json = ToJson(contract);
  json.erase("key_sha256");
  json["keys"] = contract.key_sha256.size();
  return json;
}

Json Render(const PeerReport& peer) {
  return Json{{"host", peer.id.text()},
              {"zone", peer.zone.text()},
              {"incarnation", peer.incarnation},
              {"listed", ToString(peer.listed)},
              {"reachable", peer.reachable}};
}

Json Render(const EndpointStatus& endpoint) {
  Json json{{"endpoint", endpoint.id.text()},
            {"zone", endpoint.zone.text()},
            {"state", endpoint.state},
            {"reason", endpoint.reason},
            {"own_in_flight", endpoint.own_in_flight},
            {"estimated_in_flight", endpoint.estimated_in_flight},
            {"slots", endpoint.slots},
            {"report_age_us", nullptr}};
  if (endpoint.rate_limit) {
    json["rate_limit"] = *endpoint.rate_limit;
  }
  if (endpoint.report_age >= Duration::zero()) {
    json["report_age_us"] = Microseconds(endpoint.report_age);
  }
  return json;
}

Json RenderService(const ServiceReport& service) {
  const auto& endpoints = service.balancer.table.endpoints;
  return Json{{"service", service.id.text()},
              {"waiting", service.balancer.waiting},
              {"retries_granted", service.balancer.retries_granted},
              {"retries_withheld", service.balancer.retries_withheld},
              {"endpoints", RenderList(endpoints, [](const EndpointStatus& it) {
                 return Render(it);
               })}};
}

Json RenderProbe(const ServiceReport& service) {
  const EndpointTableStatus& table = service.balancer.table;
  return Json{{"service", service.id.text()},
              {"budget_per_second", table.probes_per_second},
              {"sent", table.probes_sent},
              {"bytes", table.probe_bytes},
              {"withheld", table.probes_withheld}};
}

Json Render(const LimitPart& part) {
  return Json{{"contract", part.contract},
              {"owned_milli", part.owned},
              {"lent_milli", part.lent},
              {"borrowed_milli", part.borrowed}};
}

Json Render(const CustomerReport& customer) {
  return Json{{"customer", customer.id.text()},
              {"share", customer.share},
              {"complete", customer.complete},
              {"not_run", customer.not_run},
              {"unknown", customer.unknown},
              {"calls_per_second", Render(customer.rate)},
              {"concurrency", Render(customer.concurrency)}};
}

Json Render(const CallMetrics::TimeBin& bin) {
  return Json{{"low_us", Microseconds(bin.low)},
              {"high_us", Microseconds(bin.high)},
              {"count", bin.count}};
}

Json RenderBins(const std::vector<CallMetrics::TimeBin>& bins) {
  return RenderList(bins,
                    [](const CallMetrics::TimeBin& it) { return Render(it); });
}

Json Render(const CallMetrics::SeriesReport& report) {
  return Json{{"customer", report.series.customer.text()},
              {"class", ToString(report.series.urgency)},
              {"total", RenderBins(report.total)},
              {"added", RenderBins(report.added)}};
}

}  // namespace

Json RenderStatus(const HostReport& host,
                  const std::vector<DocumentReport>& documents) {
  Json json{{"host", host.id.text()},
            {"zone", host.zone.text()},
            {"incarnation", host.incarnation},
            {"ready", host.ready},
            {"drained", host.drained},
            {"stopping", host.stopping},
            {"uptime_us", Microseconds(host.uptime)},
            {"calls_in_flight", host.calls_in_flight},
            {"message_bytes", host.message_bytes},
            {"message_bytes_peak", host.message_bytes_peak},
            {"message_bytes_limit", host.message_bytes_limit}};
  for (const DocumentReport& it : documents) {
    json[std::string(ToString(it.name)) + "_revision"] = it.in_force;
  }
  return json;
}

Json RenderContracts(const std::vector<DocumentReport>& documents,
                     const std::vector<Contract>& contracts) {
  const auto document = [](const DocumentReport& it) { return Render(it); };
  const auto contract = [](const Contract& it) { return Render(it); };
  return Json{{"documents", RenderList(documents, document)},
              {"contracts", RenderList(contracts, contract)}};
}

Json RenderPeers(const std::vector<PeerReport>& peers) {
  const auto render = [](const PeerReport& it) { return Render(it); };
  return Json{{"peers", RenderList(peers, render)}};
}

Json RenderEndpoints(const std::vector<ServiceReport>& services) {
  return Json{{"services", RenderList(services, RenderService)}};
}

Json RenderProbes(const std::vector<ServiceReport>& services) {
  return Json{{"services", RenderList(services, RenderProbe)}};
}

Json RenderCustomers(const std::vector<CustomerReport>& customers) {
  const auto render = [](const CustomerReport& it) { return Render(it); };
  return Json{{"customers", RenderList(customers, render)}};
}

Json RenderHistograms(const std::vector<CallMetrics::SeriesReport>& series) {
  const auto render = [](const CallMetrics::SeriesReport& it) {
    return Render(it);
  };
  return Json{{"histograms", RenderList(series, render)}};
}

Json RenderError(const Error& error) {
  return Json{{"kind", ToString(error.kind)},
              {"where", error.where},
              {"found", error.found},
              {"remedy", error.remedy}};
}

}  // namespace damasktack
