#include <catch2/catch.hpp>

#include "coordination/tests/quota_cluster.h"

namespace gooseberrygap::coordination {
namespace {

using state::Millis;

constexpr double kWindow = 5000;

state::Tenant Limited(const std::string& name, double rate, double burst) {
  return state::Tenant{
      .name_ = name, .calls_per_second_ = rate, .burst_calls_ = burst};
}

size_t Promised(double rate, double burst) {
  const QuotaPolicy policy;
  return static_cast<size_t>((rate * policy.window_seconds_ + burst) *
                                 (1 + policy.overshoot_) +
                             policy.slack_);
}

// Makes calls of tenant "t" at a mean rate, each at a random daemon out of the
// first `daemons`.
void RunLoad(QuotaCluster* cluster,
             double rate,
             double milliseconds,
             size_t daemons) {
  std::exponential_distribution<> gap(rate / 1000);
  const double end = cluster->Time() + milliseconds;
  double next = cluster->Time() + gap(cluster->random_);
  while (cluster->Time() < end) {
    cluster->Run(2);
    for (; next <= cluster->Time(); next += gap(cluster->random_)) {
      cluster->Call(cluster->random_() % daemons, "t");
    }
  }
}

// Guards against more calls than promised while a tenant sends five times its
// quota, and against a quota that is not used up then, because tokens lie in
// the stocks of daemons that have no use for them.
TEST_CASE("a tenant that sends too much gets its quota and not more",
          "[quota]") {
  struct Row {
    double rate_;
    double burst_;
    size_t daemons_;
    double load_;  // As a multiple of the rate.
  };
  for (const Row& row : std::vector<Row>{{10, 10, 88, 5},
                                         {10, 0, 88, 1.3},
                                         {10, 10, 1, 5},
                                         {2, 4, 88, 5},
                                         {100, 0, 88, 3},
                                         {100, 50, 4, 3}}) {
    CAPTURE(row.rate_, row.burst_, row.daemons_, row.load_);
    QuotaCluster cluster(88, {Limited("t", row.rate_, row.burst_)}, 7);
    RunLoad(&cluster, row.rate_ * row.load_, 30000, row.daemons_);
    CHECK(cluster.MostIn(kWindow) <= Promised(row.rate_, row.burst_));
    // After the burst, over 20 s.
    CHECK(static_cast<double>(cluster.RanSince(cluster.Time() - 20000)) >=
          0.95 * 20 * row.rate_);
    // The rest is refused, not held until no answer came.
    CHECK(static_cast<double>(cluster.unavailable_) <
          0.01 * static_cast<double>(cluster.calls_));
  }
}

// Guards against refusals of calls within the quota: the first call of a tenant
// at each daemon, and calls at a rate below the quota.
TEST_CASE("calls within the quota are not refused", "[quota]") {
  QuotaCluster cluster(88, {Limited("t", 10, 20)}, 7);
  RunLoad(&cluster, 8, 30000, 88);
  CHECK(cluster.exceeded_ == 0);
  CHECK(cluster.unavailable_ == 0);
  CHECK(cluster.longest_wait_ < 100);
}

// Guards against calls that wait for the owner although their daemon serves the
// tenant regularly.
TEST_CASE("a daemon that serves a tenant regularly has tokens ahead",
          "[quota]") {
  QuotaCluster cluster(4, {Limited("t", 40, 40)}, 7);
  RunLoad(&cluster, 24, 10000, 4);
  const size_t waited = cluster.waited_;
  const size_t calls = cluster.calls_;
  RunLoad(&cluster, 24, 30000, 4);
  CHECK(cluster.exceeded_ == 0);
  CHECK(static_cast<double>(cluster.waited_ - waited) <
        0.02 * static_cast<double>(cluster.calls_ - calls));
}

// Guards against a burst that is refused since its tokens are held by daemons
// that do not need them, or is handed out too slowly.
TEST_CASE("a burst is available at the daemon that needs it", "[quota]") {
  QuotaCluster cluster(88, {Limited("t", 10, 30)}, 7);
  RunLoad(&cluster, 5, 10000, 88);
  const size_t ran = cluster.ran();
  for (int i = 0; i < 30; ++i) {
    cluster.Call(3, "t");
  }
  cluster.Run(110);
  CHECK(cluster.ran() - ran == 30);
}

// Guards against tokens that are counted twice when messages are lost, or that
// are lost with them for good.
TEST_CASE("lost messages neither raise nor lower a quota", "[quota]") {
  QuotaCluster cluster(20, {Limited("t", 20, 20)}, 11);
  cluster.loss_ = 0.2;
  cluster.delay_ = 60;
  RunLoad(&cluster, 100, 40000, 20);
  CHECK(cluster.MostIn(kWindow) <= Promised(20, 20));
  CHECK(cluster.RanSince(cluster.Time() - 20000) >= 0.8 * 20 * 20);
}

// Guards against a new leader that grants tokens while daemons still hold those
// of the old one, and against one that does not recover.
TEST_CASE("the promise holds over leader changes", "[quota]") {
  for (const uint32_t seed : {1, 2, 3, 4, 5}) {
    CAPTURE(seed);
    QuotaCluster cluster(20, {Limited("t", 10, 40)}, seed);
    cluster.partitioned_[0] = true;
    for (int change = 0; change < 6; ++change) {
      // A full stock at the daemon that is then cut off from the new leader.
      cluster.partitioned_[0] = false;
      RunLoad(&cluster, 30, 1500, 3);
      cluster.partitioned_[0] = true;
      cluster.ChangeLeader();
      RunLoad(&cluster, 60, 2500, 20);
    }
    CHECK(cluster.MostIn(kWindow) <= Promised(10, 40));
    cluster.Run(5000);
    const size_t ran = cluster.ran();
    for (int i = 0; i < 20; ++i) {
      cluster.Call(5, "t");
    }
    cluster.Run(100);
    CHECK(cluster.ran() - ran == 20);
  }
}

// Guards against a daemon that serves on with its stock when it was cut off or
// frozen.
TEST_CASE("a partitioned daemon's tokens expire", "[quota]") {
  QuotaCluster cluster(2, {Limited("t", 10, 30)}, 7);
  RunLoad(&cluster, 8, 5000, 1);
  REQUIRE(cluster.stocks_[0]->Held("t", cluster.now_) > 0);
  cluster.partitioned_[0] = true;
  cluster.Run(2600);
  const size_t ran = cluster.ran();
  for (int i = 0; i < 5; ++i) {
    cluster.Call(0, "t");
  }
  cluster.Run(200);
  CHECK(cluster.ran() == ran);
  CHECK(cluster.unavailable_ == 5);
  // The owner has them again.
  CHECK(cluster.owner_->LevelOf("t", cluster.now_).held_ == 0);
}

// Guards against reports that cost the control group much: of idle daemons, or
// with tenants that were not served recently.
TEST_CASE("idle daemons send no reports", "[quota]") {
  QuotaCluster cluster(10, {Limited("t", 10, 30), Limited("u", 10, 30)}, 7);
  RunLoad(&cluster, 8, 5000, 1);
  cluster.Run(15000);
  const size_t reports = cluster.reports_;
  cluster.Run(10000);
  CHECK(cluster.reports_ == reports);
}

// Guards against a refused call that costs its tenant a token.
TEST_CASE("the token of a call that was not run is used again", "[quota]") {
  QuotaCluster cluster(1, {Limited("t", 0.001, 10)}, 7);
  QuotaStock* stock = cluster.stocks_[0].get();
  for (int i = 0; i < 200; ++i) {
    const size_t ran = cluster.ran();
    cluster.Call(0, "t");
    cluster.Run(100);
    REQUIRE(cluster.ran() == ran + 1);
    stock->Refund("t", cluster.now_);
    cluster.Run(i % 20 == 0 ? 4000 : 10);
  }
}

// Guards against a grant of an earlier leader that is applied after the daemon
// has told its tokens to the next one.
TEST_CASE("a grant that answers a report to another owner is ignored",
          "[quota]") {
  const state::Configuration configuration =
      QuotaConfiguration({Limited("t", 10, 30)});
  QuotaStock stock("d", QuotaPolicy());
  stock.UpdateConfiguration(configuration);
  stock.SetOwner("a");
  const auto first = stock.TakeReport(1, Millis(0));
  REQUIRE(first.has_value());
  const QuotaGrant late{.is_owner_ = true,
                        .term_ = 1,
                        .number_ = 1,
                        .report_number_ = first->number_,
                        .tokens_ = {QuotaTokens{.tenant_ = "t", .tokens_ = 5}}};
  stock.SetOwner("b");
  const auto second = stock.TakeReport(1, Millis(100));
  REQUIRE(second.has_value());
  CHECK_FALSE(stock.OnGrant(late, Millis(200)));
  CHECK(stock.Held("t", Millis(200)) == 0);
}

// Guards against tenants that are limited although nothing says so.
TEST_CASE("a tenant without a rate needs no token", "[quota]") {
  QuotaStock stock("d", QuotaPolicy());
  stock.UpdateConfiguration(QuotaConfiguration({Limited("t", 0, 30)}));
  stock.SetOwner("a");
  CHECK_FALSE(stock.has_limits());
  for (int i = 0; i < 1000; ++i) {
    CHECK(stock.Take("t", Millis(i)) == QuotaStock::Decision::kTaken);
  }
  CHECK_FALSE(stock.TakeReport(1, Millis(2000)).has_value());
}

}  // namespace
}  // namespace gooseberrygap::coordination
