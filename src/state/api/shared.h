#ifndef STATE_API_SHARED_H_
#define STATE_API_SHARED_H_

#include <memory>
#include <utility>

namespace gooseberrygap::state {

// An immutable value that is cheap to copy: copies share the content. Compares
// by content, and at once where both share it, so that comparing or copying a
// long list of values costs in proportion to those that differ. Thread-safe,
// since the content is immutable.
template <class Value>
class Shared {
 public:
  // Holds a default value.
  Shared() : value_(Default()) {}
  explicit Shared(const Value& value)
      : value_(std::make_shared<const Value>(value)) {}

  // The content; valid while any copy of this value exists.
  const Value& operator*() const { return *value_; }
  const Value* operator->() const { return value_.get(); }

  friend bool operator==(const Shared& left, const Shared& right) {
    return left.value_ == right.value_ || *left.value_ == *right.value_;
  }

 private:
  static const std::shared_ptr<const Value>& Default() {
    static const auto kDefault = std::make_shared<const Value>();
    return kDefault;
  }

  std::shared_ptr<const Value> value_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_SHARED_H_
