#include "daemon/daemon.h"

#include <atomic>

#include "absl/time/clock.h"
#include "daemon/logging.h"
#include "platform/platform.h"

namespace gooseberrygap::daemon {

namespace {

// Long enough for the drain to reach the daemons that call this target, so that
// few attempts are refused by the closing guard.
constexpr absl::Duration kDrainNotice = absl::Milliseconds(300);
// A new leader is elected within 2 s; an operator of a platform asks another
// instance sooner.
constexpr state::Millis kOrderTimeout(5000);
constexpr state::Millis kPlatformOrderTimeout(900);
// Parts of the allowed repeats that retries and hedges may use.
constexpr double kRetryShare = 0.55;
constexpr double kHedgeShare = 0.2;
constexpr double kSlackShare = 0.4;
// The targets of a platform tell the pace of their machines.
constexpr absl::string_view kPlatformStrategy = "expected_time";
// Work that was admitted ends within this time, and the other daemons learn of
// the drain.
constexpr absl::Duration kDrainLead = absl::Milliseconds(800);
constexpr absl::Duration kWorkPollInterval = absl::Milliseconds(20);
// A stopping daemon waits so long for the register to confirm the ends of
// actions: twice the time of an election. Without a confirmation the entry
// stays `started`, which is never run again.
constexpr absl::Duration kReportTimeout = absl::Seconds(4);

std::string AdvertisedAddress(const protocol::Settings& settings) {
  return settings.peer_.advertise_.empty() ? settings.peer_.listen_
                                           : settings.peer_.advertise_;
}

state::TargetRecord SelfRecord(const protocol::Settings& settings,
                               uint64_t incarnation) {
  return state::TargetRecord{
      .instance_ = settings.instance_,
      .guard_address_ = AdvertisedAddress(settings),
      .region_ = settings.region_,
      .failure_domain_ = settings.failure_domain_,
      .version_ = state::LeaseVersion{.incarnation_ = incarnation}};
}

// The control instances that the settings list, or else the seeds, whose names
// and regions the first reply tells.
std::vector<coordination::ControlAddress> KnownControlInstances(
    const protocol::Settings& settings) {
  std::vector<coordination::ControlAddress> known = settings.control_instances_;
  if (known.empty() && settings.seeds_.has_value()) {
    for (const std::string& address :
         protocol::SeedPeerAddresses(*settings.seeds_)) {
      known.push_back(coordination::ControlAddress{.instance_ = address,
                                                   .address_ = address});
    }
  }
  return known;
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

// What the operators of a platform do not say of a service. Repeats stay below
// the allowed part, since a repeat may call other services again.
state::Service PlatformService(const protocol::PlatformSettings& settings) {
  const double slack_per_second =
      settings.repeat_slack_ / settings.repeat_window_seconds_;
  return state::Service{
      .strategy_ = std::string(kPlatformStrategy),
      .retry_ =
          state::RetryPolicy{
              .budget_ratio_ = kRetryShare * settings.repeat_ratio_,
              .budget_per_second_ = kSlackShare * slack_per_second},
      .hedge_ = state::HedgePolicy{.budget_ratio_ =
                                       kHedgeShare * settings.repeat_ratio_}};
}

std::vector<std::string> ControlAddresses(const protocol::Settings& settings) {
  std::vector<std::string> addresses;
  if (settings.seeds_.has_value()) {
    // A control instance knows the leader; another daemon takes no orders.
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
    const protocol::Settings& settings) {
  std::unique_ptr<Daemon> daemon(new Daemon(settings));
  BOOST_OUTCOME_TRYV(daemon->StartDuties());
  return daemon;
}

Daemon::Daemon(const protocol::Settings& settings)
    : settings_(settings), incarnation_(state::WallMillis()) {}

Daemon::~Daemon() {
  // Threads end in the order in which they feed each other; the peer thread
  // hands arrivals to the others until it has ended.
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

state::Result<void> Daemon::StartDuties() {
  BOOST_OUTCOME_TRYV(OpenControl());
  const bool has_platform = settings_.platform_.has_value();
  target_dialect_ = has_platform ? platform::MakeTargetDialect()
                                 : protocol::MakeTargetDialect();
  node_ = std::make_unique<NodeDuty>(
      NodeDuty::Options{
          .node_ =
              coordination::Node::Options{
                  .self_ = SelfRecord(settings_, incarnation_),
                  .control_instances_ = KnownControlInstances(settings_),
                  .announcement_lifetime_ =
                      has_platform ? settings_.platform_->announcement_lifetime_
                                   : coordination::kAnnouncementLifetime},
          .target_workers_ = settings_.target_workers_,
          .accepts_until_close_ = has_platform},
      target_dialect_.get(), &call_slots_, &counters_);
  auto peers = transport::PeerEndpoint::Start(
      transport::PeerEndpoint::Options{.listen_address_ =
                                           settings_.peer_.listen_},
      [this](transport::PeerArrival arrival) {
        OnPeerArrival(std::move(arrival));
      },
      &counters_);
  if (!peers) {
    return peers.error();
  }
  peers_ = std::move(peers).value();
  gateway_ = std::make_unique<OperatorGateway>(
      OperatorGateway::Options{
          .control_addresses_ = ControlAddresses(settings_),
          .timeout_ = has_platform ? kPlatformOrderTimeout : kOrderTimeout},
      peers_.get());
  if (control_ != nullptr) {
    control_->Start(peers_.get());
  }
  BOOST_OUTCOME_TRYV(StartPlatformFront());
  node_->Start(peers_.get());
  return StartHttp();
}

state::Result<void> Daemon::OpenControl() {
  if (!settings_.control_.has_value()) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  auto control = ControlDuty::Open(
      ControlDuty::Options{.self_ =
                               coordination::ControlAddress{
                                   .instance_ = settings_.instance_,
                                   .address_ = AdvertisedAddress(settings_),
                                   .region_ = settings_.region_},
                           .control_instances_ = settings_.control_instances_,
                           .incarnation_ = incarnation_,
                           .settings_ = *settings_.control_,
                           .membership_ = MembershipOptions(settings_)},
      &counters_);
  if (!control) {
    return control.error();
  }
  control_ = std::move(control).value();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

state::Result<void> Daemon::StartPlatformFront() {
  if (!settings_.platform_.has_value()) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  front_dialect_ =
      platform::MakeFrontDialect(PlatformService(*settings_.platform_));
  if (control_ != nullptr) {
    operators_ = std::make_unique<OperatorDuty>(front_dialect_.get(),
                                                control_.get(), gateway_.get());
  }
  event_front_ = std::make_unique<EventFront>(front_dialect_.get(), node_.get(),
                                              operators_.get(), &counters_);
  node_->AddListener(event_front_.get());
  return event_front_->Start(*settings_.platform_);
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
  front_ = std::make_unique<HttpFront>(
      node_.get(), &call_slots_, gateway_.get(), control_.get(), &counters_);
  const protocol::HttpSettings& http = settings_.http_;
  auto server = transport::HttpServer::Start(
      transport::HttpServer::Options{
          .listen_address_ = http.listen_,
          .workers_ = http.workers_,
          .max_connections_ = http.max_connections_,
          .max_header_bytes_ = static_cast<size_t>(http.max_header_bytes_),
          .max_body_bytes_ = static_cast<size_t>(http.max_body_bytes_)},
      [this](const state::HttpRequest& request) {
        return front_->Handle(request);
      },
      &counters_);
  if (!server) {
    return server.error();
  }
  http_server_ = std::move(server).value();
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void Daemon::OnPeerArrival(transport::PeerArrival arrival) {
  switch (coordination::RecipientOf(arrival.message_)) {
    case coordination::MessageRecipient::kOperators:
      // The control service relays submissions, so a control instance may wait
      // for this reply instead of an operator here.
      gateway_->OnReply(
          std::get<coordination::ConfigSubmitReply>(arrival.message_));
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

void Daemon::PostToNode(const transport::PeerArrival& arrival) {
  const bool accepted = node_->Post(
      coordination::PeerMessageReceived{.connection_ = arrival.connection_,
                                        .address_ = arrival.address_,
                                        .message_ = arrival.message_});
  if (!accepted) {
    RefuseArrival(arrival);
  }
}

void Daemon::RefuseArrival(const transport::PeerArrival& arrival) {
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

void Daemon::StopGracefully() {
  Log({.event_ = "stop_begun"});
  if (event_front_ != nullptr) {
    event_front_->AnnounceStop();
    // The target goes on beside a daemon that stops, so that its slots are
    // used for as long as callers come.
    absl::SleepFor(
        absl::Milliseconds(settings_.platform_->stop_notice_.value()) -
        kDrainLead);
    node_->Post(coordination::DrainRequested{});
    absl::SleepFor(kDrainLead);
    event_front_->StopGracefully();
  } else {
    node_->Post(coordination::DrainRequested{});
  }
  absl::SleepFor(kDrainNotice);
  http_server_->StopGracefully();
  WaitUntilIdle();
  node_->Post(coordination::TargetWithdrawn{});
  absl::SleepFor(kWorkPollInterval);
  Log({.event_ = "stop_work_done"});
}

void Daemon::WaitUntilIdle() {
  std::optional<absl::Time> only_reports_since;
  while (true) {
    const std::optional<NodeView> view = node_->View();
    const bool has_work = !view.has_value() ||
                          view->status_.calls_in_progress_ > 0 ||
                          view->status_.work_in_progress_ > 0;
    if (has_work) {
      only_reports_since.reset();
    } else if (view->status_.reports_in_progress_ == 0) {
      return;
    } else if (!only_reports_since.has_value()) {
      only_reports_since = absl::Now();
    } else if (absl::Now() - *only_reports_since >= kReportTimeout) {
      Log({.level_ = state::LogLevel::kWarning,
           .event_ = "stop_without_register",
           .fields_ = {{"reports", static_cast<int64_t>(
                                       view->status_.reports_in_progress_)}}});
      return;
    }
    absl::SleepFor(kWorkPollInterval);
  }
}

}  // namespace gooseberrygap::daemon
