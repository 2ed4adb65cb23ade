#include "support/loopback.h"

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>

#include "absl/strings/str_cat.h"

namespace gooseberrygap::test_support {

namespace {

constexpr int kBlocks = 240 * 256;  // 127.10.0.0/24 to 127.249.255.0/24
constexpr int kFirstOctet = 10;
constexpr int kReservationHost = 254;
constexpr int kReservationPort = 9999;
constexpr int kHosts = 253;
constexpr int kFirstPort = 10000;
constexpr int kPorts = 20000;

std::string HostOf(int block, int host) {
  return absl::StrCat("127.", kFirstOctet + block / 256, ".", block % 256, ".",
                      host);
}

// Returns a socket bound to the address, or -1.
int BindTo(const Address& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in name = ToSocketAddress(address);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&name),
           sizeof(name)) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

// Finds a block that no other process has reserved. The bound socket is the
// reservation; it stays open until the process ends.
int ReserveBlock() {
  const int first = getpid() % kBlocks;
  for (int offset = 0; offset < kBlocks; ++offset) {
    const int block = (first + offset) % kBlocks;
    if (BindTo({.host_ = HostOf(block, kReservationHost),
                .port_ = kReservationPort}) >= 0) {
      return block;
    }
  }
  return first;
}

}  // namespace

std::string NewLoopbackHost() {
  static const int kBlock = ReserveBlock();
  static std::atomic<int> next = 0;
  return HostOf(kBlock, 1 + next++ % kHosts);
}

Address FreeAddress(const std::string& host) {
  static std::atomic<int> next = 0;
  while (true) {
    Address address = {.host_ = host, .port_ = kFirstPort + next++ % kPorts};
    const int descriptor = BindTo(address);
    if (descriptor >= 0) {
      close(descriptor);
      return address;
    }
  }
}

}  // namespace gooseberrygap::test_support
