#ifndef COORDINATION_INTERNAL_SLOT_LIMIT_H_
#define COORDINATION_INTERNAL_SLOT_LIMIT_H_

#include <algorithm>

namespace gooseberrygap::coordination {

// Learns whether a target answers more requests a second when a part of its
// slots stays free. It answers to targets that slow down when they are nearly
// full: one with 6 slots that takes 1.7 times as long with 5 of them in use
// serves more with 4. Not thread-safe.
class SlotLimit {
 public:
  // A request took `relative_time` times the usual time of its route, and
  // `running` requests, itself included, ran when it was started.
  void Add(int running, int slots, double relative_time) {
    const int reduced = Reduced(slots);
    if (running > reduced) {
      full_.Add(relative_time);
    } else if (running <= slots / 2) {
      light_.Add(relative_time);
    }
    const bool knows_enough = full_.count_ >= kMinSamples &&
                              light_.count_ >= kMinSamples && reduced > 0;
    // Once the slots are reduced, nothing more is learned of a full target.
    is_reduced_ = is_reduced_ ||
                  (knows_enough && full_.mean_ > Bound(slots) * light_.mean_);
  }

  // Returns how many requests may run at a time.
  int Limit(int slots) const { return is_reduced_ ? Reduced(slots) : slots; }

 private:
  struct Mean {
    void Add(double sample) {
      ++count_;
      mean_ += (sample - mean_) / std::min(count_, kMaxSamples);
    }

    int count_ = 0;
    double mean_ = 0;
  };

  // A few answers a second less are worth it when all are so much faster.
  static constexpr double kLeastGain = 0.85;
  static constexpr double kLeastSlowdown = 1.2;
  static constexpr int kMinSamples = 12;
  static constexpr int kMaxSamples = 50;

  // Four fifths of the slots, rounded down.
  static int Reduced(int slots) {
    constexpr int kFifths = 5;
    return slots * (kFifths - 1) / kFifths;
  }

  // Returns how much longer requests must take on a full target.
  static double Bound(int slots) {
    return std::max(kLeastSlowdown,
                    kLeastGain * slots / std::max(1, Reduced(slots)));
  }

  Mean full_;
  Mean light_;
  bool is_reduced_ = false;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_SLOT_LIMIT_H_
