#ifndef COORDINATION_INTERNAL_SLOT_LIMIT_H_
#define COORDINATION_INTERNAL_SLOT_LIMIT_H_

#include <algorithm>

namespace gooseberrygap::coordination {

// Detects whether a target answers more requests a second when a part of its
// slots stays free. Some targets slow down when they are nearly full: one with
// 6 slots that takes 1.7 times as long with 5 of them in use serves more
// with 4. Not thread-safe.
class SlotLimit {
 public:
  // Records a request that took `relative_time` times the usual service time of
  // its route. `running` requests, itself included, ran when it was started.
  void Add(int running, int slots, double relative_time) {
    const int reduced = ReducedSlots(slots);
    if (running > reduced) {
      full_.Add(relative_time);
    } else if (running <= slots / 2) {
      light_.Add(relative_time);
    }
    const bool has_enough_samples = full_.count_ >= kMinSamples &&
                                    light_.count_ >= kMinSamples && reduced > 0;
    // A reduced limit stays: without requests on a full target it gets no
    // further samples.
    is_reduced_ =
        is_reduced_ || (has_enough_samples &&
                        full_.mean_ > SlowdownThreshold(slots) * light_.mean_);
  }

  // Returns how many requests may run at a time.
  int Limit(int slots) const {
    return is_reduced_ ? ReducedSlots(slots) : slots;
  }

 private:
  struct Mean {
    void Add(double sample) {
      ++count_;
      mean_ += (sample - mean_) / std::min(count_, kMaxSamples);
    }

    int count_ = 0;
    double mean_ = 0;
  };

  // Throughput that the reduced slots must reach, relative to all slots.
  // Slightly fewer answers a second are accepted, since each of them is much
  // faster.
  static constexpr double kMinRelativeThroughput = 0.85;
  static constexpr double kMinSlowdown = 1.2;
  // Samples that each mean must have before the slots can be reduced.
  static constexpr int kMinSamples = 12;
  // From this count on a sample has the weight 1 / kMaxSamples in the mean.
  static constexpr int kMaxSamples = 50;

  // Returns four fifths of the slots, rounded down.
  static int ReducedSlots(int slots) {
    constexpr int kFifths = 5;
    return slots * (kFifths - 1) / kFifths;
  }

  // Returns how many times as long as on a lightly loaded target requests must
  // take on a full one for the slots to be reduced.
  static double SlowdownThreshold(int slots) {
    return std::max(kMinSlowdown, kMinRelativeThroughput * slots /
                                      std::max(1, ReducedSlots(slots)));
  }

  Mean full_;
  Mean light_;
  bool is_reduced_ = false;
};

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_SLOT_LIMIT_H_
