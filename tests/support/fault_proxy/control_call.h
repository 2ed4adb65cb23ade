#ifndef SUPPORT_FAULT_PROXY_CONTROL_CALL_H_
#define SUPPORT_FAULT_PROXY_CONTROL_CALL_H_

#include <cstdint>
#include <future>

#include "state/state.h"
#include "support/fault_proxy/proxy.h"

namespace gooseberrygap::test_support {

// A request that waits for the epoll thread's answer.
struct Proxy::ControlCall {
  const state::HttpRequest request_ = {};
  std::promise<state::HttpAnswer> answer_;
};

// What an epoll event belongs to.
enum class TagKind { kWake, kListener, kConnection };

constexpr int kTagKindShift = 62;

constexpr uint64_t TagOf(TagKind kind, uint64_t index) {
  return static_cast<uint64_t>(kind) << kTagKindShift | index;
}
constexpr TagKind KindOf(uint64_t tag) {
  return static_cast<TagKind>(tag >> kTagKindShift);
}
constexpr uint64_t IndexOf(uint64_t tag) {
  return tag & ((uint64_t{1} << kTagKindShift) - 1);
}

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_FAULT_PROXY_CONTROL_CALL_H_
