#ifndef STATE_INTERNAL_BINARY_H_
#define STATE_INTERNAL_BINARY_H_

#include <boost/endian/conversion.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include "absl/strings/string_view.h"

namespace gooseberrygap::state {

// Appends little-endian numbers and length-prefixed strings to a string. Not
// thread-safe.
class BinaryWriter {
 public:
  void U8(uint8_t value) { bytes_.push_back(static_cast<char>(value)); }
  void U32(uint32_t value) { Put(value); }
  void U64(uint64_t value) { Put(value); }
  void String(absl::string_view value) {
    U32(static_cast<uint32_t>(value.size()));
    bytes_.append(value.data(), value.size());
  }
  const std::string& bytes() const { return bytes_; }

 private:
  template <class T>
  void Put(T value) {
    unsigned char buffer[sizeof(T)];
    boost::endian::endian_store<T, sizeof(T), boost::endian::order::little>(
        buffer, value);
    bytes_.append(reinterpret_cast<const char*>(buffer), sizeof(T));
  }

  std::string bytes_;
};

// Reads the output of BinaryWriter. After the first read beyond the end, every
// read returns zero or an empty string and Complete() is false. Not
// thread-safe.
class BinaryReader {
 public:
  explicit BinaryReader(absl::string_view bytes) : remaining_(bytes) {}

  uint8_t U8() { return Get<uint8_t>(); }
  uint32_t U32() { return Get<uint32_t>(); }
  uint64_t U64() { return Get<uint64_t>(); }
  std::string String() { return std::string(Take(U32())); }
  // Returns whether unread bytes remain and no read has failed.
  bool HasMore() const { return valid_ && !remaining_.empty(); }
  // Returns whether all bytes were read and no read has failed.
  bool Complete() const { return valid_ && remaining_.empty(); }
  bool valid() const { return valid_; }

 private:
  absl::string_view Take(size_t size) {
    if (size > remaining_.size()) {
      valid_ = false;
      remaining_ = {};
    }
    const absl::string_view taken =
        valid_ ? remaining_.substr(0, size) : remaining_;
    remaining_.remove_prefix(taken.size());
    return taken;
  }
  template <class T>
  T Get() {
    const absl::string_view taken = Take(sizeof(T));
    if (taken.size() < sizeof(T)) {
      return 0;
    }
    return boost::endian::endian_load<T, sizeof(T),
                                      boost::endian::order::little>(
        reinterpret_cast<const unsigned char*>(taken.data()));
  }

  absl::string_view remaining_;
  bool valid_ = true;
};

}  // namespace gooseberrygap::state

#endif  // STATE_INTERNAL_BINARY_H_
