#include <catch2/catch.hpp>
#include <cmath>
#include <limits>

#include "protocol/protocol.h"

namespace gooseberrygap::protocol {
namespace {

// Every byte that a header's value may contain, and some of them twice.
std::string AnyText() {
  std::string text = "caf\xe9 \xff\xfe";
  for (int c = 0x80; c <= 0xff; ++c) {
    text += static_cast<char>(c);
  }
  return text;
}

// Guards against a call or an answer that is lost between two daemons because a
// text from outside is not UTF-8: HTTP allows any bytes above 0x7f.
TEST_CASE("texts of callers and targets keep all their bytes") {
  const std::vector<state::HttpHeader> headers = {
      {.name_ = "X-Name", .value_ = AnyText()}};
  const coordination::PeerMessage attempt = coordination::Attempt{
      .request_id_ = "r-1",
      .attempt_ = 1,
      .request_ = {.method_ = "GET", .path_ = "/caf\xe9", .headers_ = headers},
      .host_ = "h\xe9.example",
      .key_ = "s/" + AnyText()};
  const auto decoded = DecodePeerMessage(EncodePeerMessage(attempt));
  REQUIRE(decoded);
  CHECK(decoded.value() == attempt);
  const coordination::PeerMessage answer = coordination::AttemptAnswer{
      .request_id_ = "r-1", .answer_ = {.status_ = 200, .headers_ = headers}};
  const auto decoded_answer = DecodePeerMessage(EncodePeerMessage(answer));
  REQUIRE(decoded_answer);
  CHECK(decoded_answer.value() == answer);
  const coordination::PeerMessage call = coordination::RegisterCall{
      .call_id_ = 1, .command_ = {.key_ = "s/" + AnyText()}};
  const auto decoded_call = DecodePeerMessage(EncodePeerMessage(call));
  REQUIRE(decoded_call);
  CHECK(decoded_call.value() == call);
}

// Guards against a large body that is lost, cut or mixed up, since it is
// encoded apart from the rest of its message.
TEST_CASE("large bodies of attempts and answers are carried whole") {
  const std::string content(200000, 'z');
  const state::Bytes body(content);
  const coordination::PeerMessage attempt = coordination::Attempt{
      .request_id_ = "r-1",
      .request_ = {.method_ = "POST", .path_ = "/p", .body_ = body},
      .host_ = "h.example"};
  const coordination::PeerMessage answer =
      coordination::AttemptAnswer{.request_id_ = "r-1",
                                  .answer_ = {.status_ = 200, .body_ = body},
                                  .target_ = "t"};
  for (const coordination::PeerMessage& message : {attempt, answer}) {
    const std::string whole = EncodePeerMessage(message);
    const auto decoded = DecodePeerMessage(whole);
    REQUIRE(decoded);
    CHECK(decoded.value() == message);
    for (size_t size = 0; size < whole.size(); size += size < 100 ? 1 : 9999) {
      CHECK_FALSE(DecodePeerMessage(whole.substr(0, size)));
    }
    CHECK_FALSE(DecodePeerMessage(whole.substr(0, whole.size() - 1)));
    CHECK_FALSE(DecodePeerMessage(whole.substr(0, whole.size() - 5)));
  }
}

// Guards against a withdrawal that is lost between a daemon and the control
// group, and against a message of an earlier build that is read as one.
TEST_CASE("a withdrawal is carried by renewals and replies") {
  const state::TargetWithdrawal withdrawal{
      .target_ = "t",
      .incarnation_ = 1700000000123,
      .sequence_ = 5,
      .state_ = state::TargetState::kDraining};
  for (const state::TargetWithdrawal& each :
       {withdrawal, state::TargetWithdrawal()}) {
    const coordination::PeerMessage renew = coordination::LeaseRenew{
        .instance_ = "i", .record_ = {.instance_ = "i", .withdrawal_ = each}};
    const auto decoded_renew = DecodePeerMessage(EncodePeerMessage(renew));
    REQUIRE(decoded_renew);
    CHECK(decoded_renew.value() == renew);
    const coordination::PeerMessage reply =
        coordination::LeaseReply{.granted_ = true, .withdrawal_ = each};
    const auto decoded_reply = DecodePeerMessage(EncodePeerMessage(reply));
    REQUIRE(decoded_reply);
    CHECK(decoded_reply.value() == reply);
  }
}

// Guards against a number of a reply that is lost on the way, so that what the
// reply carries is sent again, and against a message of an earlier build that
// is read as one that acknowledges replies.
TEST_CASE("the numbers of replies are carried by replies and renewals",
          "[configuration]") {
  const std::optional<uint64_t> numbers[] = {std::nullopt, 0, 1,
                                             uint64_t{1} << 63};
  for (const std::optional<uint64_t> number : numbers) {
    const coordination::PeerMessage messages[] = {
        coordination::LeaseRenew{.instance_ = "i", .received_reply_ = number},
        coordination::LeaseReply{.granted_ = true,
                                 .configuration_index_ = 9,
                                 .membership_base_version_ = 5,
                                 .number_ = number.value_or(0)}};
    for (const coordination::PeerMessage& message : messages) {
      const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
      REQUIRE(decoded);
      CHECK(decoded.value() == message);
    }
  }
}

// Guards against an age of a member's knowledge that is lost on the way, or
// that loses its sign.
TEST_CASE("requests of the log and their replies keep the echo") {
  const coordination::PeerMessage messages[] = {
      coordination::AppendRequest{.from_ = "a",
                                  .to_ = "b",
                                  .term_ = 4,
                                  .commit_index_ = 7,
                                  .round_ = 3,
                                  .echoed_reply_ = uint64_t{1} << 63,
                                  .echo_age_ = state::Millis(-12.5)},
      coordination::AppendReply{.from_ = "b",
                                .to_ = "a",
                                .term_ = 4,
                                .success_ = true,
                                .index_ = 7,
                                .round_ = 3,
                                .reply_ = uint64_t{1} << 63}};
  for (const coordination::PeerMessage& message : messages) {
    const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
    REQUIRE(decoded);
    CHECK(decoded.value() == message);
  }
}

// Guards against an order or its reply that arrives with other contents, so
// that it is refused, or taken for an order of the opposite kind.
TEST_CASE("evacuation orders and their replies keep their contents",
          "[evacuation]") {
  const coordination::PeerMessage messages[] = {
      coordination::EvacuationSubmit{
          .call_id_ = 3,
          .order_ = state::EvacuationOrder{.failure_domain_ = "zone-1",
                                           .evacuates_ = false,
                                           .known_index_ = 9}},
      coordination::EvacuationReply{
          .call_id_ = 3,
          .status_ = coordination::EvacuationStatus::kNotFormed,
          .index_ = 9,
          .leader_address_ = "addr"}};
  for (const coordination::PeerMessage& message : messages) {
    const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
    REQUIRE(decoded);
    CHECK(decoded.value() == message);
  }
}

// Guards against a field of the quotas' messages that is lost between a daemon
// and the leader, and against numbers that the leader cannot compute with.
TEST_CASE("reports and grants of quotas keep their fields") {
  const auto report_with = [](uint64_t held, double demand) {
    return coordination::QuotaReport{
        .instance_ = "d",
        .incarnation_ = 1,
        .number_ = 2,
        .first_number_ = 3,
        .term_ = 4,
        .applied_grant_ = 5,
        .needs_ = {coordination::QuotaNeed{.tenant_ = "t",
                                           .held_ = held,
                                           .spent_ = 7,
                                           .needed_ = 8,
                                           .goal_ = 9,
                                           .demand_ = demand,
                                           .refused_ = 11}}};
  };
  const coordination::PeerMessage grant =
      coordination::QuotaGrant{.is_owner_ = true,
                               .leader_address_ = "a",
                               .term_ = 1,
                               .number_ = 2,
                               .report_number_ = 3,
                               .tokens_ = {coordination::QuotaTokens{
                                   .tenant_ = "t",
                                   .tokens_ = 4,
                                   .denied_for_ = state::Millis(50),
                                   .token_interval_ = state::Millis(6)}}};
  for (const coordination::PeerMessage& message :
       {coordination::PeerMessage(report_with(6, 0.5)), grant}) {
    const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
    REQUIRE(decoded);
    CHECK(decoded.value() == message);
  }
  CHECK_FALSE(DecodePeerMessage(
      EncodePeerMessage(report_with(std::numeric_limits<uint64_t>::max(), 1))));
  for (const double demand : {-1.0, std::nan("")}) {
    CHECK_FALSE(DecodePeerMessage(EncodePeerMessage(report_with(1, demand))));
  }
}

// Guards against bytes of another program that end the process or are taken for
// a message.
TEST_CASE("bytes that are no message are refused") {
  const std::string whole = EncodePeerMessage(
      coordination::Cancel{.request_id_ = "request", .attempt_ = 1});
  for (size_t size = 1; size + 1 < whole.size(); ++size) {
    CAPTURE(size);
    CHECK_FALSE(DecodePeerMessage(whole.substr(0, size)));
  }
  CHECK_FALSE(DecodePeerMessage("GET / HTTP/1.1\r\n\r\n"));
  CHECK_FALSE(DecodePeerMessage(std::string(1 << 20, '\xff')));
  // A length far beyond the message.
  CHECK_FALSE(DecodePeerMessage("\x0a\xff\xff\xff\xff\x7f"));
}

}  // namespace
}  // namespace gooseberrygap::protocol
