#include <catch2/catch.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "integration/fixture.h"
#include "integration/steady_load.h"

namespace gooseberrygap::integration {
namespace {

using test_support::CallAnswer;
using test_support::CallOnce;

// Guards against lookups that wait for their deadline, and actions that are
// told a wrong outcome, when established peer connections stay open but carry
// no byte any more.
TEST_CASE("silent peer links are replaced", "[silent_link]") {
  const std::string direction = GENERATE("forward", "backward", "both");
  INFO(direction);
  const auto deployment = StartDeployment({.lookup_targets_ = 4,
                                           .action_targets_ = 4,
                                           .proxied_ = {.peer_ = true}});
  const auto& instances = deployment->spec().instances_;
  const auto call_all = [&](const std::string& name) {
    std::vector<std::string> failures;
    std::vector<std::string> complete_keys;
    std::vector<std::string> not_run_keys;
    for (size_t i = 0; i < 4 * instances.size(); ++i) {
      const auto& address =
          CallerAddress(*deployment, instances[i % instances.size()].name_);
      const std::string key = absl::StrCat(name, "-", i);
      const CallAnswer lookup =
          CallOnce(address, Lookup(absl::StrCat("/", key)));
      if (lookup.status_ != 200 || lookup.Outcome() != "complete") {
        failures.push_back(absl::StrCat(key, " ", lookup.status_, " ",
                                        lookup.Header("Gooseberrygap-Reason"),
                                        lookup.failure_));
      }
      const std::string outcome = CallOnce(address, Action(key)).Outcome();
      CHECK((outcome == "complete" || outcome == "not-run" ||
             outcome == "unknown"));
      if (outcome == "complete") {
        complete_keys.push_back(key);
      } else if (outcome == "not-run") {
        not_run_keys.push_back(key);
      }
    }
    INFO(absl::StrJoin(failures, "\n"));
    CHECK(failures.empty());
    CheckRunOnce(*deployment, complete_keys);
    const auto log = ReadAllExecutions(*deployment);
    for (const std::string& key : not_run_keys) {
      CHECK(test_support::CountBegun(log, key) == 0);
    }
  };
  call_all("before");
  SetAllPeerLinks(*deployment, absl::StrCat(R"({"freeze_established": ")",
                                            direction, "\"}"));
  call_all("after");
  CHECK(deployment->SumCounter("gooseberrygap_peer_link_reset_total") > 0);
}

}  // namespace
}  // namespace gooseberrygap::integration
