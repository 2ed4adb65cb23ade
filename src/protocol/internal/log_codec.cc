#include <memory>
#include <optional>
#include <utility>

#include "protocol/internal/wire_values.h"
#include "protocol/protocol.h"

namespace gooseberrygap::protocol {

namespace {

void SubmittedToWire(const state::SubmittedConfiguration& value,
                     wire::ConfigurationCommand* out) {
  out->set_submission(value.submission_);
  if (value.base_version_.has_value()) {
    out->set_base_version(*value.base_version_);
  }
  ToWire(*value.configuration_, out->mutable_configuration());
}

state::SubmittedConfiguration SubmittedFromWire(
    const wire::ConfigurationCommand& in,
    WireReader* reader) {
  return state::SubmittedConfiguration{
      .submission_ = in.submission(),
      .base_version_ = in.has_base_version()
                           ? std::optional<uint64_t>(in.base_version())
                           : std::nullopt,
      .configuration_ = std::make_shared<const state::Configuration>(
          FromWire(in.configuration(), reader))};
}

// One overload for each change: writes it into the command.
struct ChangeEncoder {
  wire::ProposedCommand* out_;

  void operator()(const state::SubmittedConfiguration& change) const {
    SubmittedToWire(change, out_->mutable_command()->mutable_configuration());
  }
  void operator()(const state::RegisterCommand& change) const {
    ToWire(change, out_->mutable_command()->mutable_register_command());
  }
  void operator()(const state::ExpireKeys&) const {
    out_->mutable_command()->mutable_expire_keys()->set_now(
        out_->wall_millis());
  }
  void operator()(const state::EvacuationOrder& change) const {
    ToWire(change, out_->mutable_command()->mutable_evacuation());
  }
  void operator()(const state::RecordCrashes& change) const {
    wire::RecordCrashes* out = out_->mutable_crashes();
    for (const state::CrashReport& report : change.reports_) {
      ToWire(report, out->add_reports());
    }
    (*this)(state::ExpireKeys());
  }
  void operator()(const state::WithdrawTarget& change) const {
    wire::WithdrawTarget* out = out_->mutable_withdrawal();
    out->set_instance(change.instance_);
    ToWire(change.withdrawal_, out->mutable_withdrawal());
    (*this)(state::ExpireKeys());
  }
};

state::LogChange ReadConfiguration(const wire::LogCommand& in,
                                   WireReader* reader) {
  return SubmittedFromWire(in.configuration(), reader);
}

state::LogChange ReadRegisterCommand(const wire::LogCommand& in,
                                     WireReader* reader) {
  return FromWire(in.register_command(), reader);
}

state::LogChange ReadExpireKeys(const wire::LogCommand&, WireReader*) {
  return state::ExpireKeys{};
}

state::LogChange ReadEvacuation(const wire::LogCommand& in,
                                WireReader* reader) {
  return FromWire(in.evacuation(), reader);
}

struct ChangeRow {
  const wire::LogCommand::CommandCase kind_;
  state::LogChange (*const read_)(const wire::LogCommand&, WireReader*);
};

constexpr ChangeRow kChanges[] = {
    {wire::LogCommand::kConfiguration, ReadConfiguration},
    {wire::LogCommand::kRegisterCommand, ReadRegisterCommand},
    {wire::LogCommand::kExpireKeys, ReadExpireKeys},
    {wire::LogCommand::kEvacuation, ReadEvacuation},
};

state::LogChange ReadWithdrawal(const wire::ProposedCommand& in,
                                WireReader* reader) {
  return state::WithdrawTarget{
      .instance_ = in.withdrawal().instance(),
      .withdrawal_ = FromWire(in.withdrawal().withdrawal(), reader)};
}

state::LogChange ReadCrashes(const wire::ProposedCommand& in, WireReader*) {
  return state::RecordCrashes{.reports_ =
                                  CrashesFromWire(in.crashes().reports())};
}

struct ExtensionRow {
  const wire::ProposedCommand::ExtensionCase kind_;
  state::LogChange (*const read_)(const wire::ProposedCommand&, WireReader*);
};

constexpr ExtensionRow kExtensions[] = {
    {wire::ProposedCommand::kWithdrawal, ReadWithdrawal},
    {wire::ProposedCommand::kCrashes, ReadCrashes},
};

// Returns the change in the command, or nothing for an unknown kind.
std::optional<state::LogChange> ReadChange(const wire::ProposedCommand& in,
                                           WireReader* reader) {
  for (const ExtensionRow& row : kExtensions) {
    if (row.kind_ == in.extension_case()) {
      return row.read_(in, reader);
    }
  }
  for (const ChangeRow& row : kChanges) {
    if (row.kind_ == in.command().command_case()) {
      return row.read_(in.command(), reader);
    }
  }
  return std::nullopt;
}

void EntryToWire(const state::KeyedRegisterEntry& keyed,
                 wire::RegisterEntry* out) {
  const state::RegisterEntry& entry = keyed.entry_;
  out->set_key(keyed.key_);
  out->set_state(static_cast<uint32_t>(entry.state_));
  out->set_attempt(entry.attempt_);
  out->set_digest(entry.digest_);
  out->set_guard(entry.guard_);
  out->set_incarnation(entry.incarnation_);
  out->set_nonce(entry.nonce_);
  out->set_opened_by(entry.opened_by_);
  if (entry.state_ == state::ActionState::kDone) {
    ToWire(entry.answer_, out->mutable_answer());
  }
  out->set_answer_dropped(entry.answer_dropped_);
  out->set_changed_at(entry.changed_at_);
}

state::KeyedRegisterEntry EntryFromWire(const wire::RegisterEntry& in,
                                        WireReader* reader) {
  return state::KeyedRegisterEntry{
      .key_ = in.key(),
      .entry_ = state::RegisterEntry{
          .state_ = reader->EnumOf(in.state(), state::ActionState::kUnknown),
          .attempt_ = in.attempt(),
          .digest_ = in.digest(),
          .guard_ = in.guard(),
          .incarnation_ = in.incarnation(),
          .nonce_ = in.nonce(),
          .opened_by_ = in.opened_by(),
          .answer_ = FromWire(in.answer(), reader),
          .answer_dropped_ = in.answer_dropped(),
          .changed_at_ = in.changed_at()}};
}

state::Error Malformed(absl::string_view what) {
  return state::MakeError(state::ErrorKind::kMalformedMessage, what);
}

}  // namespace

std::string EncodeLogCommand(const state::LogCommand& command) {
  wire::ProposedCommand out;
  out.set_proposer(command.proposer_);
  out.set_tag(command.tag_);
  out.set_wall_millis(command.wall_millis_);
  std::visit(ChangeEncoder{.out_ = &out}, command.change_);
  return out.SerializeAsString();
}

state::Result<state::LogCommand> DecodeLogCommand(absl::string_view bytes) {
  wire::ProposedCommand in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Malformed("The log command is not whole");
  }
  WireReader reader;
  const std::optional<state::LogChange> change = ReadChange(in, &reader);
  if (!change.has_value()) {
    return Malformed("The log command is of no known kind");
  }
  if (!reader.valid()) {
    return Malformed("The log command has a field that is out of range");
  }
  return state::LogCommand{.proposer_ = in.proposer(),
                           .tag_ = in.tag(),
                           .wall_millis_ = in.wall_millis(),
                           .change_ = *change};
}

