#include "coordination/api/raft.h"

#include <array>
#include <limits>
#include <utility>
#include "absl/random/uniform_int_distribution.h"

#include "coordination/internal/raft_impl.h"

namespace gooseberrygap::coordination {

namespace {

// Age of what has not happened since the start of the member.
constexpr state::Millis kNeverAge(1e15);

// Messages between members of a control group.
template <class Message>
concept MemberMessage = requires(const Message& message) {
  message.group_;
  message.from_;
  message.to_;
};

}  // namespace

Raft::Impl::Impl(RaftOptions options,
                 const state::LoadedLog& log,
                 absl::BitGenRef random,
                 state::Millis now)
    : options_(options),
      identity_(log.identity_),
      random_(random),
      log_(log),
      durability_(log_.last_index()),
      reads_(absl::uniform_int_distribution<uint64_t>()(random_)),
      now_(now),
      term_(log.vote_.term_),
      voted_for_(log.vote_.voted_for_),
      commit_index_(log_.snapshot_index()),
      delivered_index_(commit_index_),
      next_reply_(absl::uniform_int_distribution<uint64_t>(
          1,
          std::numeric_limits<uint64_t>::max() / 2)(random_)),
      verified_index_(commit_index_),
      restore_pending_(log_.snapshot() != nullptr) {
  // The first election is due soon: after a restart of all members there is no
  // leader to wait for, and members in contact with a leader refuse the vote.
  election_due_ =
      now_ + RandomMillis(random_, options_.first_election_delay_min_,
                          options_.first_election_delay_max_);
}

template <size_t kIndex>
void Raft::Impl::HandleMessageAs(const RaftMessageReceived& received) {
  const auto& message = std::get<kIndex>(received.message_);
  using Message = std::remove_cvref_t<decltype(message)>;
  if constexpr (MemberMessage<Message>) {
    if (message.group_ == options_.group_ && message.to_ == identity_) {
      OnPeer(message, received.connection_);
    }
  }
}

template <size_t... kIndexes>
constexpr std::array<Raft::Impl::EventHandler, sizeof...(kIndexes)>
Raft::Impl::EventTable(std::index_sequence<kIndexes...> /*indexes*/) {
  return {&Impl::HandleEventAs<kIndexes>...};
}

template <size_t... kIndexes>
constexpr std::array<Raft::Impl::MessageHandler, sizeof...(kIndexes)>
Raft::Impl::MessageTable(std::index_sequence<kIndexes...> /*indexes*/) {
  return {&Impl::HandleMessageAs<kIndexes>...};
}

Raft::Step Raft::Impl::Handle(absl::Span<const RaftEvent> events,
                              state::Millis now) {
  static constexpr auto kHandlers =
      EventTable(std::make_index_sequence<std::variant_size_v<RaftEvent>>());
  now_ = now;
  step_.emplace();
  for (const RaftEvent& event : events) {
    (this->*kHandlers.at(event.index()))(event);
  }
  Flush();
  return *std::move(step_);
}

void Raft::Impl::On(const RaftMessageReceived& event) {
  static constexpr auto kHandlers = MessageTable(
      std::make_index_sequence<std::variant_size_v<PeerMessage>>());
  (this->*kHandlers.at(event.message_.index()))(event);
}

void Raft::Impl::On(const RaftPersisted& event) {
  durability_.OnPersisted(event.sequence_);
  const uint64_t durable =
      std::min(verified_index_, durability_.durable_index());
  if (role_ == RaftRole::kFollower && !leader_.empty() &&
      durable > acknowledged_index_) {
    AcknowledgeAppend();
  }
  if (role_ == RaftRole::kCandidate) {
    CountVotes();
  }
  if (role_ == RaftRole::kLeader) {
    AdvanceCommit();
  }
}

void Raft::Impl::On(const RaftSnapshotMade& event) {
  if (event.index_ <= log_.snapshot_index() ||
      event.index_ > delivered_index_) {
    return;
  }
  const auto snapshot = std::make_shared<const state::LogSnapshot>(
      state::LogSnapshot{.index_ = event.index_,
                         .term_ = *log_.TermAt(event.index_),
                         .members_ = log_.MembersAt(event.index_),
                         .content_ = event.content_});
  log_.Compact(snapshot, options_.retained_entries_, options_.retained_bytes_);
  durability_.OnSnapshotMade(snapshot);
}

void Raft::Impl::On(const RaftTick& /*event*/) {
  static constexpr std::array<RoleHandler, 4> kTicks = {
      &Impl::TickFollower, &Impl::TickPreCandidate, &Impl::TickCandidate,
      &Impl::TickLeader};
  (this->*kTicks.at(static_cast<size_t>(role_)))();
}

void Raft::Impl::Flush() {
  if (role_ == RaftRole::kLeader) {
    PromoteLearner();
    if (reads_.NeedsRound() && HasCommittedInCurrentTerm()) {
      StartRound();
    }
    const uint64_t quorum_round =
        QuorumValue(round_, &RaftProgress::acknowledged_round);
    AnswerLeaderReads(reads_.TakeConfirmed(quorum_round), true);
    AnswerLeaderReads(reads_.TakeExpired(now_), false);
    ReplicateToAll();
    StepDownIfRemoved();
  }
  if (std::optional<RaftBatch> batch = durability_.TakeBatch(
          log_, {.term_ = term_, .voted_for_ = voted_for_})) {
    step_->batch_.emplace(*std::move(batch));
  }
  Append(&step_->commands_, durability_.TakeSendable());
  FlushCommitted();
  step_->reads_ = reads_.TakeResults(delivered_index_, now_);
  FlushRoleChange();
}

void Raft::Impl::FlushCommitted() {
  if (restore_pending_) {
    restore_pending_ = false;
    step_->restore_.emplace(*log_.snapshot());
    delivered_index_ = log_.snapshot_index();
  }
  while (delivered_index_ < commit_index_) {
    ++delivered_index_;
    step_->committed_.push_back(log_.At(delivered_index_));
  }
  FinishCommittedProposals();
}

void Raft::Impl::FlushRoleChange() {
  RoleChange current{.role_ = role_,
                     .term_ = term_,
                     .leader_ = leader_,
                     .leader_address_ = AddressOf(leader_)};
  if (reported_role_ != current) {
    reported_role_.emplace(current);
    step_->role_change_.emplace(std::move(current));
  }
}

void Raft::Impl::Send(const std::string& identity, PeerMessage message) {
  step_->commands_.push_back(SendToPeer{.address_ = AddressOf(identity),
                                        .message_ = std::move(message)});
}

void Raft::Impl::ReplyWhenDurable(const std::string& connection,
                                  PeerMessage message) {
  durability_.DeferUntilVoteDurable(
      ReplyToPeer{.connection_ = connection, .message_ = std::move(message)});
}

std::string Raft::Impl::AddressOf(const std::string& identity) const {
  const state::ControlMember* member = FindMember(log_.members(), identity);
  return member == nullptr ? std::string() : member->address_;
}

std::vector<MemberStatus> Raft::Impl::Status(state::Millis now) const {
  std::vector<MemberStatus> status;
  for (const state::ControlMember& member : log_.members()) {
    const auto progress = progress_.find(member.identity_);
    const bool known = progress != progress_.end();
    const uint64_t own =
        role_ == RaftRole::kLeader && member.identity_ == identity_
            ? durability_.durable_index()
            : 0;
    status.push_back(MemberStatus{
        .member_ = member,
        .match_index_ = known ? progress->second.match_index() : own,
        .last_contact_age_ =
            known ? now - progress->second.last_contact() : state::Millis()});
  }
  return status;
}

state::Millis Raft::Impl::ContactAge(state::Millis now) const {
  if (role_ == RaftRole::kLeader) {
    return now - LastQuorumContact(now);
  }
  return had_contact_ ? now - last_contact_ : kNeverAge;
}

state::Millis Raft::Impl::Staleness(state::Millis now) const {
  // No other leader can commit an entry while a quorum replies to this one.
  if (role_ == RaftRole::kLeader && HasCommittedInCurrentTerm()) {
    return now - LastQuorumContact(now);
  }
  return last_up_to_date_.has_value() ? now - *last_up_to_date_ : kNeverAge;
}

Raft::Raft(RaftOptions options,
           const state::LoadedLog& log,
           absl::BitGenRef random,
           state::Millis now)
    : impl_(std::make_unique<Impl>(options, log, random, now)) {}

Raft::~Raft() = default;

Raft::Step Raft::Handle(const RaftEvent& event, state::Millis now) {
  return impl_->Handle({&event, 1}, now);
}

Raft::Step Raft::Handle(absl::Span<const RaftEvent> events, state::Millis now) {
  return impl_->Handle(events, now);
}

const std::string& Raft::identity() const {
  return impl_->identity();
}

RaftRole Raft::role() const {
  return impl_->role();
}

uint64_t Raft::term() const {
  return impl_->term();
}

const std::string& Raft::leader() const {
  return impl_->leader();
}

std::string Raft::leader_address() const {
  return impl_->AddressOf(impl_->leader());
}

uint64_t Raft::commit_index() const {
  return impl_->commit_index();
}

uint64_t Raft::last_index() const {
  return impl_->log().last_index();
}

const std::vector<state::ControlMember>& Raft::members() const {
  return impl_->log().members();
}

bool Raft::members_committed() const {
  return impl_->members_committed();
}

std::vector<MemberStatus> Raft::Status(state::Millis now) const {
  return impl_->Status(now);
}

state::Millis Raft::ContactAge(state::Millis now) const {
  return impl_->ContactAge(now);
}

state::Millis Raft::Staleness(state::Millis now) const {
  return impl_->Staleness(now);
}

uint64_t Raft::EntriesSinceSnapshot() const {
  return last_index() - impl_->log().snapshot_index();
}

uint64_t Raft::BytesSinceSnapshot() const {
  return impl_->log().BytesBetween(impl_->log().snapshot_index(), last_index());
}

}  // namespace gooseberrygap::coordination
