#include "support/body_digest.h"

#include <boost/crc.hpp>

#include "absl/strings/str_cat.h"

namespace gooseberrygap::test_support {

namespace {

constexpr uint64_t kEcmaPolynomial = 0x42F0E1EBA9EA3693;

}  // namespace

std::string BodyDigest(absl::string_view body) {
  boost::crc_optimal<64, kEcmaPolynomial, ~0ULL, ~0ULL, true, true> crc;
  crc.process_bytes(body.data(), body.size());
  return absl::StrCat(absl::Hex(crc.checksum(), absl::kZeroPad16));
}

}  // namespace gooseberrygap::test_support
