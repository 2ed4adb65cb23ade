#include "coordination/internal/service_times.h"

#include "coordination/api/service_time.h"

namespace gooseberrygap::coordination {

void ServiceTimes::Estimates::Add(const std::string& route,
                                  state::Millis time) {
  routes_[route].Add(time);
  all_.Add(time);
}

state::Millis ServiceTimes::Estimates::For(const std::string& route) const {
  const auto entry = routes_.find(route);
  return entry == routes_.end() ? all_.mean() : entry->second.mean();
}

state::Millis ServiceTimes::Estimates::ForRoute(
    const std::string& route) const {
  const auto entry = routes_.find(route);
  return entry == routes_.end() ? state::Millis() : entry->second.mean();
}

void ServiceTimes::Add(const std::string& route, state::Millis time) {
  usual_.Add(route, time);
}

void ServiceTimes::AddAtSpeed(const std::string& route,
                              state::Millis time,
                              int percent) {
  converted_.Add(
      route, time * (static_cast<double>(kUsualServiceTimePercent) / percent));
}

state::Millis ServiceTimes::For(const std::string& route) const {
  const state::Millis usual = usual_.For(route);
  return usual > state::Millis(0) ? usual : converted_.For(route);
}

state::Millis ServiceTimes::ForRoute(const std::string& route) const {
  const state::Millis usual = usual_.ForRoute(route);
  return usual > state::Millis(0) ? usual : converted_.ForRoute(route);
}

state::Millis ServiceTimes::mean() const {
  const state::Millis usual = usual_.all_.mean();
  return usual > state::Millis(0) ? usual : converted_.all_.mean();
}

}  // namespace gooseberrygap::coordination
