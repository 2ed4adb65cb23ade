#ifndef COORDINATION_INTERNAL_CONTROL_CHOICE_H_
#define COORDINATION_INTERNAL_CONTROL_CHOICE_H_

#include <string>
#include <vector>

#include "coordination/api/control_client.h"

namespace gooseberrygap::coordination {

// Knowledge of an instance that is older counts as stale.
inline constexpr state::Millis kFreshKnowledge(3000);

// Chooses the control instance that a daemon holds its lease with. Not
// thread-safe.
class ControlChoice {
 public:
  // Daemons spread over the instances of their region by their name.
  ControlChoice(const state::TargetRecord& self,
                std::vector<ControlAddress> instances);

  // Chooses among these instances from now on. What is known of an instance is
  // kept by its address; so is the current one, if it is among them.
  void SetInstances(const std::vector<ControlAddress>& instances);

  // Adds instances of which only the address is known, last in the order. They
  // stay until SetInstances is called with other instances.
  void AddSeeds(const std::vector<std::string>& addresses);

  bool empty() const { return instances_.empty(); }
  // Precondition for all others: there are instances.
  const std::string& address() const;
  // Returns whether that is the current instance, named by its reply or, when
  // the name is not in the settings, by the address it came from.
  bool IsCurrent(const std::string& instance, const std::string& address) const;

  // Notes the age of an instance's knowledge. Returns whether it is worth
  // moving to: its knowledge is fresh and that of the current one is not, or
  // the current one is in another region.
  bool OnAge(const std::string& instance, state::Millis age, state::Millis now);
  // Moves to that instance.
  void MoveTo(const std::string& instance);
  // The current instance does not reply: moves to the next one, first to those
  // known to be fresh, then in the own region, then the longest untried.
  void MoveOn(state::Millis now);
  // Returns the address to ask for its knowledge, when the current instance is
  // stale or in another region; otherwise an empty string. The daemon moves
  // only when the answer is good, so that it does not wander among stale
  // instances.
  std::string AddressToAsk(state::Millis now);

 private:
  struct Instance {
    ControlAddress address_;
    bool in_own_region_ = false;
    // Last reply; the age of its knowledge then.
    bool has_replied_ = false;
    state::Millis replied_at_;
    state::Millis age_;
    // When it was last chosen or asked.
    state::Millis tried_at_;
  };

  bool IsFresh(const Instance& instance, state::Millis now) const;
  // Neither fresh nor stale without a recent reply.
  bool IsStale(const Instance& instance, state::Millis now) const;
  bool HasValidAge(const Instance& instance, state::Millis now) const;
  Instance* Find(const std::string& instance);

  // Puts the own region's instances first and chooses one by the own name.
  void Order(std::vector<Instance> instances);

  const std::string self_;
  const std::string region_;
  std::vector<Instance> instances_;  // The own region's first.
  size_t current_ = 0;
  state::Millis ask_at_;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_CONTROL_CHOICE_H_
