#ifndef STATE_API_BYTES_H_
#define STATE_API_BYTES_H_

#include <compare>
#include <memory>
#include <string>
#include <utility>
#include "absl/strings/string_view.h"

namespace gooseberrygap::state {

// An immutable byte string that is cheap to copy: copies share the content.
// Thread-safe, since the content is immutable.
class Bytes {
 public:
  Bytes() = default;
  // Takes ownership of `content`.
  explicit Bytes(std::string content)
      : content_(std::make_shared<const std::string>(std::move(content))) {}
  // Shares content whose owner learns when the last copy of this value is gone.
  explicit Bytes(std::shared_ptr<const std::string> content)
      : content_(std::move(content)) {}

  // Returns the content; valid while any copy of this value exists.
  absl::string_view view() const {
    return content_ == nullptr ? absl::string_view()
                               : absl::string_view(*content_);
  }
  // Returns a copy of the content.
  std::string ToString() const { return std::string(view()); }
  size_t size() const { return view().size(); }
  bool empty() const { return view().empty(); }

  friend bool operator==(const Bytes& left, const Bytes& right) {
    return left.content_ == right.content_ || left.view() == right.view();
  }
  friend std::strong_ordering operator<=>(const Bytes& left,
                                          const Bytes& right) {
    return left.view().compare(right.view()) <=> 0;
  }

 private:
  std::shared_ptr<const std::string> content_;
};

}  // namespace gooseberrygap::state

#endif  // STATE_API_BYTES_H_
