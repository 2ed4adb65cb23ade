#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <iostream>
#include <thread>

#include "absl/strings/str_cat.h"
#include "integration/control_pages.h"
#include "integration/fixture.h"
#include "integration/parallel_submission.h"

namespace gooseberrygap::integration {
namespace {

using state::Millis;
using test_support::Deployment;

// The targets: a group has a leader, and accepts, within this time after a
// heal.
constexpr Millis kLeaderAfterHeal(5000);
// A configuration is in force everywhere within this time after its
// acknowledgement.
constexpr Millis kInForce(2000);
// A configuration is acknowledged within this time by a stable group.
constexpr Millis kAcknowledged(4000);
constexpr Millis kCut(10000);

const std::vector<std::string> kMembers = {"lookup-0", "lookup-1", "lookup-2",
                                           "lookup-3", "lookup-4"};

using Pair = std::pair<std::string, std::string>;

void Sleep(Millis time) {
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(time.value()));
}

std::unique_ptr<Deployment> StartMembers() {
  return StartDeployment({.lookup_targets_ = 5,
                          .action_targets_ = 1,
                          .control_instances_ = 5,
                          .proxied_ = {.peer_ = true, .control_ = true}});
}

// Returns all ordered pairs of different members.
std::vector<Pair> AllPairs() {
  std::vector<Pair> pairs;
  for (const std::string& from : kMembers) {
    for (const std::string& to : kMembers) {
      if (from != to) {
        pairs.emplace_back(from, to);
      }
    }
  }
  return pairs;
}

// Changes the connections that the first of each pair opens to the second.
void SetLinks(const Deployment& deployment,
              const std::vector<Pair>& pairs,
              const std::string& patch) {
  for (const auto& [from, to] : pairs) {
    for (const char* kind : {"peer:", "control:"}) {
      Check(deployment.SetLink(absl::StrCat(kind, from, ">", to), patch));
    }
  }
}

std::string Patch(bool forward, bool backward, const std::string& more) {
  return absl::StrCat(R"({"forward":{"blocked":)", forward ? "true" : "false",
                      R"(},"backward":{"blocked":)",
                      backward ? "true" : "false", "}", more, "}");
}

// No byte that is on its way at either end of the cut arrives, as where a path
// drops packets and both hosts have given the connection up since.
constexpr const char* kFreeze = R"(,"freeze_established":"both")";

// Submits a version and checks the time to its acknowledgement, and from there
// until it is in force everywhere.
void CheckAccepted(const Deployment& deployment,
                   const std::string& name,
                   Millis bound) {
  const ParallelSubmission submission(deployment, kMembers, "change-2",
                                      VariantDocument(2, 2));
  const uint64_t index = submission.WaitForIndex();
  Check(deployment.WaitForConfiguration(index));
  const Millis accepted = submission.AcknowledgedAfter();
  const Millis in_force = submission.Age() - accepted;
  std::cout << name << ": accepted " << accepted.value()
            << " ms after its start, in force everywhere within "
            << in_force.value() << " ms\n";
  INFO(name);
  CHECK(accepted.value() <= bound.value());
  CHECK(in_force.value() <= kInForce.value());
}

// Guards against members whose links stay silent after a cut of all of them:
// nothing passes on open connections, and new ones open but are silent too.
TEST_CASE("members accept soon after all their links were silent",
          "[control_links]") {
  const bool one_way = GENERATE(false, true);
  const bool lost = GENERATE(false, true);
  const std::string name = absl::StrCat(one_way ? "one way" : "both ways",
                                        lost ? ", bytes lost" : ", bytes late");
  const auto deployment = StartMembers();
  std::vector<Pair> down = AllPairs();
  std::vector<Pair> up = AllPairs();
  // Of each pair, the one way is that from the earlier to the later member.
  std::erase_if(down,
                [](const Pair& pair) { return pair.first > pair.second; });
  std::erase_if(up, [](const Pair& pair) { return pair.first < pair.second; });
  const std::string freeze = lost ? kFreeze : "";
  SetLinks(*deployment, down, Patch(true, !one_way, freeze));
  SetLinks(*deployment, up, Patch(!one_way, true, freeze));
  Sleep(kCut);
  SetLinks(*deployment, AllPairs(), Patch(false, false, freeze));
  CheckAccepted(*deployment, name, kLeaderAfterHeal);
}

// Guards against members that give up a path on which new connections are
// silent for a while after the old ones have gone.
TEST_CASE("members accept soon after new connections were silent",
          "[control_links]") {
  constexpr Millis kSilentAfterHeal(3000);
  const bool lost = GENERATE(false, true);
  const auto deployment = StartMembers();
  SetLinks(*deployment, AllPairs(), Patch(true, true, ""));
  Sleep(kCut);
  SetLinks(*deployment, AllPairs(), Patch(true, true, R"(,"cut":true)"));
  Sleep(kSilentAfterHeal);
  SetLinks(*deployment, AllPairs(), Patch(false, false, lost ? kFreeze : ""));
  CheckAccepted(*deployment,
                lost ? "silent after the cut, bytes lost"
                     : "silent after the cut, bytes late",
                kLeaderAfterHeal);
}

// Guards against links that are replaced before the connect is through, where
// hosts answer connects late after a cut, and so never come up.
TEST_CASE("members accept where hosts answer connects late after a cut",
          "[control_links]") {
  constexpr Millis kLate(1500);
  const auto deployment = StartMembers();
  SetLinks(*deployment, AllPairs(), Patch(true, true, ""));
  Sleep(kCut);
  SetLinks(*deployment, AllPairs(),
           absl::StrCat(R"({"forward":{"blocked":false},"backward":)",
                        R"({"blocked":false,"open_delay_ms":)", kLate.value(),
                        R"(},"cut":true})"));
  // The links come up again, and the group has a leader.
  Sleep(kLate + kLeaderAfterHeal);
  CheckAccepted(*deployment, "connects late", kAcknowledged);
}

// Guards against one host that answers connects late and holds up the others.
TEST_CASE("members accept where one host answers connects late",
          "[control_links]") {
  constexpr Millis kLate(3000);
  const auto deployment = StartMembers();
  std::vector<Pair> pairs = AllPairs();
  std::erase_if(pairs,
                [](const Pair& pair) { return pair.second != "lookup-4"; });
  SetLinks(*deployment, pairs,
           absl::StrCat(R"({"backward":{"open_delay_ms":)", kLate.value(),
                        R"(},"cut":true})"));
  Sleep(kLate + kLeaderAfterHeal);
  CheckAccepted(*deployment, "connects late at one member", kAcknowledged);
}

// Guards against two sides that replace their links to each other at once and
// go on to do so.
TEST_CASE("members accept soon after all open links went silent",
          "[control_links]") {
  const auto deployment = StartMembers();
  SetLinks(*deployment, AllPairs(), Patch(false, false, kFreeze));
  CheckAccepted(*deployment, "open links silent", kLeaderAfterHeal);
}

// Guards against a candidate that gets no votes because it has no links yet.
TEST_CASE("members accept soon after a restart with two of five frozen",
          "[control_links]") {
  const auto deployment = StartMembers();
  const std::string leader = WaitForLeader(*deployment, kMembers);
  std::vector<std::string> others = kMembers;
  std::erase(others, leader);
  deployment->Pause(leader);
  deployment->Pause(others[0]);
  for (size_t i = 1; i < others.size(); ++i) {
    Check(deployment->Restart(others[i]));
  }
  const ParallelSubmission submission(*deployment, kMembers, "change-2",
                                      VariantDocument(2, 2));
  const uint64_t index = submission.WaitForIndex();
  std::cout << "young links: accepted "
            << submission.AcknowledgedAfter().value()
            << " ms after the restart\n";
  CHECK(submission.AcknowledgedAfter().value() <= kLeaderAfterHeal.value());
  deployment->Resume(leader);
  deployment->Resume(others[0]);
  Check(deployment->WaitForConfiguration(index));
}

}  // namespace
}  // namespace gooseberrygap::integration