std::string EncodeReplicatedState(const state::ReplicatedState& state) {
  wire::ReplicatedState out;
  out.set_register_time(state.register_.time_);
  out.set_register_wall_millis(state.register_.last_wall_millis_);
  for (const state::KeyedRegisterEntry& entry : state.register_.entries_) {
    EntryToWire(entry, out.add_register_entries());
  }
  for (const state::StoredConfiguration& stored : state.configurations_) {
    wire::StoredConfiguration* wire_stored = out.add_configurations();
    wire_stored->set_index(stored.index_);
    SubmittedToWire(stored.submitted_, wire_stored->mutable_submitted());
  }
  for (const state::AcceptedSubmission& accepted : state.accepted_) {
    wire::AcceptedSubmission* wire_accepted = out.add_accepted();
    wire_accepted->set_submission(accepted.submission_);
    wire_accepted->set_index(accepted.index_);
  }
  ToWire(state.evacuations_, out.mutable_evacuations());
  for (const state::StoredWithdrawal& stored : state.withdrawals_) {
    wire::StoredWithdrawal* wire_stored = out.add_withdrawals();
    wire_stored->set_wall_millis(stored.wall_millis_);
    wire::WithdrawTarget* command = wire_stored->mutable_command();
    command->set_instance(stored.instance_);
    ToWire(stored.withdrawal_, command->mutable_withdrawal());
  }
  for (const state::StoredCrash& stored : state.crashes_) {
    wire::StoredCrash* wire_stored = out.add_crashes();
    wire_stored->set_wall_millis(stored.wall_millis_);
    ToWire(stored.report_, wire_stored->mutable_report());
  }
  return out.SerializeAsString();
}

