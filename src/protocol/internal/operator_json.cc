#include "protocol/internal/configuration_fields.h"
#include "protocol/internal/json_fields.h"
#include "protocol/internal/json_texts.h"
#include "protocol/protocol.h"

namespace gooseberrygap::protocol {

namespace {

using coordination::ConfigSubmitReply;
using coordination::SubmitStatus;
using state::ControlMember;
using state::CounterSample;
using state::Evacuations;
using state::EvacuationState;
using state::IndexedConfiguration;
using state::TargetRecord;
using state::TargetState;

constexpr Integer kCount{0, kMaxInteger};
// Bounds only what a malformed answer can make the reader reserve.
constexpr size_t kMaxElements = 1000000;

constexpr EnumName<SubmitStatus> kSubmitStatuses[] = {
    {SubmitStatus::kAccepted, "accepted"},
    {SubmitStatus::kConflict, "conflict"},
    {SubmitStatus::kWrongVersion, "wrong_version"},
    {SubmitStatus::kNotLeader, "not_leader"},
    {SubmitStatus::kNoQuorum, "no_quorum"},
    {SubmitStatus::kNotFormed, "not_formed"}};

constexpr EnumName<TargetState> kTargetStates[] = {
    {TargetState::kStarting, "starting"},
    {TargetState::kServing, "serving"},
    {TargetState::kDraining, "draining"},
    {TargetState::kLeft, "left"}};

constexpr auto kSubmissionRecord = RecordOf<ConfigSubmission>(
    Required("submission", &ConfigSubmission::submission_, kNameText),
    Required("configuration",
             &ConfigSubmission::configuration_,
             kConfigurationRecord));

constexpr auto kSubmitReplyRecord = RecordOf<ConfigSubmitReply>(
    Absent(&ConfigSubmitReply::call_id_),
    Required("status",
             &ConfigSubmitReply::status_,
             NamedEnumOf(kSubmitStatuses)),
    Required("index", &ConfigSubmitReply::index_, kCount),
    Required("current_version", &ConfigSubmitReply::current_version_, kCount),
    Optional("winner_submission",
             &ConfigSubmitReply::winner_submission_,
             kAnyText),
    Absent(&ConfigSubmitReply::leader_address_));

constexpr auto kIndexedConfigurationRecord = RecordOf<IndexedConfiguration>(
    Required("index", &IndexedConfiguration::index_, kCount),
    Optional("configuration",
             &IndexedConfiguration::configuration_,
             SharedOf(kConfigurationRecord)));

constexpr auto kTargetRecord = RecordOf<TargetRecord>(
    Required("target", &TargetRecord::target_, kAnyText),
    Required("service", &TargetRecord::service_, kAnyText),
    Required("instance", &TargetRecord::instance_, kAnyText),
    Absent(&TargetRecord::guard_address_),
    Required("region", &TargetRecord::region_, kAnyText),
    Required("failure_domain", &TargetRecord::failure_domain_, kAnyText),
    Required("slots", &TargetRecord::slots_, Integer{0, 1000000}),
    Required("state", &TargetRecord::state_, NamedEnumOf(kTargetStates)),
    Absent(&TargetRecord::version_),
    Absent(&TargetRecord::withdrawal_));

constexpr auto kCounterRecord = RecordOf<CounterSample>(
    Required("name", &CounterSample::name_, kAnyText),
    Required("labels", &CounterSample::labels_, kAnyText),
    Absent(&CounterSample::help_),
    Required("value", &CounterSample::value_, kCount));

// A member as it is named when it is formed or added.
constexpr auto kNewMemberRecord = RecordOf<ControlMember>(
    Required("identity", &ControlMember::identity_, kNameText),
    Required("instance", &ControlMember::instance_, kNameText),
    Required("address", &ControlMember::address_, kAddressText),
    Absent(&ControlMember::voter_),
    Absent(&ControlMember::leaving_));

constexpr auto kMemberRecord = RecordOf<ControlMember>(
    Required("identity", &ControlMember::identity_, kAnyText),
    Required("instance", &ControlMember::instance_, kAnyText),
    Required("address", &ControlMember::address_, kAnyText),
    Required("voter", &ControlMember::voter_, Flag{}),
    Optional("leaving", &ControlMember::leaving_, Flag{}));

constexpr auto kStatusRecord = RecordOf<ControlStatus>(
    Required("identity", &ControlStatus::identity_, kAnyText),
    Required("instance", &ControlStatus::instance_, kAnyText),
    Required("address", &ControlStatus::address_, kAnyText),
    Required("formed", &ControlStatus::formed_, Flag{}),
    Required("role", &ControlStatus::role_, kAnyText),
    Required("term", &ControlStatus::term_, kCount),
    Required("leader", &ControlStatus::leader_, kAnyText),
    Required("commit_index", &ControlStatus::commit_index_, kCount),
    Required("members",
             &ControlStatus::members_,
             ListOf(kMemberRecord, kMaxElements)),
    Optional("error", &ControlStatus::error_, kAnyText));

// Documents whose only key holds one value.
template <class Value>
struct Envelope {
  const Value value_ = {};
};

template <class Value, class Kind>
constexpr auto EnvelopeOf(absl::string_view key, Kind kind) {
  return RecordOf<Envelope<Value>>(
      Required(key, &Envelope<Value>::value_, kind));
}

constexpr auto kTargetsRecord =
    EnvelopeOf<std::vector<TargetRecord>>("targets",
                                          ListOf(kTargetRecord, kMaxElements));
constexpr auto kCountersRecord = EnvelopeOf<std::vector<CounterSample>>(
    "counters",
    ListOf(kCounterRecord, kMaxElements));
constexpr auto kFormRecord = EnvelopeOf<std::vector<ControlMember>>(
    "members",
    NamedListOf(kNewMemberRecord, 5, "identity", &ControlMember::identity_));
constexpr auto kRemoveRecord = EnvelopeOf<std::string>("identity", kNameText);

// Bounds the name of a failure domain, which every lease reply repeats.
constexpr auto kFailureDomainRecord =
    EnvelopeOf<std::string>("failure_domain", kNameText);

constexpr auto kEvacuationRecord = RecordOf<EvacuationState>(
    Required("failure_domain", &EvacuationState::failure_domain_, kAnyText),
    Required("evacuated", &EvacuationState::evacuated_, Flag{}),
    Required("index", &EvacuationState::index_, kCount));

constexpr auto kEvacuationsRecord =
    RecordOf<Evacuations>(Required("index", &Evacuations::index_, kCount),
                          Required("evacuations",
                                   &Evacuations::domains_,
                                   ListOf(kEvacuationRecord, kMaxElements)));

struct NamedError {
  const std::string error_ = {};
  const std::string message_ = {};
};

constexpr auto kErrorRecord =
    RecordOf<NamedError>(Required("error", &NamedError::error_, kAnyText),
                         Required("message", &NamedError::message_, kAnyText));

template <class Record>
auto ReadRequest(const Record& record, absl::string_view json) {
  return ReadDocument(record, json, UnknownKeys::kRefuse,
                      state::ErrorKind::kInvalidRequest, "The request");
}

template <class Record>
auto ReadAnswer(const Record& record, absl::string_view json) {
  return ReadDocument(record, json, UnknownKeys::kIgnore,
                      state::ErrorKind::kMalformedAnswer, "The answer");
}

// Returns the only value of an envelope.
template <class Value>
state::Result<Value> Unwrap(const state::Result<Envelope<Value>>& envelope) {
  if (envelope.has_error()) {
    return envelope.error();
  }
  return envelope.value().value_;
}

}  // namespace

absl::string_view NameOf(state::TargetState target_state) {
  return kTargetStates[static_cast<size_t>(target_state)].name_;
}

std::string PrintConfigSubmission(const ConfigSubmission& submission) {
  return PrintDocument(kSubmissionRecord, submission);
}

state::Result<ConfigSubmission> ParseConfigSubmission(absl::string_view json) {
  return ReadDocument(kSubmissionRecord, json, UnknownKeys::kRefuse,
                      state::ErrorKind::kInvalidConfiguration,
                      "The submission");
}

std::string PrintSubmitReply(const ConfigSubmitReply& reply) {
  return PrintDocument(kSubmitReplyRecord, reply);
}

state::Result<ConfigSubmitReply> ParseSubmitReply(absl::string_view json) {
  return ReadAnswer(kSubmitReplyRecord, json);
}

std::string PrintIndexedConfiguration(
    const IndexedConfiguration& configuration) {
  return PrintDocument(kIndexedConfigurationRecord, configuration);
}

state::Result<IndexedConfiguration> ParseIndexedConfiguration(
    absl::string_view json) {
  auto answer = ReadAnswer(kIndexedConfigurationRecord, json);
  if (answer.has_error()) {
    return answer;
  }
  const bool has_index = answer.value().index_ != 0;
  const bool has_document = answer.value().configuration_ != nullptr;
  if (has_index != has_document) {
    return state::MakeError(state::ErrorKind::kMalformedAnswer,
                            "The answer has an index without a configuration, "
                            "or a configuration without an index");
  }
  return answer;
}

std::string PrintTargets(const std::vector<TargetRecord>& targets) {
  return PrintDocument(kTargetsRecord, {.value_ = targets});
}

state::Result<std::vector<TargetRecord>> ParseTargets(absl::string_view json) {
  return Unwrap(ReadAnswer(kTargetsRecord, json));
}

std::string PrintCounters(const std::vector<CounterSample>& samples) {
  return PrintDocument(kCountersRecord, {.value_ = samples});
}

state::Result<std::vector<CounterSample>> ParseCounters(
    absl::string_view json) {
  return Unwrap(ReadAnswer(kCountersRecord, json));
}

std::string PrintControlStatus(const ControlStatus& status) {
  return PrintDocument(kStatusRecord, status);
}

state::Result<ControlStatus> ParseControlStatus(absl::string_view json) {
  return ReadAnswer(kStatusRecord, json);
}

std::string PrintMembers(const std::vector<ControlMember>& members) {
  return PrintDocument(kFormRecord, {.value_ = members});
}

state::Result<std::vector<ControlMember>> ParseMembers(absl::string_view json) {
  return Unwrap(ReadRequest(kFormRecord, json));
}

std::string PrintMember(const ControlMember& member) {
  return PrintDocument(kNewMemberRecord, member);
}

state::Result<ControlMember> ParseMember(absl::string_view json) {
  return ReadRequest(kNewMemberRecord, json);
}

std::string PrintIdentity(const std::string& identity) {
  return PrintDocument(kRemoveRecord, {.value_ = identity});
}

state::Result<std::string> ParseIdentity(absl::string_view json) {
  return Unwrap(ReadRequest(kRemoveRecord, json));
}

std::string PrintFailureDomain(const std::string& failure_domain) {
  return PrintDocument(kFailureDomainRecord, {.value_ = failure_domain});
}

state::Result<std::string> ParseFailureDomain(absl::string_view json) {
  return Unwrap(ReadRequest(kFailureDomainRecord, json));
}

std::string PrintEvacuation(const EvacuationState& evacuation) {
  return PrintDocument(kEvacuationRecord, evacuation);
}

state::Result<EvacuationState> ParseEvacuation(absl::string_view json) {
  return ReadAnswer(kEvacuationRecord, json);
}

std::string PrintEvacuations(const Evacuations& evacuations) {
  return PrintDocument(kEvacuationsRecord, evacuations);
}

state::Result<Evacuations> ParseEvacuations(absl::string_view json) {
  return ReadAnswer(kEvacuationsRecord, json);
}

std::string PrintError(const state::Error& error) {
  return PrintDocument(kErrorRecord,
                       {.error_ = std::string(state::NameOf(error.kind_)),
                        .message_ = error.message_});
}

std::optional<state::Error> ParseError(absl::string_view json) {
  const auto named = ReadAnswer(kErrorRecord, json);
  if (named.has_error()) {
    return std::nullopt;
  }
  for (int i = 0; i < static_cast<int>(state::ErrorKind::kCount); ++i) {
    const auto kind = static_cast<state::ErrorKind>(i);
    if (state::NameOf(kind) == named.value().error_) {
      return state::Error{.kind_ = kind, .message_ = named.value().message_};
    }
  }
  return state::Error{.kind_ = state::ErrorKind::kRefused,
                      .message_ = named.value().message_};
}

}  // namespace gooseberrygap::protocol
