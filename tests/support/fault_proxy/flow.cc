#include "support/fault_proxy/flow.h"

#include <algorithm>

namespace gooseberrygap::test_support {

namespace {

using state::Millis;

constexpr double kBitsPerByte = 8;
constexpr double kMillisPerSecond = 1000;

double Draw(std::mt19937_64* random) {
  return std::uniform_real_distribution<double>()(*random);
}

}  // namespace

Millis BandwidthGroup::Reserve(size_t bytes, Millis now) {
  if (bits_per_second_ <= 0) {
    return now;
  }
  const Millis time(static_cast<double>(bytes) * kBitsPerByte *
                    kMillisPerSecond / bits_per_second_);
  free_at_ = std::max(free_at_, now) + time;
  return free_at_;
}

LinkDirection::LinkDirection(uint64_t seed, BandwidthGroups* groups)
    : groups_(groups),
      faults_(std::make_unique<const DirectionFaults>()),
      fate_random_(seed),
      jitter_random_(~seed) {}

void LinkDirection::SetFaults(const DirectionFaults& faults) {
  faults_ = std::make_unique<const DirectionFaults>(faults);
}

MessageFate LinkDirection::DrawFate() {
  const double drop = Draw(&fate_random_);
  const double duplicate = Draw(&fate_random_);
  const double reorder = Draw(&fate_random_);
  return MessageFate{.dropped_ = drop < faults_->drop_share_,
                     .duplicated_ = duplicate < faults_->duplicate_share_,
                     .reordered_ = reorder < faults_->reorder_share_};
}

Millis LinkDirection::ArrivalOf(size_t bytes, Millis now) {
  const double jitter = Draw(&jitter_random_) * faults_->jitter_ms_;
  const Millis sent = faults_->group_.empty()
                          ? now
                          : (*groups_)[faults_->group_].Reserve(bytes, now);
  return sent + Millis(faults_->delay_ms_ + jitter);
}

Flow::Flow(absl::string_view kind, LinkDirection* direction, Millis started_at)
    : direction_(direction),
      splitter_(MakeSplitter(kind)),
      opens_at_(started_at + Millis(direction->faults().open_delay_ms_)) {}

void Flow::Take(absl::string_view bytes, Millis now) {
  direction_->counts().bytes_ += bytes.size();
  std::vector<Piece> pieces;
  splitter_->Push(bytes, &pieces);
  for (const Piece& piece : pieces) {
    if (piece.is_message_) {
      TakeMessage(piece, now);
    } else {
      Schedule(piece.bytes_, 1, now);
    }
  }
}

void Flow::Finish(Millis now) {
  ReleaseHeld(now);
  finished_ = true;
}

absl::string_view Flow::Ready(Millis now) {
  if (held_.has_value() && held_->until_ <= now) {
    ReleaseHeld(now);
  }
  if (Stalled() || waiting_.empty() || waiting_.front().arrival_ > now) {
    return {};
  }
  return waiting_.front().bytes_.view().substr(consumed_);
}

void Flow::Consume(size_t bytes) {
  consumed_ += bytes;
  waiting_bytes_ -= bytes;
  if (consumed_ == waiting_.front().bytes_.size()) {
    waiting_.pop_front();
    consumed_ = 0;
  }
}

std::optional<Millis> Flow::NextArrival() const {
  if (Stalled() || (waiting_.empty() && !held_.has_value())) {
    return std::nullopt;
  }
  if (waiting_.empty()) {
    return held_->until_;
  }
  return held_.has_value() ? std::min(held_->until_, waiting_.front().arrival_)
                           : waiting_.front().arrival_;
}

void Flow::TakeMessage(const Piece& piece, Millis now) {
  DirectionCounts& counts = direction_->counts();
  KindCount& kind = counts.kinds_[piece.kind_];
  ++counts.messages_;
  ++kind.messages_;
  kind.bytes_ += piece.bytes_.size();
  const MessageFate fate = direction_->DrawFate();
  if (fate.dropped_) {
    ++counts.dropped_;
    return;
  }
  counts.duplicated_ += fate.duplicated_ ? 1 : 0;
  const int copies = fate.duplicated_ ? 2 : 1;
  if (fate.reordered_ && !held_.has_value()) {
    ++counts.reordered_;
    held_.emplace(Held{.bytes_ = piece.bytes_,
                       .copies_ = copies,
                       .until_ = now + kReorderHold});
    return;
  }
  Schedule(piece.bytes_, copies, now);
  ReleaseHeld(now);
}

void Flow::Schedule(const state::Bytes& bytes, int copies, Millis now) {
  for (int i = 0; i < copies; ++i) {
    const Millis arrival = direction_->ArrivalOf(bytes.size(), now);
    waiting_.push_back(
        {.arrival_ = std::max(arrival, opens_at_), .bytes_ = bytes});
    waiting_bytes_ += bytes.size();
  }
}

void Flow::ReleaseHeld(Millis now) {
  if (held_.has_value()) {
    const Held held = *held_;
    held_.reset();
    Schedule(held.bytes_, held.copies_, now);
  }
}

}  // namespace gooseberrygap::test_support
