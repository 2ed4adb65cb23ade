#include "support/stand_in_target/announcer.h"

#include <httplib.h>

#include <nlohmann/json.hpp>

namespace gooseberrygap::test_support {

namespace {

using state::Millis;

constexpr Millis kInterval(1000);
// A daemon that does not answer must not hold up the next announcement.
constexpr std::chrono::milliseconds kPostTimeout(1000);
constexpr size_t kMaxSteps = 16;

}  // namespace

Announcer::Announcer(const Options& options,
                     const BehaviourHolder* behaviour,
                     const Slots* slots)
    : options_(options),
      behaviour_(behaviour),
      slots_(slots),
      incarnation_(state::WallMillis()),
      steps_(kMaxSteps),
      thread_(std::make_unique<transport::DutyThread>("announce",
                                                      [this] { Run(); })) {}

Announcer::~Announcer() {
  steps_.Close();
}

void Announcer::AnnounceNow() {
  // A full ring already holds an announcement that will see the new state.
  steps_.TryPush(Step::kAnnounce);
}

void Announcer::Leave() {
  while (!steps_.TryPush(Step::kLeave) && !steps_.closed()) {
    absl::SleepFor(absl::Milliseconds(10));
  }
  thread_->Join();
}

void Announcer::Run() {
  while (!steps_.closed()) {
    Announce();
    if (steps_.Pop(kInterval) == Step::kLeave) {
      Announce();
      Post("/-/withdraw", nlohmann::json({{"service", options_.service_},
                                          {"target", options_.target_}})
                              .dump());
      return;
    }
  }
}

void Announcer::Announce() {
  const std::shared_ptr<const Behaviour> behaviour = behaviour_->Get();
  const TargetLoad load =
      behaviour->load_report_ == "idle"
          ? TargetLoad()
          : slots_->LoadBefore(Millis(behaviour->load_lag_ms_));
  const nlohmann::json announcement = {
      {"service", options_.service_},
      {"target", options_.target_},
      {"address", options_.address_},
      {"slots", options_.slots_},
      {"state", behaviour->state_},
      {"incarnation", incarnation_},
      {"load", {{"in_flight", load.in_flight_}, {"queued", load.queued_}}}};
  Post("/-/announce", announcement.dump());
}

void Announcer::Post(const std::string& path, const std::string& body) {
  // A connection for each announcement: a kept one could be silently dead.
  httplib::Client client(options_.daemon_.host_, options_.daemon_.port_);
  client.set_connection_timeout(kPostTimeout);
  client.set_read_timeout(kPostTimeout);
  client.Post(path, body, "application/json");
}

}  // namespace gooseberrygap::test_support
