#include "soak/operators.h"

#include <chrono>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "integration/fixture.h"

namespace gooseberrygap::soak {

namespace {

using nlohmann::json;

constexpr int kShortestPauseMillis = 100;
constexpr int kLongestPauseMillis = 1500;
constexpr double kRaceShare = 0.25;
constexpr std::chrono::milliseconds kPauseBetweenTries(150);
constexpr state::Millis kAnswerTimeout(3000);
// Longer than all faults of a run last together after its end.
constexpr int kMaxTries = 150;
constexpr const char* kStrategies[] = {"probed_latency", "two_choices",
                                       "least_in_flight", "round_robin"};

}  // namespace

Operators::Operators(const test_support::Deployment& deployment,
                     uint64_t seed,
                     Findings* findings)
    : seed_(seed), findings_(findings), random_(seed * 104729 + 1) {
  acknowledged_ = {.version_ = 1, .index_ = 0, .strategy_ = kStrategies[0]};
  for (const auto& instance : deployment.spec().instances_) {
    daemons_.push_back(deployment.AddressesOf(instance.name_).http_);
  }
  thread_ = std::thread([this] { Run(); });
}

Operators::~Operators() {
  Finish();
}

AcknowledgedChange Operators::Finish() {
  stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
  return acknowledged_;
}

void Operators::Run() {
  while (!stopping_) {
    const bool races =
        std::uniform_real_distribution<double>(0, 1)(random_) < kRaceShare;
    if (races) {
      Race();
    } else {
      ChangeOnce();
    }
    const int pause = std::uniform_int_distribution<int>(
        kShortestPauseMillis, kLongestPauseMillis)(random_);
    std::this_thread::sleep_for(std::chrono::milliseconds(pause));
  }
}

void Operators::ChangeOnce() {
  const uint64_t version = acknowledged_.version_ + 1;
  const Change change = MakeChange(version);
  uint64_t index = 0;
  switch (Submit(change, random_(), &index)) {
    case Verdict::kAccepted:
      acknowledged_ = {
          .version_ = version, .index_ = index, .strategy_ = change.strategy_};
      return;
    case Verdict::kConflict:
      findings_->Add(absl::StrCat("version ", version,
                                  " of the only operator was refused"));
      return;
    case Verdict::kUnclear:
      findings_->Add(absl::StrCat("version ", version, " got no clear answer"));
      return;
  }
}

void Operators::Race() {
  const uint64_t version = acknowledged_.version_ + 1;
  const Change first = MakeChange(version);
  std::unique_ptr<const Change> second;
  // Equal documents are one change, which both operators may be told of.
  while (second == nullptr || second->strategy_ == first.strategy_) {
    second = std::make_unique<const Change>(MakeChange(version));
  }
  const uint64_t first_seed = random_();
  const uint64_t second_seed = random_();
  uint64_t first_index = 0;
  uint64_t second_index = 0;
  Verdict first_verdict = Verdict::kUnclear;
  std::thread other(
      [&] { first_verdict = Submit(first, first_seed, &first_index); });
  const Verdict second_verdict = Submit(*second, second_seed, &second_index);
  other.join();
  const bool first_won = first_verdict == Verdict::kAccepted;
  const bool second_won = second_verdict == Verdict::kAccepted;
  if (first_won == second_won) {
    findings_->Add(absl::StrCat("of two changes to version ", version, " ",
                                first_won ? "both" : "none",
                                " was acknowledged"));
    return;
  }
  acknowledged_ = {
      .version_ = version,
      .index_ = first_won ? first_index : second_index,
      .strategy_ = first_won ? first.strategy_ : second->strategy_};
}

Operators::Change Operators::MakeChange(uint64_t version) {
  const std::string strategy = kStrategies[random_() % std::size(kStrategies)];
  const std::string submission =
      absl::StrCat("soak-", seed_, "-", version, "-", random_());
  return Change{
      .submission_ = submission,
      .strategy_ = strategy,
      .body_ = integration::Submission(
          submission, integration::ConfigurationDocument(version, strategy))};
}

Operators::Verdict Operators::Submit(const Change& change,
                                     uint64_t seed,
                                     uint64_t* index) const {
  std::mt19937_64 random(seed);
  for (int i = 0; i < kMaxTries; ++i) {
    const test_support::CallAnswer answer = test_support::CallOnce(
        daemons_[random() % daemons_.size()],
        {.method_ = "PUT",
         .path_ = "/-/config",
         .headers_ = {{.name_ = "Content-Type", .value_ = "application/json"}},
         .body_ = change.body_,
         .timeout_ = kAnswerTimeout});
    const json reply =
        json::parse(answer.body_, nullptr, /*allow_exceptions=*/false);
    if (answer.status_ == 200 && reply.is_object()) {
      *index = reply.value("index", uint64_t{0});
      ++acknowledged_count_;
      return Verdict::kAccepted;
    }
    if (answer.status_ == 409) {
      return Verdict::kConflict;
    }
    std::this_thread::sleep_for(kPauseBetweenTries);
  }
  return Verdict::kUnclear;
}

}  // namespace gooseberrygap::soak
