#include "coordination/internal/raft_reads.h"

#include <utility>

namespace gooseberrygap::coordination {

namespace {

// Moves the elements that `matches` selects out of `values`.
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
  for (const LeaderRead& read : waiting_) {
    confirming_.push_back(LeaderRead{.read_id_ = read.read_id_,
                                     .from_ = read.from_,
                                     .connection_ = read.connection_,
                                     .index_ = commit_index,
                                     .round_ = round,
                                     .expires_ = read.expires_});
  }
  waiting_.clear();
}

std::vector<LeaderRead> RaftReads::TakeConfirmed(uint64_t quorum_round) {
  return Extract(&confirming_, [&](const LeaderRead& read) {
    return read.round_ <= quorum_round;
  });
}

std::vector<LeaderRead> RaftReads::TakeAll() {
  std::vector<LeaderRead> reads = std::move(confirming_);
  for (LeaderRead& read : waiting_) {
    reads.push_back(std::move(read));
  }
  confirming_.clear();
  waiting_.clear();
  return reads;
}

std::vector<LeaderRead> RaftReads::TakeExpired(state::Millis now) {
  const auto is_expired = [&](const LeaderRead& read) {
    return read.expires_ <= now;
  };
  std::vector<LeaderRead> expired = Extract(&waiting_, is_expired);
  for (LeaderRead& read : Extract(&confirming_, is_expired)) {
    expired.push_back(std::move(read));
  }
  return expired;
}

uint64_t RaftReads::Forward(uint64_t read_id, state::Millis expires) {
  const uint64_t wire_id = next_wire_id_++;
  forwarded_.emplace(wire_id,
                     Forwarded{.read_id_ = read_id, .expires_ = expires});
  return wire_id;
}

void RaftReads::OnLeaderAnswer(uint64_t wire_id,
                               bool confirmed,
                               uint64_t index) {
  const auto entry = forwarded_.find(wire_id);
  if (entry == forwarded_.end()) {
    return;
  }
  End(entry->second.read_id_, confirmed, index);
  forwarded_.erase(entry);
}

void RaftReads::FailForwarded() {
  for (const auto& [wire_id, read] : forwarded_) {
    End(read.read_id_, false, 0);
  }
  forwarded_.clear();
}

void RaftReads::End(uint64_t read_id, bool confirmed, uint64_t index) {
  finished_.push_back(ReadIndexResult{
      .read_id_ = read_id, .confirmed_ = confirmed, .index_ = index});
}

std::vector<ReadIndexResult> RaftReads::TakeAnswers(uint64_t handed_out,
                                                    state::Millis now) {
  for (auto entry = forwarded_.begin(); entry != forwarded_.end();) {
    if (entry->second.expires_ > now) {
      ++entry;
      continue;
    }
    End(entry->second.read_id_, false, 0);
    entry = forwarded_.erase(entry);
  }
  return Extract(&finished_, [&](const ReadIndexResult& answer) {
    return !answer.confirmed_ || answer.index_ <= handed_out;
  });
}

}  // namespace gooseberrygap::coordination