state::Result<state::ReplicatedState> DecodeReplicatedState(
    absl::string_view bytes) {
  wire::ReplicatedState in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Malformed("The replicated state is not whole");
  }
  WireReader reader;
  std::vector<state::KeyedRegisterEntry> entries;
  entries.reserve(in.register_entries_size());
  for (const wire::RegisterEntry& entry : in.register_entries()) {
    entries.push_back(EntryFromWire(entry, &reader));
  }
  std::vector<state::StoredConfiguration> configurations;
  configurations.reserve(in.configurations_size());
  for (const wire::StoredConfiguration& stored : in.configurations()) {
    configurations.push_back(state::StoredConfiguration{
        .index_ = stored.index(),
        .submitted_ = SubmittedFromWire(stored.submitted(), &reader)});
  }
  std::vector<state::AcceptedSubmission> accepted;
  accepted.reserve(in.accepted_size());
  for (const wire::AcceptedSubmission& entry : in.accepted()) {
    accepted.push_back(state::AcceptedSubmission{
        .submission_ = entry.submission(), .index_ = entry.index()});
  }
  state::Evacuations evacuations = FromWire(in.evacuations(), &reader);
  std::vector<state::StoredWithdrawal> withdrawals;
  withdrawals.reserve(in.withdrawals_size());
  for (const wire::StoredWithdrawal& stored : in.withdrawals()) {
    withdrawals.push_back(state::StoredWithdrawal{
        .instance_ = stored.command().instance(),
        .withdrawal_ = FromWire(stored.command().withdrawal(), &reader),
        .wall_millis_ = stored.wall_millis()});
  }
  std::vector<state::StoredCrash> crashes;
  crashes.reserve(in.crashes_size());
  for (const wire::StoredCrash& stored : in.crashes()) {
    crashes.push_back(state::StoredCrash{.report_ = FromWire(stored.report()),
                                         .wall_millis_ = stored.wall_millis()});
  }
  if (!reader.valid()) {
    return Malformed("The replicated state has a field that is out of range");
  }
  return state::ReplicatedState{
      .register_ = state::RegisterSnapshot{.time_ = in.register_time(),
                                           .last_wall_millis_ =
                                               in.register_wall_millis(),
                                           .entries_ = std::move(entries)},
      .configurations_ = std::move(configurations),
      .accepted_ = std::move(accepted),
      .evacuations_ = std::move(evacuations),
      .withdrawals_ = std::move(withdrawals),
      .crashes_ = std::move(crashes)};
}

}  // namespace gooseberrygap::protocol
