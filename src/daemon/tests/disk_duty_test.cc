#include "daemon/disk_duty.h"

#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <future>
#include <random>
#include <vector>

#include "absl/strings/str_cat.h"

namespace gooseberrygap::daemon {
namespace {

namespace fs = std::filesystem;

using coordination::RaftBatch;

// Bound for things that must happen; reached only when something hangs.
constexpr state::Millis kHang(20000);
constexpr state::Millis kTick(10);
// Small, so that the log has several files.
constexpr uint64_t kSegmentBytes = 400;
constexpr uint32_t kRounds = 60;
constexpr uint32_t kMaxBatches = 6;
constexpr rlim_t kMaxFileBytes = 700;
// More than a control instance has in three minutes, with one every 10 ms.
constexpr uint32_t kBatchesDuringHang = 20000;

// Limits the size of the files of this process, which stands for a disk that
// takes no more bytes.
class FullDisk {
 public:
  explicit FullDisk(rlim_t bytes) {
    std::signal(SIGXFSZ, SIG_IGN);
    REQUIRE(getrlimit(RLIMIT_FSIZE, &old_) == 0);
    const rlimit limit = {.rlim_cur = bytes, .rlim_max = old_.rlim_max};
    REQUIRE(setrlimit(RLIMIT_FSIZE, &limit) == 0);
  }
  ~FullDisk() { setrlimit(RLIMIT_FSIZE, &old_); }

 private:
  rlimit old_ = {};
};

// The content that the log of a member has in memory, and the batches that
// store its changes.
class LogModel {
 public:
  explicit LogModel(uint32_t seed) : random_(seed) {}

  RaftBatch NextBatch() {
    uint64_t truncate_from = 0;
    std::optional<state::LogSnapshot> snapshot;
    std::optional<state::VoteRecord> vote;
    const uint32_t kind = Random(6);
    if (kind == 0 && !entries_.empty()) {
      truncate_from = entries_[Random(entries_.size())].index_;
      while (!entries_.empty() && entries_.back().index_ >= truncate_from) {
        entries_.pop_back();
      }
    }
    if (kind == 1) {
      vote_.emplace(state::VoteRecord{.term_ = ++term_, .voted_for_ = "m"});
      vote.emplace(*vote_);
    }
    if (kind == 2 && !entries_.empty()) {
      snapshot.emplace(MakeSnapshot(entries_[Random(entries_.size())].index_));
    }
    if (kind == 3) {
      // A leader has sent a snapshot that is beyond the end of the log.
      snapshot.emplace(MakeSnapshot(LastIndex() + 1 + Random(3)));
    }
    std::vector<state::LogEntry> added;
    const uint32_t count = Random(4);
    for (uint32_t i = 0; i < count; ++i) {
      added.push_back(state::LogEntry{
          .index_ = LastIndex() + 1,
          .term_ = ++term_,
          .kind_ = state::LogEntryKind::kCommand,
          .payload_ = state::Bytes(std::string(Random(120), 'x'))});
      entries_.push_back(added.back());
    }
    return RaftBatch{.sequence_ = ++sequence_,
                     .truncate_from_ = truncate_from,
                     .snapshot_ = snapshot,
                     .vote_ = vote,
                     .entries_ = added};
  }

  void CheckEquals(const state::LoadedLog& log) const {
    REQUIRE(log.entries_ ==
            std::vector<state::LogEntry>(entries_.begin(), entries_.end()));
    REQUIRE(log.vote_ == (vote_.has_value() ? *vote_ : state::VoteRecord{}));
    REQUIRE(log.snapshot_ == snapshot_);
  }

  uint32_t Random(size_t below) {
    return std::uniform_int_distribution<uint32_t>(
        0, static_cast<uint32_t>(below) - 1)(random_);
  }

 private:
  uint64_t LastIndex() const {
    const uint64_t base = snapshot_.has_value() ? snapshot_->index_ : 0;
    return entries_.empty() ? base : entries_.back().index_;
  }
  state::LogSnapshot MakeSnapshot(uint64_t index) {
    while (!entries_.empty() && entries_.front().index_ <= index) {
      entries_.pop_front();
    }
    snapshot_.emplace(state::LogSnapshot{
        .index_ = index,
        .term_ = ++term_,
        .content_ = state::Bytes(std::string(Random(300), 's'))});
    return *snapshot_;
  }

