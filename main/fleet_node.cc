#include "main/fleet_node.h"

#include <spdlog/spdlog.h>

#include <random>
#include <utility>

#include "fleet/document_check.h"
#include "fleet/peer_codec.h"

namespace damasktack {

namespace {

// Time for sending the frames that are queued after the leave message.
constexpr Duration kLeaveFlushTime = std::chrono::milliseconds(50);

// Transport of a host that runs without peers; sends nothing.
class NoTransport : public PeerTransport {
 public:
  void SetPeers(std::vector<PeerAddress> /*peers*/) override {}
  bool Send(const std::string& /*host*/, std::string /*frame*/) override {
    return false;
  }
};

std::uint64_t DrawRandom() {
  std::random_device device;
  const std::uint64_t high = device();
  // Never returns 0, which means "unknown".
  return ((high << 32) | device()) | 1;
}

FleetCore MakeCore(const FleetNodeOptions& options, Incarnation incarnation) {
  const FleetSettings& fleet = options.fleet;
  FleetCoreOptions core;
  core.membership = {options.host, incarnation, options.zone, fleet.heartbeat,
                     fleet.silence};
  core.documents.digest_interval = fleet.digest;
  core.documents.fanout = static_cast<std::size_t>(fleet.fanout);
  core.seeds = fleet.seeds;
  core.gates = options.gates;
  core.peer_wait = fleet.peer_wait;
  return FleetCore(std::move(core), CheckDocument, DrawRandom());
}

FleetLoopOptions MakeLoopOptions(const FleetSettings& fleet) {
  FleetLoopOptions options;
  options.late_wake = fleet.late_wake;
  return options;
}

WebsocketTransportOptions MakeTransportOptions(const FleetNodeOptions& options,
                                               Incarnation incarnation) {
  WebsocketTransportOptions transport;
  transport.host = options.host.text();
  transport.incarnation = incarnation;
  transport.fleet_key = options.fleet.key;
  transport.listen_ip = options.fleet.listen.ip;
  transport.listen_port = options.fleet.listen.port;
  transport.max_frame_bytes = kMaxPeerFrameBytes;
  transport.blocked_hosts_file = options.fleet.test_cut_file;
  return transport;
}

}  // namespace

Incarnation DrawIncarnation() {
  return DrawRandom();
}

FleetNode::FleetNode(const FleetNodeOptions& options, FleetNodeEvents& events)
    : options_(options),
      events_(events),
      incarnation_(options_.incarnation != 0 ? options_.incarnation
                                             : DrawIncarnation()),
      loop_(MakeLoopOptions(options_.fleet),
            MakeCore(options_, incarnation_),
            *this),
      source_(options_.platform),
      reader_(options_.reader, source_, *this, DrawRandom()) {}

FleetNode::~FleetNode() {
  Stop();
}

leaf::result<void> FleetNode::Start() {
  static NoTransport no_transport;
  PeerTransport* transport = &no_transport;
  if (options_.fleet.enabled) {
    transport_ = std::make_unique<WebsocketTransport>(
        MakeTransportOptions(options_, incarnation_), loop_);
    if (const std::error_code ec = transport_->Start()) {
      return Fail(ErrorKind::kUnreachable, "fleet.listen",
                  ToString(options_.fleet.listen) + ": " + ec.message(),
                  "use an address of this host and a free port");
    }
    transport = transport_.get();
  }
  if (options_.gates.claims != nullptr) {
    options_.gates.claims->SetWake([this] {
      loop_.Post(
          [](FleetCore& core, TimePoint now) { core.ProcessClaims(now); });
    });
  }
  loop_.Start(*transport);
  reader_.Start();
  return {};
}

void FleetNode::Leave() {
  loop_.Post([](FleetCore& core, TimePoint now) { core.SetLeaving(now); });
}

void FleetNode::ConfirmGone(const HostId& host) {
  loop_.Post([host](FleetCore& core, TimePoint) { core.ConfirmGone(host); });
}

void FleetNode::BroadcastDrain(const DrainObservation& observation) {
  loop_.Post([observation](FleetCore& core, TimePoint now) {
    core.OnDrainObserved(observation, now);
  });
}

void FleetNode::Stop() {
  if (std::exchange(stopped_, true)) {
    return;
  }
  reader_.Stop();
  if (options_.gates.claims != nullptr) {
    options_.gates.claims->SetWake({});
  }
  loop_.Post([](FleetCore& core, TimePoint) { core.SendGoodbye(); });
  loop_.Stop();
  if (transport_) {
    std::this_thread::sleep_for(kLeaveFlushTime);
    transport_->Stop();
  }
}

std::uint16_t FleetNode::peer_port() const {
  return transport_ ? transport_->port() : std::uint16_t{0};
}

TransportCounters FleetNode::transport_counters() const {
  return transport_ ? transport_->counters() : TransportCounters{};
}

void FleetNode::BlockLinksTo(const std::vector<HostId>& hosts) {
  std::vector<std::string> names;
  for (const HostId& it : hosts) {
    names.push_back(it.text());
  }
  if (transport_) {
    transport_->BlockLinksTo(std::move(names));
  }
}

void FleetNode::OnFleetState(std::shared_ptr<const FleetState> state) {
  ReportDocuments(*state);
  UpdateReaderRole(*state);
  if (state->ready != told_.ready) {
    spdlog::info("event=fleet-ready ready={} check={}", state->ready,
                 state->check_number);
  }
  told_ = *state;
}

void FleetNode::ReportDocuments(const FleetState& state) {
  for (std::size_t n = 0; n < kDocumentCount; ++n) {
    const auto name = static_cast<DocumentName>(n);
    const auto& document = state.documents[n];
    if (document && document != told_.documents[n]) {
      events_.OnInForce(*document);
      reader_.SetKnownRevision(name, document->revision);
    }
    const auto& refusal = state.refused[n];
    const auto& reported = told_.refused[n];
    if (refusal && (!reported || reported->version != refusal->version)) {
      events_.OnRefused(name, *refusal);
    }
  }
}

void FleetNode::UpdateReaderRole(const FleetState& state) {
  if (state.reader != told_.reader) {
    spdlog::info("event=platform-reader reader={}", state.reader);
    reader_.SetReader(state.reader);
  }
  reader_.SetHosts(state.view.peers.size() + 1);
  if (state.check_number != told_.check_number) {
    reader_.ReadSoon(state.check_number);
  }
}

void FleetNode::OnDocument(Document document) {
  loop_.Post([document = std::move(document)](FleetCore& core, TimePoint now) {
    core.Offer(document, DocumentOrigin::kPlatform, now);
  });
}

void FleetNode::OnQueried(DocumentName name, std::uint64_t check) {
  loop_.Post([=](FleetCore& core, TimePoint now) {
    core.OnPlatformQueried(name, check, now);
  });
}

}  // namespace damasktack
