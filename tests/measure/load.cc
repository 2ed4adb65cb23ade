#include "measure/load.h"

#include <pthread.h>

#include <atomic>
#include <memory>
#include <optional>
#include <random>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "support/caller.h"

namespace gooseberrygap::measure {

namespace {

using state::Millis;

// Time to create the callers before the first arrival.
constexpr Millis kLead(50);
// An arrival that is sent later than this counts as late.
constexpr Millis kLate(5);
// A daemon that misses the deadline is given this time to say so.
constexpr Millis kGrace(500);

}  // namespace

std::vector<Arrival> DrawArrivals(uint64_t seed,
                                  double per_second,
                                  Millis duration) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap_ms(per_second / 1000);
  std::vector<Arrival> arrivals;
  for (double at = gap_ms(random); at < duration.value();
       at += gap_ms(random)) {
    arrivals.push_back({.at_ = Millis(at), .draw_ = random()});
  }
  return arrivals;
}

// The arrivals of one endpoint, shared by its callers.
class LoadRun::Endpoint {
 public:
  explicit Endpoint(const test_support::Address& address) : address_(address) {}

  void Append(const Arrival& arrival) { arrivals_.push_back(arrival); }
  // Call it before the callers start.
  void Seal() { samples_.resize(arrivals_.size()); }

  const test_support::Address& address() const { return address_; }
  const std::vector<Arrival>& arrivals() const { return arrivals_; }
  const std::optional<Sample>& sample(size_t index) const {
    return samples_[index];
  }
  // Returns the next arrival's index, or nothing at the end.
  std::optional<size_t> TakeNext() {
    const size_t index = next_.fetch_add(1);
    return index < arrivals_.size() ? std::optional<size_t>(index)
                                    : std::nullopt;
  }
  void Record(size_t index, const Sample& sample) {
    samples_[index].emplace(sample);
  }

 private:
  const test_support::Address address_;
  std::vector<Arrival> arrivals_;
  std::vector<std::optional<Sample>> samples_;
  std::atomic<size_t> next_ = 0;
};

struct LoadRun::Duty {
  const LoadRun* const run_ = nullptr;
  Endpoint* const endpoint_ = nullptr;
};

LoadRun::LoadRun(const LoadPlan& plan, const std::vector<Arrival>& arrivals)
    : plan_(plan), start_(clock_.Now() + kLead) {
  for (const test_support::Address& address : plan_.endpoints_) {
    endpoints_.push_back(std::make_unique<Endpoint>(address));
  }
  for (const Arrival& arrival : arrivals) {
    endpoints_[arrival.draw_ % endpoints_.size()]->Append(arrival);
  }
  for (const auto& endpoint : endpoints_) {
    endpoint->Seal();
    for (int i = 0; i < plan_.callers_per_endpoint_; ++i) {
      auto duty = std::make_unique<Duty>(
          Duty{.run_ = this, .endpoint_ = endpoint.get()});
      pthread_t caller = {};
      if (pthread_create(&caller, nullptr, &RunCaller, duty.get()) == 0) {
        // The caller owns its duty.
        static_cast<void>(duty.release());
        callers_.push_back(caller);
      }
    }
  }
}

LoadRun::~LoadRun() {
  for (const pthread_t caller : callers_) {
    pthread_join(caller, nullptr);
  }
}

void LoadRun::SleepUntil(Millis at) const {
  const Millis left = start_ + at - clock_.Now();
  if (left > Millis(0)) {
    absl::SleepFor(absl::Milliseconds(left.value()));
  }
}

void* LoadRun::RunCaller(void* argument) {
  const std::unique_ptr<Duty> duty(static_cast<Duty*>(argument));
  const LoadRun& run = *duty->run_;
  Endpoint& endpoint = *duty->endpoint_;
  test_support::Caller caller(endpoint.address());
  while (const std::optional<size_t> index = endpoint.TakeNext()) {
    const Arrival& arrival = endpoint.arrivals()[*index];
    run.SleepUntil(arrival.at_);
    const Millis intended = run.start_ + arrival.at_;
    const Millis delay = run.clock_.Now() - intended;
    if (delay > run.plan_.deadline_) {
      endpoint.Record(*index, {.late_ = true, .latency_ = delay});
      continue;
    }
    const test_support::CallAnswer answer = caller.Call(
        {.path_ = absl::StrCat(run.plan_.path_prefix_, arrival.draw_),
         .headers_ = {{.name_ = "Gooseberrygap-Deadline-Ms",
                       .value_ = absl::StrCat(run.plan_.deadline_.value())}},
         .timeout_ = run.plan_.deadline_ + kGrace});
    endpoint.Record(*index, {.good_ = answer.status_ == 200,
                             .late_ = delay > kLate,
                             .latency_ = run.clock_.Now() - intended});
  }
  return nullptr;
}

std::vector<Sample> LoadRun::Finish() {
  for (const pthread_t caller : callers_) {
    pthread_join(caller, nullptr);
  }
  callers_.clear();
  std::vector<Sample> samples;
  for (const auto& endpoint : endpoints_) {
    for (size_t i = 0; i < endpoint->arrivals().size(); ++i) {
      if (endpoint->arrivals()[i].at_ >= plan_.warm_up_) {
        samples.push_back(endpoint->sample(i).value_or(Sample{.late_ = true}));
      }
    }
  }
  return samples;
}

}  // namespace gooseberrygap::measure