  std::mt19937 random_;
  uint64_t sequence_ = 0;
  uint64_t term_ = 0;
  std::deque<state::LogEntry> entries_;
  std::optional<state::VoteRecord> vote_;
  std::optional<state::LogSnapshot> snapshot_;
};

// Guards against a disk that is full for a while and ends the control role of a
// process for good, and against entries, votes and snapshots that are lost,
// doubled or reported as durable too early when they are written again.
TEST_CASE("what a full disk refuses is written when it takes bytes again",
          "[disk]") {
  std::string name = (fs::temp_directory_path() / "disk_duty_XXXXXX").string();
  REQUIRE(::mkdtemp(name.data()) != nullptr);
  uint32_t rounds_with_failure = 0;
  for (uint32_t seed = 1; seed <= kRounds; ++seed) {
    INFO("seed " << seed);
    const std::string folder = absl::StrCat(name, "/", seed);
    const state::LogStoreOptions options = {.segment_bytes_ = kSegmentBytes};
    state::Counters counters;
    LogModel model(seed);
    {
      auto store = state::LogStore::Open(folder, options);
      REQUIRE(store);
      transport::Ring<state::Result<uint64_t>> results(1024);
      DiskDuty duty(
          std::move(store).value(),
          [&results](const state::Result<uint64_t>& result) {
            results.TryPush(result);
          },
          &counters);
      uint64_t written = 0;
      const auto write_some = [&] {
        const uint32_t count = 1 + model.Random(kMaxBatches);
        for (uint32_t i = 0; i < count; ++i) {
          const RaftBatch batch = model.NextBatch();
          written = batch.sequence_;
          duty.Write(batch);
        }
      };
      uint64_t durable = 0;
      const auto wait_for_result = [&] {
        const std::optional<state::Result<uint64_t>> result =
            results.Pop(kHang);
        REQUIRE(result.has_value());
        if (result->has_value()) {
          REQUIRE(result->value() > durable);
          durable = result->value();
        }
        return result->has_value();
      };
      write_some();
      while (durable < written) {
        REQUIRE(wait_for_result());
      }
      {
        const FullDisk full(model.Random(kMaxFileBytes));
        write_some();
        bool is_refused = false;
        while (durable < written && !is_refused) {
          is_refused = !wait_for_result();
        }
        rounds_with_failure += is_refused ? 1 : 0;
        write_some();
      }
      while (durable < written) {
        wait_for_result();
      }
    }
    auto reopened = state::LogStore::Open(folder, options);
    REQUIRE(reopened);
    model.CheckEquals(reopened.value()->Load());
  }
  CHECK(rounds_with_failure > kRounds / 4);
  fs::remove_all(name);
}

// Guards against a disk that hangs for minutes and ends the control role of a
// process for good, and against batches that are lost or written in another
// order when it works again.
TEST_CASE("what waits for a disk that hangs is written when it works again",
          "[disk]") {
  std::string name = (fs::temp_directory_path() / "disk_duty_XXXXXX").string();
  REQUIRE(::mkdtemp(name.data()) != nullptr);
  const state::LogStoreOptions options = {.segment_bytes_ = kSegmentBytes};
  LogModel model(1);
  {
    auto store = state::LogStore::Open(name, options);
    REQUIRE(store);
    state::Counters counters;
    transport::Ring<uint64_t> results(1024);
    std::promise<void> disk_works;
    const std::shared_future<void> until_disk_works =
        disk_works.get_future().share();
    // The disk thread stays in the handler, as in a write that does not return.
    DiskDuty duty(
        std::move(store).value(),
        [&results, until_disk_works](const state::Result<uint64_t>& result) {
          results.TryPush(result.value());
          until_disk_works.wait();
        },
        &counters);
    duty.Write(model.NextBatch());
    uint64_t durable = results.Pop(kHang).value_or(0);
    REQUIRE(durable > 0);
    uint64_t written = 0;
    for (uint32_t i = 0; i < kBatchesDuringHang; ++i) {
      const RaftBatch batch = model.NextBatch();
      written = batch.sequence_;
      duty.Write(batch);
    }
    const state::Millis hang_time = duty.WriteTime();
    disk_works.set_value();
    CHECK(hang_time > state::Millis(0));
    const state::SteadyClock clock;
    const state::Millis give_up = clock.Now() + kHang;
    while (durable < written && clock.Now() < give_up) {
      duty.Flush();
      const std::optional<uint64_t> result = results.Pop(kTick);
      if (result.has_value()) {
        REQUIRE(*result > durable);
        durable = *result;
      }
    }
    REQUIRE(durable == written);
    while (duty.WriteTime() > state::Millis(0) && clock.Now() < give_up) {
      results.Pop(kTick);
    }
    CHECK(duty.WriteTime() == state::Millis(0));
  }
  auto reopened = state::LogStore::Open(name, options);
  REQUIRE(reopened);
  model.CheckEquals(reopened.value()->Load());
  fs::remove_all(name);
}

}  // namespace
}  // namespace gooseberrygap::daemon
