#include <catch2/catch.hpp>

#include "peer.pb.h"
#include "protocol/protocol.h"

namespace gooseberrygap::protocol {
namespace {

state::SubmittedConfiguration Submitted() {
  return state::SubmittedConfiguration{
      .submission_ = "s1",
      .configuration_ =
          std::make_shared<const state::Configuration>(state::Configuration{
              .version_ = 3,
              .services_ = {state::Service{
                  .name_ = "a",
                  .rules_ = {
                      state::Rule{.method_ = "GET", .path_prefix_ = "/x"}}}}})};
}

// Guards against a field of a log command that is lost on disk or on the way.
TEST_CASE("log commands survive encoding") {
  const state::RegisterCommand finish{
      .operation_ = state::RegisterOperation::kFinish,
      .key_ = "svc/k",
      .attempt_ = 2,
      .digest_ = std::string("\xff\x00", 2),
      .guard_ = "g",
      .incarnation_ = 7,
      .nonce_ = "n",
      .request_id_ = "r",
      .answer_ = state::HttpAnswer{.status_ = 201,
                                   .headers_ = {{"A", "b"}},
                                   .body_ = state::Bytes("body")}};
  const state::WithdrawTarget withdraw{
      .instance_ = "i",
      .withdrawal_ = {.target_ = "t",
                      .incarnation_ = 7,
                      .sequence_ = 8,
                      .state_ = state::TargetState::kDraining}};
  const state::RecordCrashes crashes{
      .reports_ = {{.fingerprint_ = "f", .crash_id_ = "c", .alone_ = true},
                   {.fingerprint_ = "g", .crash_id_ = "c"}}};
  const std::vector<state::LogChange> changes = {
      Submitted(), finish, state::ExpireKeys{}, withdraw, crashes};
  for (const state::LogChange& change : changes) {
    const state::LogCommand command{
        .proposer_ = 4, .tag_ = 5, .wall_millis_ = 6, .change_ = change};
    const std::string bytes = EncodeLogCommand(command);
    const auto decoded = DecodeLogCommand(bytes);
    REQUIRE(decoded.has_value());
    CHECK(decoded.value() == command);
    CHECK_FALSE(DecodeLogCommand(bytes.substr(0, bytes.size() - 1)));
  }
  CHECK_FALSE(DecodeLogCommand(""));
}

// Guards against an upgrade that stops the control roles of members of the
// build before: they know neither kind of entry, and end at an unknown one.
TEST_CASE("earlier builds read new commands as the expiry of keys") {
  const std::vector<state::LogChange> changes = {state::WithdrawTarget{},
                                                 state::RecordCrashes{}};
  for (const state::LogChange& change : changes) {
    const std::string bytes = EncodeLogCommand(
        state::LogCommand{.wall_millis_ = 6, .change_ = change});
    wire::ProposedCommand command;
    REQUIRE(command.ParseFromString(bytes));
    CHECK(command.command().has_expire_keys());
    CHECK(command.command().expire_keys().now() == 6);
  }
}

// Guards against a replica that differs after it was restored.
TEST_CASE("the replicated state survives encoding") {
  const state::ReplicatedState state{
      .register_ =
          state::RegisterSnapshot{
              .time_ = 10,
              .last_wall_millis_ = 11,
              .entries_ =
                  {
                      state::KeyedRegisterEntry{
                          .key_ = "a",
                          .entry_ =
                              state::RegisterEntry{
                                  .state_ = state::ActionState::kDone,
                                  .attempt_ = 3,
                                  .digest_ = "d",
                                  .guard_ = "g",
                                  .incarnation_ = 4,
                                  .nonce_ = "n",
                                  .answer_ = state::HttpAnswer{.status_ = 204},
                                  .answer_dropped_ = true,
                                  .changed_at_ = 9}},
                      state::KeyedRegisterEntry{
                          .key_ = "b",
                          .entry_ =
                              state::RegisterEntry{
                                  .state_ = state::ActionState::kOpen,
                                  .attempt_ = 2,
                                  .opened_by_ =
                                      "r"}}}},
      .configurations_ = {state::StoredConfiguration{
          .index_ = 12, .submitted_ = Submitted()}},
      .withdrawals_ = {state::StoredWithdrawal{
          .instance_ = "i",
          .withdrawal_ = {.target_ = "t", .incarnation_ = 7, .sequence_ = 8},
          .wall_millis_ = 13}},
      .crashes_ = {state::StoredCrash{
          .report_ = {.fingerprint_ = "f", .crash_id_ = "c", .alone_ = true},
          .wall_millis_ = 14}}};
  const auto decoded = DecodeReplicatedState(EncodeReplicatedState(state));
  REQUIRE(decoded.has_value());
  CHECK(decoded.value() == state);
  CHECK_FALSE(DecodeReplicatedState("\xff"));
}

}  // namespace
}  // namespace gooseberrygap::protocol
