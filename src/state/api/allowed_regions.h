#ifndef STATE_API_ALLOWED_REGIONS_H_
#define STATE_API_ALLOWED_REGIONS_H_

#include <algorithm>
#include <string>
#include <vector>
#include "absl/strings/string_view.h"

namespace gooseberrygap::state {

// The regions whose targets may run a call. Thread-safe, since it is immutable.
class AllowedRegions {
 public:
  // Allows all regions.
  AllowedRegions() = default;
  // Allows the listed regions; an empty list, as in a configuration, allows
  // all.
  explicit AllowedRegions(const std::vector<std::string>& listed)
      : is_restricted_(!listed.empty()), regions_(listed) {}

  // Returns the regions that both allow, possibly none.
  AllowedRegions Intersect(const AllowedRegions& other) const {
    if (!is_restricted_) {
      return other;
    }
    AllowedRegions both;
    both.is_restricted_ = true;
    for (const std::string& region : regions_) {
      if (other.Allows(region)) {
        both.regions_.push_back(region);
      }
    }
    return both;
  }

  bool Allows(absl::string_view region) const {
    return !is_restricted_ || std::find(regions_.begin(), regions_.end(),
                                        region) != regions_.end();
  }
  bool is_restricted() const { return is_restricted_; }
  // Returns whether no region may run the call.
  bool allows_none() const { return is_restricted_ && regions_.empty(); }

  friend bool operator==(const AllowedRegions&,
                         const AllowedRegions&) = default;

 private:
  bool is_restricted_ = false;
  std::vector<std::string> regions_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_ALLOWED_REGIONS_H_
