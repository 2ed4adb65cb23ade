#ifndef COORDINATION_INTERNAL_REGISTER_TAGS_H_
#define COORDINATION_INTERNAL_REGISTER_TAGS_H_

#include <cstdint>

namespace gooseberrygap::coordination {

// The ingress and the guard of a daemon share one register client; the tags of
// their calls differ in the lowest bit.
constexpr uint64_t IngressTag(uint64_t number) {
  return number * 2;
}
constexpr uint64_t GuardTag(uint64_t number) {
  return number * 2 + 1;
}
constexpr bool IsIngressTag(uint64_t tag) {
  return tag % 2 == 0;
}

}  // namespace gooseberrygap::coordination

#endif  // COORDINATION_INTERNAL_REGISTER_TAGS_H_
