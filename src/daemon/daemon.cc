#include "daemon/daemon.h"

#include <functional>

#include "platform/platform.h"

namespace gooseberrygap::daemon {

namespace {

// Time limits of one configuration submission. A new leader is elected within
// 2 s. An operator of a platform retries at another instance earlier, hence the
// shorter limit.
constexpr state::Millis kSubmissionTimeout(5000);
constexpr state::Millis kPlatformSubmissionTimeout(900);
// Fractions of the platform's repeat allowance: of `repeat_ratio` for retries
// and for hedges, of `repeat_slack` for retries.
constexpr double kRetryRatioFraction = 0.55;
constexpr double kHedgeRatioFraction = 0.2;
constexpr double kRetrySlackFraction = 0.4;
// The targets of a platform report the service time of their machines.
constexpr absl::string_view kPlatformStrategy = "expected_time";

constexpr state::Millis kLogLinkHeartbeat(1000);

// Threads of the duties and of ZeroMQ, beside the HTTP workers: heap, node,
// target, peer, two of ZeroMQ, http-accept, http-idle; control, disk; http and
// four operator threads.
constexpr int kThreads = 8;
constexpr int kControlThreads = 2;
constexpr int kPlatformThreads = 5;
// Descriptors of the duties' pollers (two each), listening sockets, ZeroMQ and
// the data folder.
constexpr int kStartDescriptors = 32;

// Checks that the system allows what the later steps of the start take.
state::Result<void> CheckResources(const protocol::Settings& settings) {
  const int threads = kThreads + settings.http_.workers_ +
                      (settings.control_.has_value() ? kControlThreads : 0) +
                      (settings.platform_.has_value() ? kPlatformThreads : 0);
  BOOST_OUTCOME_TRYV(transport::CheckThreads(threads));
  return transport::CheckDescriptors(kStartDescriptors);
}

std::string AdvertisedAddress(const protocol::Settings& settings) {
  return settings.peer_.advertise_.empty() ? settings.peer_.listen_
                                           : settings.peer_.advertise_;
}

state::TargetRecord OwnTargetRecord(const protocol::Settings& settings,
                                    uint64_t incarnation) {
  return state::TargetRecord{
      .instance_ = settings.instance_,
      .guard_address_ = AdvertisedAddress(settings),
      .region_ = settings.region_,
      .failure_domain_ = settings.failure_domain_,
      .version_ = state::LeaseVersion{.incarnation_ = incarnation}};
}

// Returns the control instances in the settings, or the seeds if there are
// none. The names and regions of seeds become known with the first reply.
std::vector<coordination::ControlAddress> InitialControlInstances(
    const protocol::Settings& settings) {
  std::vector<coordination::ControlAddress> instances =
      settings.control_instances_;
  if (instances.empty() && settings.seeds_.has_value()) {
    for (const std::string& address :
         protocol::SeedPeerAddresses(*settings.seeds_)) {
      instances.push_back(coordination::ControlAddress{.instance_ = address,
                                                       .address_ = address});
    }
  }
  return instances;
}

std::optional<coordination::GroupMembership::Options> MembershipOptions(
    const protocol::Settings& settings) {
  if (!settings.seeds_.has_value()) {
    return std::nullopt;
  }
  return coordination::GroupMembership::Options{
      .seeds_ = protocol::SeedPeerAddresses(*settings.seeds_),
      .first_start_ = settings.seeds_->first_start_,
      .voters_ = 2 * settings.seeds_->tolerated_losses_ + 1};
}

// Returns the defaults for the parts of a service that the documents of a
// platform's operators do not contain. Repeats stay below the allowed fraction,
// since a repeat may call other services again.
state::Service PlatformService(const protocol::PlatformSettings& settings) {
  const double slack_per_second =
      settings.repeat_slack_ / settings.repeat_window_seconds_;
  return state::Service{
      .strategy_ = std::string(kPlatformStrategy),
      .retry_ =
          state::RetryPolicy{
              .budget_ratio_ = kRetryRatioFraction * settings.repeat_ratio_,
              .budget_per_second_ = kRetrySlackFraction * slack_per_second},
      .hedge_ = state::HedgePolicy{.budget_ratio_ = kHedgeRatioFraction *
                                                    settings.repeat_ratio_}};
}

std::vector<std::string> ControlAddresses(const protocol::Settings& settings) {
  std::vector<std::string> addresses;
  if (settings.seeds_.has_value()) {
    // With seeds, only daemons with the control role accept operators'
    // requests, and the control role knows the leader.
    return {AdvertisedAddress(settings)};
  }
  for (const coordination::ControlAddress& instance :
       settings.control_instances_) {
    addresses.push_back(instance.address_);
  }
  return addresses;
}

}  // namespace

state::Result<std::unique_ptr<Daemon>> Daemon::Start(
    const protocol::Settings& settings,
    StartRetry* retry) {
  std::unique_ptr<Daemon> daemon(new Daemon(settings));
  BOOST_OUTCOME_TRYV(daemon->StartDuties(retry));
  return daemon;
}

Daemon::Daemon(const protocol::Settings& settings)
    : settings_(settings),
      incarnation_(state::WallMillis()),
      account_(std::make_shared<transport::ByteAccount>(
          transport::ByteAccount::OptionsFor(settings.memory_mb_),
          &counters_)) {}

Daemon::~Daemon() {
  // Threads stop before the threads that they feed. Only the peer thread posts
  // messages to the other duties until it is joined; stopped duties refuse
  // them.
  http_server_.reset();
  operators_.reset();
  if (control_ != nullptr) {
    control_->Stop();
  }
  if (node_ != nullptr) {
    node_->Stop();
  }
  peers_.reset();
  event_front_.reset();
}

state::Result<void> Daemon::StartDuties(StartRetry* retry) {
  // Before anything is opened, so that a step that is repeated has nothing to
  // undo. Later steps rely on it.
  BOOST_OUTCOME_TRYV(retry->Run([this] { return CheckResources(settings_); }));
  if (settings_.memory_mb_.has_value()) {
    heap_ = std::make_unique<HeapDuty>(account_);
  }
  OpenControl();
  const bool has_platform = settings_.platform_.has_value();
  target_dialect_ = has_platform ? platform::MakeTargetDialect()
                                 : protocol::MakeTargetDialect();
  node_ = std::make_unique<NodeDuty>(
      NodeDuty::Options{
          .node_ =
              coordination::Node::Options{
                  .self_ = OwnTargetRecord(settings_, incarnation_),
                  .control_instances_ = InitialControlInstances(settings_),
                  .announcement_lifetime_ =
                      has_platform ? settings_.platform_->announcement_lifetime_
                                   : coordination::kAnnouncementLifetime,
                  .configuration_apply_ = settings_.configuration_apply_,
                  .revocation_ = settings_.revocation_,
                  .quota_ = settings_.quota_,
                  .warmup_ = settings_.warmup_},
          .target_workers_ = settings_.target_workers_,
          .accepts_until_close_ = has_platform,
          .account_ = account_,
          .stall_ = settings_.pressure_.stall_},
      target_dialect_.get(), &call_slots_, &counters_);
  BOOST_OUTCOME_TRYV(retry->Run([this] { return StartPeers(); }));
  gateway_ = std::make_unique<OperatorGateway>(
      OperatorGateway::Options{
          .control_addresses_ = ControlAddresses(settings_),
          .timeout_ =
              has_platform ? kPlatformSubmissionTimeout : kSubmissionTimeout},
      peers_.get());
  if (control_ != nullptr) {
    control_->Start(peers_.get());
    evacuation_orders_ = std::make_unique<EvacuationOrders>(
        control_.get(), gateway_.get(), &counters_);
  }
  BOOST_OUTCOME_TRYV(StartPlatformFront(retry));
  BOOST_OUTCOME_TRYV(retry->Run([this] { return StartHttp(); }));
  // Last, so that a start that is stopped while it waits has no call in
  // progress.
  node_->Start(peers_.get());
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

state::Result<void> Daemon::StartPeers() {
  auto peers = transport::PeerEndpoint::Start(
      transport::PeerEndpoint::Options{
          .listen_address_ = settings_.peer_.listen_,
          // The replicated log has no check of its links of its own. A daemon
          // without the control role replaces a silent link when a request on
          // it is not answered.
          .heartbeat_interval_ = settings_.control_.has_value()
                                     ? kLogLinkHeartbeat
                                     : state::Millis(0),
          .account_ = account_,
          .on_activity_ =
              [this](const std::string& address) {
                node_->Post(coordination::PeerActive{.address_ = address});
              },
          .hold_ = settings_.pressure_.hold_},
      [this](transport::ReceivedPeerMessage arrival) {
        OnPeerMessage(std::move(arrival));
      },
      &counters_);
  if (!peers) {
    return peers.error();
  }
  peers_ = std::move(peers).value();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void Daemon::OpenControl() {
  if (!settings_.control_.has_value()) {
    return;
  }
  control_ = std::make_unique<ControlDuty>(
      ControlDuty::Options{.self_ =
                               coordination::ControlAddress{
                                   .instance_ = settings_.instance_,
                                   .address_ = AdvertisedAddress(settings_),
                                   .region_ = settings_.region_},
                           .control_instances_ = settings_.control_instances_,
                           .incarnation_ = incarnation_,
                           .settings_ = *settings_.control_,
                           .quota_ = settings_.quota_,
                           .membership_ = MembershipOptions(settings_)},
      &counters_);
}

state::Result<void> Daemon::StartPlatformFront(StartRetry* retry) {
  if (!settings_.platform_.has_value()) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  front_dialect_ =
      platform::MakeFrontDialect(PlatformService(*settings_.platform_),
                                 /*takes_orders=*/control_ != nullptr);
  if (control_ != nullptr) {
    operators_ = std::make_unique<OperatorDuty>(front_dialect_.get(),
                                                control_.get(), gateway_.get(),
                                                evacuation_orders_.get());
  }
  event_front_ = std::make_unique<EventFront>(front_dialect_.get(), node_.get(),
                                              operators_.get(), &counters_);
  node_->AddListener(event_front_.get());
  return retry->Run([this] {
    return event_front_->Start(*settings_.platform_, settings_.pressure_,
                               account_);
  });
}

void Daemon::Reload(const protocol::Settings& settings) {
  if (!settings.seeds_.has_value()) {
    return;
  }
  const std::vector<std::string> seeds =
      protocol::SeedPeerAddresses(*settings.seeds_);
  if (control_ != nullptr) {
    control_->SetSeeds(seeds);
  }
  node_->Post(coordination::SeedsChanged{.addresses_ = seeds});
}

state::Result<void> Daemon::StartHttp() {
  front_ = std::make_unique<HttpFront>(node_.get(), &call_slots_,
                                       gateway_.get(), control_.get(),
                                       evacuation_orders_.get(), &counters_);
  const protocol::HttpSettings& http = settings_.http_;
  auto server = transport::HttpServer::Start(
      transport::HttpServer::Options{
          .listen_address_ = http.listen_,
          .workers_ = http.workers_,
          .max_connections_ = http.max_connections_,
          .max_header_bytes_ = static_cast<size_t>(http.max_header_bytes_),
          .max_body_bytes_ = static_cast<size_t>(http.max_body_bytes_),
          .account_ = account_},
      std::bind_front(&HttpFront::Handle, front_.get()), &counters_);
  if (!server) {
    return server.error();
  }
  http_server_ = std::move(server).value();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void Daemon::OnPeerMessage(transport::ReceivedPeerMessage arrival) {
  switch (coordination::RecipientOf(arrival.message_)) {
    case coordination::MessageRecipient::kOperators:
      // The control service relays submissions, so a control instance may wait
      // for this reply instead of an operator here.
      gateway_->OnReply(arrival.message_);
      return;
    case coordination::MessageRecipient::kControl:
    case coordination::MessageRecipient::kLog:
      if (control_ != nullptr && !control_->Post(std::move(arrival))) {
        counters_.Add(state::RefusalReason::kInternalQueueFull);
      }
      return;
    case coordination::MessageRecipient::kNode:
      PostToNode(arrival);
      return;
  }
}

void Daemon::PostToNode(const transport::ReceivedPeerMessage& arrival) {
  const bool accepted = node_->Post(
      coordination::PeerMessageReceived{.connection_ = arrival.connection_,
                                        .address_ = arrival.address_,
                                        .message_ = arrival.message_});
  if (!accepted) {
    RefusePeerMessage(arrival);
  }
}

void Daemon::RefusePeerMessage(const transport::ReceivedPeerMessage& arrival) {
  counters_.Add(state::RefusalReason::kInternalQueueFull);
  const auto* attempt = std::get_if<coordination::Attempt>(&arrival.message_);
  if (attempt == nullptr) {
    return;
  }
  peers_->Reply(coordination::ReplyToPeer{
      .connection_ = arrival.connection_,
      .message_ = coordination::AttemptAnswer{
          .request_id_ = attempt->request_id_,
          .attempt_ = attempt->attempt_,
          .result_ = coordination::AttemptResult::kRefused,
          .refusal_ = state::RefusalReason::kInternalQueueFull,
          .target_ = attempt->target_}});
}

}  // namespace gooseberrygap::daemon
