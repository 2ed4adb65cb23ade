#include <sys/resource.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <memory>
#include <random>
#include <thread>

#include "absl/strings/str_cat.h"
#include "integration/control_pages.h"
#include "integration/fixture.h"

namespace gooseberrygap::integration {
namespace {

using test_support::Deployment;

const std::vector<std::string> kVoters = {"lookup-0", "lookup-1", "lookup-2"};

// Three voters and two daemons without the control role.
FixtureOptions ThreeVoters(bool proxied = false) {
  return FixtureOptions{.lookup_targets_ = 3,
                        .action_targets_ = 2,
                        .control_instances_ = 3,
                        .proxied_ = {.peer_ = proxied, .control_ = proxied}};
}

std::vector<std::string> Others(const std::vector<std::string>& names,
                                const std::string& name) {
  std::vector<std::string> others = names;
  others.erase(std::remove(others.begin(), others.end(), name), others.end());
  return others;
}

std::string Blocked(bool forward, bool backward) {
  return absl::StrCat(R"({"forward":{"blocked":)", forward ? "true" : "false",
                      R"(},"backward":{"blocked":)",
                      backward ? "true" : "false", "}}");
}

// Blocks or opens what `from` sends to `to`: its requests, and its replies on
// the connections that `to` opened.
void BlockWay(const Deployment& deployment,
              const std::string& from,
              const std::string& to,
              bool blocked,
              bool both_ways) {
  for (const char* kind : {"peer:", "control:"}) {
    Check(deployment.SetLink(absl::StrCat(kind, from, ">", to),
                             Blocked(blocked, blocked && both_ways)));
    Check(deployment.SetLink(absl::StrCat(kind, to, ">", from),
                             Blocked(blocked && both_ways, blocked)));
  }
}

// Blocks or opens both directions from a daemon without the control role to a
// control instance.
void BlockControl(const Deployment& deployment,
                  const std::string& daemon,
                  const std::string& control,
                  bool blocked) {
  Check(deployment.SetLink(absl::StrCat("control:", daemon, ">", control),
                           Blocked(blocked, blocked)));
  Check(deployment.SetLink(absl::StrCat("peer:", daemon, ">", control),
                           Blocked(blocked, blocked)));
}

// Checks that every daemon applies that version.
void CheckVersionEverywhere(const Deployment& deployment, uint64_t version) {
  for (const auto& instance : deployment.spec().instances_) {
    INFO(instance.name_);
    CHECK(ReadVersion(deployment.AddressesOf(instance.name_).http_) == version);
  }
}

// Guards against two operators who both believe that their document is in
// force, and against a repeat that is taken for a new change.
TEST_CASE("exactly one of several operators wins each version",
          "[configuration]") {
  const auto deployment = StartDeployment(ThreeVoters());
  constexpr int kOperators = 5;
  constexpr uint64_t kLastVersion = 21;
  uint64_t last_index = 0;
  for (uint64_t version = 2; version <= kLastVersion; ++version) {
    std::vector<std::unique_ptr<SubmitAnswer>> answers(kOperators);
    std::vector<std::thread> operators;
    const auto address_of = [&](int number) {
      const auto& instances = deployment->spec().instances_;
      return deployment->AddressesOf(instances[number].name_).http_;
    };
    const auto id_of = [version](int number) {
      return absl::StrCat("operator-", number, "-", version);
    };
    for (int i = 0; i < kOperators; ++i) {
      operators.emplace_back([&, i] {
        answers[i] = std::make_unique<SubmitAnswer>(
            Submit(address_of(i), id_of(i), VariantDocument(version, i)));
      });
    }
    for (std::thread& thread : operators) {
      thread.join();
    }
    int winner = -1;
    int accepted = 0;
    for (int i = 0; i < kOperators; ++i) {
      if (answers[i]->status_ == "accepted") {
        winner = i;
        ++accepted;
      }
    }
    INFO("version " << version);
    REQUIRE(accepted == 1);
    const uint64_t index = answers[winner]->index_;
    CHECK(index > last_index);
    last_index = index;
    for (int i = 0; i < kOperators; ++i) {
      if (i != winner) {
        CHECK(answers[i]->status_ == "conflict");
        CHECK(answers[i]->winner_ == id_of(winner));
        CHECK(answers[i]->index_ == index);
      }
      const SubmitAnswer resend = Submit(address_of(i), id_of(winner),
                                         VariantDocument(version, winner));
      CHECK(resend.status_ == "accepted");
      CHECK(resend.index_ == index);
    }
  }
  Check(deployment->WaitForConfiguration(last_index));
  CheckVersionEverywhere(*deployment, kLastVersion);
}

// Guards against an acceptance that only memory holds.
TEST_CASE("an accepted configuration survives kill -9 of all voters",
          "[configuration]") {
  const auto deployment = StartDeployment(ThreeVoters());
  IndexMonitor monitor(*deployment);
  uint64_t version = 1;
  for (int round = 0; round < 3; ++round) {
    const uint64_t index =
        SubmitVersions(*deployment, kVoters, version + 1, version + 5);
    version += 5;
    for (const std::string& voter : kVoters) {
      deployment->Find(voter)->Signal(SIGKILL);
    }
    for (const std::string& voter : kVoters) {
      Check(deployment->Restart(voter));
    }
    const std::string document =
        VariantDocument(version, static_cast<int>(version % 1000));
    const SubmitAnswer resend =
        Submit(deployment->AddressesOf("action-0").http_,
               absl::StrCat("change-", version), document);
    CHECK(resend.status_ == "accepted");
    CHECK(resend.index_ == index);
    Check(deployment->WaitForConfiguration(index));
    CheckVersionEverywhere(*deployment, version);
  }
  monitor.Stop();
  CHECK(monitor.decreases() == 0);
}

// Guards against daemons that start with an old configuration, and against
// voters whose log does not lead to the newest one.
TEST_CASE("restarted daemons take the newest of 500 changes",
          "[configuration]") {
  const auto deployment = StartDeployment(ThreeVoters());
  IndexMonitor monitor(*deployment);
  constexpr uint64_t kLastVersion = 501;
  const uint64_t index = SubmitVersions(*deployment, kVoters, 2, kLastVersion);
  Check(deployment->WaitForConfiguration(index));
  for (const auto& instance : deployment->spec().instances_) {
    Check(deployment->Restart(instance.name_));
    Check(deployment->WaitForConfiguration(index));
  }
  CheckVersionEverywhere(*deployment, kLastVersion);
  monitor.Stop();
  CHECK(monitor.polls() > 0);
  CHECK(monitor.decreases() == 0);
}

// Guards against a daemon that goes back to the configuration of a control
// instance that was cut off from the others.
TEST_CASE("the index never goes down behind a stale control instance",
          "[configuration]") {
  const auto deployment = StartDeployment(ThreeVoters(/*proxied=*/true));
  IndexMonitor monitor(*deployment);
  Check(deployment->WaitForConfiguration(
      SubmitVersions(*deployment, kVoters, 2, 10)));
  const std::string leader = WaitForLeader(*deployment, kVoters);
  const std::string stale = Others(kVoters, leader).front();
  const std::vector<std::string> healthy = Others(kVoters, stale);
  const auto cut_stale = [&](bool blocked) {
    for (const std::string& voter : healthy) {
      BlockWay(*deployment, stale, voter, blocked, /*both_ways=*/true);
    }
  };
  cut_stale(true);
  const uint64_t newest = SubmitVersions(*deployment, healthy, 11, 40);
  for (const std::string daemon : {"action-0", "action-1"}) {
    const auto& address = deployment->AddressesOf(daemon).http_;
    Check(test_support::WaitUntil(
        "the newest configuration",
        [&address, newest] { return ReadIndex(address) >= newest; }));
    for (const std::string& voter : healthy) {
      BlockControl(*deployment, daemon, voter, true);
    }
  }
  // One daemon starts with nothing and the other keeps what it applied; both
  // reach only the stale instance.
  Check(deployment->Restart("action-0"));
  const auto& restarted = deployment->AddressesOf("action-0").http_;
  const auto& kept = deployment->AddressesOf("action-1").http_;
  const state::SteadyClock clock;
  const state::Millis end = clock.Now() + state::Millis(5000);
  int stale_reads = 0;
  while (clock.Now() < end) {
    const uint64_t index = ReadIndex(restarted);
    stale_reads += index != 0 && index < newest ? 1 : 0;
    stale_reads += ReadIndex(kept) < newest ? 1 : 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  CHECK(stale_reads == 0);
  CHECK(ReadIndex(deployment->AddressesOf(stale).http_) != 0);

  const uint64_t last = SubmitVersions(*deployment, healthy, 41, 50);
  cut_stale(false);
  for (const std::string daemon : {"action-0", "action-1"}) {
    for (const std::string& voter : healthy) {
      BlockControl(*deployment, daemon, voter, false);
    }
  }
  Check(deployment->WaitForConfiguration(last));
  CheckVersionEverywhere(*deployment, 50);
  monitor.Stop();
  CHECK(monitor.decreases() == 0);
}

// Guards against a voter that returns from a freeze or a one-way partition with
// an old view and makes it count.
TEST_CASE("a frozen or half cut off voter loses and reverts nothing",
          "[configuration]") {
  const auto deployment = StartDeployment(ThreeVoters(/*proxied=*/true));
  IndexMonitor monitor(*deployment);
  uint64_t version = 1;
  const auto change_through = [&](const std::vector<std::string>& instances) {
    const uint64_t index =
        SubmitVersions(*deployment, instances, version + 1, version + 5);
    version += 5;
    return index;
  };
  change_through(kVoters);
  for (const bool hit_leader : {true, false}) {
    const std::string leader = WaitForLeader(*deployment, kVoters);
    const std::string victim =
        hit_leader ? leader : Others(kVoters, leader).front();
    INFO("victim " << victim);
    const std::vector<std::string> others = Others(kVoters, victim);
    deployment->Pause(victim);
    change_through(others);
    deployment->Resume(victim);
    Check(deployment->WaitForConfiguration(change_through(kVoters)));
    CheckVersionEverywhere(*deployment, version);

    for (const bool outward : {true, false}) {
      const auto set_blocked = [&](bool blocked) {
        for (const std::string& other : others) {
          BlockWay(*deployment, outward ? victim : other,
                   outward ? other : victim, blocked, /*both_ways=*/false);
        }
      };
      set_blocked(true);
      const uint64_t next = version + 1;
      const std::string document =
          VariantDocument(next, static_cast<int>(next % 1000));
      const std::string id = absl::StrCat("change-", next);
      if (outward && hit_leader) {
        // The leader must not accept alone: what it accepts has the same index
        // at the others.
        const SubmitAnswer early =
            SubmitOnce(deployment->AddressesOf(victim).http_, id, document);
        const SubmitAnswer later =
            Submit(deployment->AddressesOf(others.front()).http_, id, document);
        CHECK(later.status_ == "accepted");
        CHECK((early.status_ != "accepted" || early.index_ == later.index_));
      }
      change_through(others);
      set_blocked(false);
      Check(deployment->WaitForConfiguration(change_through(kVoters)));
      CheckVersionEverywhere(*deployment, version);
    }
  }
  monitor.Stop();
  CHECK(monitor.decreases() == 0);
}

// Lets the disk of the instance refuse to write to any file beyond that size;
// to no file with RLIM_INFINITY.
void SetFileSizeLimit(const Deployment& deployment,
                      const std::string& instance,
                      rlim_t bytes) {
  const rlimit limit = {bytes, RLIM_INFINITY};
  REQUIRE(prlimit(deployment.Find(instance)->pid(), RLIMIT_FSIZE, &limit,
                  nullptr) == 0);
}

// Guards against daemons that follow a control instance which hears its leader
// but lacks entries: its disk refuses the new term, so that it cannot tell the
// leader which ones. Whatever instance a daemon follows, it must apply what was
// acknowledged within 2 s.
TEST_CASE("daemons leave an instance whose disk fails at an election",
          "[configuration]") {
  const std::vector<std::string> voters = {"lookup-0", "lookup-1", "lookup-2",
                                           "lookup-3", "lookup-4"};
  const auto deployment =
      StartDeployment({.lookup_targets_ = 5,
                       .action_targets_ = 6,
                       .control_instances_ = 5,
                       .proxied_ = {.peer_ = true, .control_ = true}});
  IndexMonitor monitor(*deployment);
  Check(deployment->WaitForConfiguration(
      SubmitVersions(*deployment, voters, 2, 60)));
  const std::string leader = WaitForLeader(*deployment, voters);
  const std::string victim = Others(voters, leader).front();
  const std::vector<std::string> healthy =
      Others(Others(voters, leader), victim);
  INFO("leader " << leader << ", victim " << victim);
  // The last entry before the election does not reach the victim.
  BlockWay(*deployment, leader, victim, true, /*both_ways=*/true);
  SubmitVersions(*deployment, healthy, 61, 61);
  SetFileSizeLimit(*deployment, victim, 0);
  deployment->Kill(leader);
  const uint64_t known = ReadControlPage(*deployment, victim).commit_index_;

  const uint64_t index = SubmitVersions(*deployment, healthy, 62, 62);
  CHECK(deployment->WaitForConfiguration(index, state::Millis(2000)));
  CHECK(ReadControlPage(*deployment, victim).commit_index_ == known);
  CHECK(ReadControlPage(*deployment, victim).role_ == "failed");
  for (const auto& instance : deployment->spec().instances_) {
    if (instance.name_ != leader) {
      INFO(instance.name_);
      CHECK(ReadVersion(deployment->AddressesOf(instance.name_).http_) == 62);
    }
  }

  SetFileSizeLimit(*deployment, victim, RLIM_INFINITY);
  BlockWay(*deployment, leader, victim, false, /*both_ways=*/true);
  Check(deployment->Start(leader));
  Check(deployment->WaitForConfiguration(
      SubmitVersions(*deployment, voters, 63, 65)));
  CheckVersionEverywhere(*deployment, 65);
  monitor.Stop();
  CHECK(monitor.decreases() == 0);
}

// Guards against a daemon that starts with an older configuration after all
// processes have ended at once, as by a loss of power, right after a change was
// acknowledged.
TEST_CASE("a change survives that all processes end at once",
          "[configuration]") {
  const std::vector<std::string> voters = {"lookup-0", "lookup-1", "lookup-2",
                                           "lookup-3", "lookup-4"};
  const auto deployment = StartDeployment(
      {.lookup_targets_ = 5, .action_targets_ = 6, .control_instances_ = 5});
  IndexMonitor monitor(*deployment);
  std::mt19937 random(32);
  std::vector<std::string> daemons;
  for (const auto& instance : deployment->spec().instances_) {
    daemons.push_back(instance.name_);
  }
  constexpr uint64_t kLastVersion = 5;
  for (uint64_t version = 2; version <= kLastVersion; ++version) {
    INFO("version " << version);
    const uint64_t index =
        SubmitVersions(*deployment, voters, version, version);
    for (const std::string& daemon : daemons) {
      deployment->Find(daemon)->Signal(SIGKILL);
    }
    std::shuffle(daemons.begin(), daemons.end(), random);
    for (const std::string& daemon : daemons) {
      Check(deployment->Restart(daemon));
    }
    Check(deployment->WaitForConfiguration(index, state::Millis(2000)));
    CheckVersionEverywhere(*deployment, version);
  }
  monitor.Stop();
  CHECK(monitor.decreases() == 0);
}

}  // namespace
}  // namespace gooseberrygap::integration
