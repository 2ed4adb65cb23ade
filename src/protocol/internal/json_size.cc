#include "protocol/api/json_size.h"

#include <nlohmann/json.hpp>
#include <string>

#include "absl/strings/str_cat.h"

namespace gooseberrygap::protocol {

namespace {

using nlohmann::json;

// Bytes that the values of the library take on the heap. A list of elements
// grows by doubling and is copied, which takes three places for each element.
constexpr size_t kElementBytes = 3 * sizeof(json);
constexpr size_t kMemberBytes = 48 + sizeof(std::string) + sizeof(json);
constexpr size_t kContainerBytes = 64;
constexpr size_t kStringBytes = 16 + sizeof(std::string);

// Adds up what the values would take, without building them.
class SizeScanner : public nlohmann::json_sax<json> {
 public:
  explicit SizeScanner(size_t max_value_bytes)
      : max_value_bytes_(max_value_bytes) {}

  bool null() override { return Add(kElementBytes); }
  bool boolean(bool) override { return Add(kElementBytes); }
  bool number_integer(number_integer_t) override { return Add(kElementBytes); }
  bool number_unsigned(number_unsigned_t) override {
    return Add(kElementBytes);
  }
  bool number_float(number_float_t, const string_t&) override {
    return Add(kElementBytes);
  }
  bool string(string_t& text) override {
    return Add(kElementBytes + kStringBytes + text.size());
  }
  bool binary(binary_t&) override { return Add(kElementBytes); }
  bool start_object(std::size_t) override {
    return Add(kElementBytes + kContainerBytes);
  }
  bool end_object() override { return true; }
  bool start_array(std::size_t) override {
    return Add(kElementBytes + kContainerBytes);
  }
  bool end_array() override { return true; }
  bool key(string_t& key) override { return Add(kMemberBytes + key.size()); }
  bool parse_error(std::size_t,
                   const std::string&,
                   const json::exception&) override {
    return false;
  }

  bool is_too_large() const { return bytes_ > max_value_bytes_; }

 private:
  bool Add(size_t bytes) {
    bytes_ += bytes;
    return !is_too_large();
  }

  const size_t max_value_bytes_;
  size_t bytes_ = 0;
};

}  // namespace

state::Result<void> CheckJsonSize(absl::string_view text,
                                  size_t max_value_bytes) {
  SizeScanner scanner(max_value_bytes);
  json::sax_parse(text.begin(), text.end(), &scanner);
  if (scanner.is_too_large()) {
    return state::MakeError(
        state::ErrorKind::kInvalidRequest,
        absl::StrCat("The values of the document take more than ",
                     max_value_bytes, " bytes of memory"));
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace gooseberrygap::protocol
