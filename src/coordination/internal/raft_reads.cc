#include "coordination/internal/raft_reads.h"

#include <utility>

namespace gooseberrygap::coordination {

namespace {

// Removes the elements that satisfy `matches` from `values` and returns them.
template <class T, class Matches>
std::vector<T> Extract(std::vector<T>* values, const Matches& matches) {
  std::vector<T> taken;
  std::vector<T> kept;
  for (T& value : *values) {
    (matches(value) ? taken : kept).push_back(std::move(value));
  }
  values->swap(kept);
  return taken;
}

}  // namespace

void RaftReads::OnRoundStarted(uint64_t round, uint64_t commit_index) {
  for (const LeaderRead& read : awaiting_round_) {
    awaiting_quorum_.push_back(LeaderRead{.read_id_ = read.read_id_,
                                          .from_ = read.from_,
                                          .connection_ = read.connection_,
                                          .index_ = commit_index,
                                          .round_ = round,
                                          .expires_ = read.expires_});
  }
  awaiting_round_.clear();
}

std::vector<LeaderRead> RaftReads::TakeConfirmed(uint64_t quorum_round) {
  return Extract(&awaiting_quorum_, [&](const LeaderRead& read) {
    return read.round_ <= quorum_round;
  });
}

std::vector<LeaderRead> RaftReads::TakeAll() {
  std::vector<LeaderRead> reads = std::move(awaiting_quorum_);
  for (LeaderRead& read : awaiting_round_) {
    reads.push_back(std::move(read));
  }
  awaiting_quorum_.clear();
  awaiting_round_.clear();
  return reads;
}

std::vector<LeaderRead> RaftReads::TakeExpired(state::Millis now) {
  const auto is_expired = [&](const LeaderRead& read) {
    return read.expires_ <= now;
  };
  std::vector<LeaderRead> expired = Extract(&awaiting_round_, is_expired);
  for (LeaderRead& read : Extract(&awaiting_quorum_, is_expired)) {
    expired.push_back(std::move(read));
  }
  return expired;
}

uint64_t RaftReads::Forward(uint64_t read_id, state::Millis expires) {
  const uint64_t wire_id = next_wire_id_++;
  forwarded_.emplace(wire_id,
                     ForwardedRead{.read_id_ = read_id, .expires_ = expires});
  return wire_id;
}

void RaftReads::OnLeaderReply(uint64_t wire_id,
                              bool confirmed,
                              uint64_t index) {
  const auto entry = forwarded_.find(wire_id);
  if (entry == forwarded_.end()) {
    return;
  }
  Finish(entry->second.read_id_, confirmed, index);
  forwarded_.erase(entry);
}

void RaftReads::FailForwarded() {
  for (const auto& [wire_id, read] : forwarded_) {
    Finish(read.read_id_, false, 0);
  }
  forwarded_.clear();
}

void RaftReads::Finish(uint64_t read_id, bool confirmed, uint64_t index) {
  finished_.push_back(ReadIndexResult{
      .read_id_ = read_id, .confirmed_ = confirmed, .index_ = index});
}

std::vector<ReadIndexResult> RaftReads::TakeResults(uint64_t delivered_index,
                                                    state::Millis now) {
  for (auto entry = forwarded_.begin(); entry != forwarded_.end();) {
    if (entry->second.expires_ > now) {
      ++entry;
      continue;
    }
    Finish(entry->second.read_id_, false, 0);
    entry = forwarded_.erase(entry);
  }
  return Extract(&finished_, [&](const ReadIndexResult& result) {
    return !result.confirmed_ || result.index_ <= delivered_index;
  });
}

}  // namespace gooseberrygap::coordination
