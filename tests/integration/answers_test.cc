#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "integration/fixture.h"

namespace gooseberrygap::integration {
namespace {

using test_support::CallAnswer;
using test_support::Caller;

constexpr int kCallers = 50;
constexpr int kCallsEach = 200;

// Guards against answers that reach another caller, or in part, when the peer
// link delays, repeats and reorders messages.
TEST_CASE("10,000 concurrent calls each get their own whole answer",
          "[answers]") {
  const auto deployment =
      StartDeployment({.proxied_ = {.peer_ = true}, .seed_ = 7});
  SetAllPeerLinks(
      *deployment,
      R"({"forward": {"delay_ms": 1, "jitter_ms": 4, "duplicate_share": 0.1,
                      "reorder_share": 0.1},
          "backward": {"delay_ms": 1, "jitter_ms": 4, "duplicate_share": 0.1,
                       "reorder_share": 0.1}})");
  std::atomic<int> own = 0;
  std::atomic<int> not_complete = 0;
  std::vector<std::thread> threads;
  for (int i = 0; i < kCallers; ++i) {
    threads.emplace_back([&, i] {
      const auto& instances = deployment->spec().instances_;
      Caller caller(CallerAddress(
          *deployment,
          instances[static_cast<size_t>(i) % instances.size()].name_));
      for (int j = 0; j < kCallsEach; ++j) {
        const std::string path = absl::StrCat("/search/", i, "/", j);
        const std::string body =
            absl::StrCat(std::string(static_cast<size_t>(j) * 10, 'x'), i, j);
        const CallAnswer answer = caller.Call(Search(path, body));
        if (answer.Outcome() != "complete") {
          ++not_complete;
        } else if (answer.body_ ==
                   test_support::ExpectedEcho("POST", path, body)) {
          ++own;
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(own == kCallers * kCallsEach);
  CHECK(not_complete == 0);
  CHECK(deployment->SumCounter("gooseberrygap_attempt_duplicate_total") > 0);
}

}  // namespace
}  // namespace gooseberrygap::integration
