#include "coordination/internal/control_choice.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace gooseberrygap::coordination {

namespace {

// A reported staleness is valid for this time after the reply.
constexpr state::Millis kStalenessValidity(2000);
// Above this staleness of its control instance, a daemon looks for a better
// one. A member receives a heartbeat from its leader every 100 ms, and a
// configuration must be in force within 2 s, also at daemons whose control
// instance has just been partitioned from the leader.
constexpr state::Millis kStaleThreshold(800);
// An instance must be fresher than a stale one by more than this, so that
// daemons do not move back and forth among instances that all wait for a new
// leader.
constexpr state::Millis kMinStalenessGain(500);
// Interval between queries to other instances: while the current one is stale
// or silent, and while it is neither but in another region.
constexpr state::Millis kUnfitQueryInterval(250);
constexpr state::Millis kOtherRegionQueryInterval(10000);

}  // namespace

ControlChoice::ControlChoice(const state::TargetRecord& self,
                             std::vector<ControlAddress> instances)
    : self_(self.instance_), region_(self.region_) {
  std::vector<Instance> listed;
  for (ControlAddress& address : instances) {
    listed.push_back(Instance{.address_ = std::move(address)});
  }
  OrderAndChoose(std::move(listed));
}

void ControlChoice::SetInstances(const std::vector<ControlAddress>& instances) {
  const bool is_same = std::equal(
      instances.begin(), instances.end(), instances_.begin(), instances_.end(),
      [](const ControlAddress& address, const Instance& instance) {
        return address == instance.address_;
      });
  if (is_same || instances.empty()) {
    return;
  }
  const std::string current = empty() ? std::string() : address();
  std::vector<Instance> listed;
  for (const ControlAddress& instance : instances) {
    Instance next{.address_ = instance};
    for (const Instance& known : instances_) {
      if (known.address_.address_ == instance.address_) {
        next.has_replied_ = known.has_replied_;
        next.replied_at_ = known.replied_at_;
        next.staleness_ = known.staleness_;
        next.tried_at_ = known.tried_at_;
      }
    }
    listed.push_back(next);
  }
  OrderAndChoose(std::move(listed));
  for (size_t index = 0; index < instances_.size(); ++index) {
    if (instances_[index].address_.address_ == current) {
      current_ = index;
    }
  }
}

void ControlChoice::AddSeeds(const std::vector<std::string>& addresses) {
  for (const std::string& address : addresses) {
    const bool is_known = std::any_of(
        instances_.begin(), instances_.end(), [&address](const auto& known) {
          return known.address_.address_ == address;
        });
    if (!is_known) {
      instances_.push_back(
          Instance{.address_ = ControlAddress{.instance_ = address,
                                              .address_ = address}});
    }
  }
}

void ControlChoice::OrderAndChoose(std::vector<Instance> instances) {
  // A list of values with const members cannot be sorted in place.
  std::vector<Instance> ordered;
  for (const bool own : {true, false}) {
    for (Instance& instance : instances) {
      instance.in_own_region_ = instance.address_.region_ == region_;
      if (instance.in_own_region_ == own) {
        ordered.push_back(instance);
      }
    }
  }
  instances_.swap(ordered);
  const auto own_count = static_cast<size_t>(std::count_if(
      instances_.begin(), instances_.end(),
      [](const Instance& instance) { return instance.in_own_region_; }));
  const size_t choices = own_count > 0 ? own_count : instances_.size();
  current_ = choices > 0 ? std::hash<std::string>()(self_) % choices : 0;
}

const std::string& ControlChoice::address() const {
  return instances_[current_].address_.address_;
}

bool ControlChoice::IsCurrent(const std::string& instance,
                              const std::string& address) const {
  const ControlAddress& current = instances_[current_].address_;
  return instance == current.instance_ || address == current.address_;
}

std::optional<ControlMoveReason> ControlChoice::OnStalenessReport(
    const std::string& instance,
    state::Millis staleness,
    state::Millis now) {
  Instance* replied = Find(instance);
  if (replied == nullptr) {
    return std::nullopt;
  }
  replied->has_replied_ = true;
  replied->replied_at_ = now;
  replied->staleness_ = staleness;
  const Instance& current = instances_[current_];
  if (replied == &current || !IsFresh(*replied, now)) {
    return std::nullopt;
  }
  const bool is_better =
      replied->staleness_ + kMinStalenessGain < current.staleness_;
  if (IsStale(current, now) && is_better) {
    return ControlMoveReason::kStale;
  }
  if (replied->in_own_region_ && !current.in_own_region_ &&
      !IsStale(*replied, now)) {
    return ControlMoveReason::kOtherRegion;
  }
  return std::nullopt;
}

void ControlChoice::MoveTo(const std::string& instance) {
  Instance* chosen = Find(instance);
  if (chosen != nullptr) {
    current_ = static_cast<size_t>(chosen - instances_.data());
  }
}

void ControlChoice::MoveToNext(state::Millis now) {
  instances_[current_].tried_at_ = now;
  instances_[current_].has_replied_ = false;
  const auto rank = [this, now](size_t index) {
    const Instance& instance = instances_[index];
    const bool is_current = index == current_;
    return std::tuple(is_current, !IsFresh(instance, now),
                      IsStale(instance, now), instance.tried_at_,
                      !instance.in_own_region_, index);
  };
  size_t best = current_;
  for (size_t index = 0; index < instances_.size(); ++index) {
    if (rank(index) < rank(best)) {
      best = index;
    }
  }
  current_ = best;
}

std::string ControlChoice::AddressToQuery(bool current_is_silent,
                                          state::Millis now) {
  const Instance& current = instances_[current_];
  const bool is_unfit = current_is_silent || IsStale(current, now);
  const bool has_own_region = instances_.front().in_own_region_;
  const bool is_in_other_region = has_own_region && !current.in_own_region_;
  if (!is_unfit && !is_in_other_region) {
    return {};
  }
  // Compared with the time of the last query, whatever its reason was: a query
  // for the own region must not hold up those for a fresh instance.
  const state::Millis interval =
      is_unfit ? kUnfitQueryInterval : kOtherRegionQueryInterval;
  if (queried_at_.has_value() && now - *queried_at_ < interval) {
    return {};
  }
  queried_at_ = now;
  Instance* chosen = nullptr;
  for (Instance& instance : instances_) {
    const bool is_candidate =
        &instance != &current && (is_unfit || instance.in_own_region_);
    if (is_candidate &&
        (chosen == nullptr || instance.tried_at_ < chosen->tried_at_)) {
      chosen = &instance;
    }
  }
  if (chosen == nullptr) {
    return {};
  }
  chosen->tried_at_ = now;
  return chosen->address_.address_;
}

bool ControlChoice::IsFresh(const Instance& instance, state::Millis now) const {
  return HasValidStaleness(instance, now) &&
         instance.staleness_ <= kMaxFreshStaleness;
}

bool ControlChoice::IsStale(const Instance& instance, state::Millis now) const {
  return HasValidStaleness(instance, now) &&
         instance.staleness_ > kStaleThreshold;
}

bool ControlChoice::HasValidStaleness(const Instance& instance,
                                      state::Millis now) const {
  return instance.has_replied_ &&
         now - instance.replied_at_ <= kStalenessValidity;
}

ControlChoice::Instance* ControlChoice::Find(const std::string& instance) {
  const auto found =
      std::find_if(instances_.begin(), instances_.end(),
                   [&instance](const Instance& candidate) {
                     return candidate.address_.instance_ == instance;
                   });
  return found == instances_.end() ? nullptr : &*found;
}

}  // namespace gooseberrygap::coordination
