#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "protocol/protocol.h"
#include "support/fault_proxy/flow.h"
#include "support/fault_proxy/splitter.h"

namespace gooseberrygap::test_support {
namespace {

using state::Millis;

constexpr int kProbeField = 5;  // Of the Envelope in peer.proto.

std::string Greeting() {
  return "\xff" + std::string(63, 'g');
}

std::string Frame(char flags, const std::string& body) {
  return std::string{flags, static_cast<char>(body.size())} + body;
}

std::string LongFrame(char flags, const std::string& body) {
  std::string size;
  for (int shift = 56; shift >= 0; shift -= 8) {
    size.push_back(static_cast<char>(body.size() >> shift));
  }
  return std::string{static_cast<char>(flags | 2)} + size + body;
}

std::string ProbeMessage(uint64_t id) {
  return Frame(
      0, protocol::EncodePeerMessage(coordination::Probe{.probe_id_ = id}));
}

// Passes all that has arrived by `now`.
std::string Drain(Flow* flow, Millis now) {
  std::string passed;
  for (absl::string_view ready = flow->Ready(now); !ready.empty();
       ready = flow->Ready(now)) {
    passed.append(ready.data(), ready.size());
    flow->Consume(ready.size());
  }
  return passed;
}

// Returns the order in which numbered messages pass a direction with `faults`.
std::vector<char> OrderOf(uint64_t seed, const DirectionFaults& faults) {
  BandwidthGroups groups;
  LinkDirection direction(seed, &groups);
  direction.SetFaults(faults);
  Flow flow("peer", &direction, Millis(0));
  flow.Take(Greeting(), Millis(0));
  for (char i = 0; i < 100; ++i) {
    flow.Take(Frame(0, {i}), Millis(0));
  }
  flow.Finish(Millis(0));
  const std::string passed = Drain(&flow, Millis(1000)).substr(64);
  std::vector<char> order;
  for (size_t at = 2; at < passed.size(); at += 3) {
    order.push_back(passed[at]);
  }
  return order;
}

// Guards against frames that are lost or torn when the bytes arrive in other
// parts than they were sent in.
TEST_CASE("ZMTP is split into whole messages from any parts") {
  const std::string multipart =
      Frame(1, "identity") + Frame(1, "") + LongFrame(0, std::string(300, 'x'));
  const std::string probe = ProbeMessage(7);
  const std::string stream =
      Greeting() + Frame(4, "\5READY") + multipart + probe + Frame(4, "\4PING");
  for (const size_t step : {size_t{1}, size_t{7}, stream.size()}) {
    const std::unique_ptr<Splitter> splitter = MakeSplitter("peer");
    std::vector<Piece> pieces;
    for (size_t at = 0; at < stream.size(); at += step) {
      splitter->Push(absl::string_view(stream).substr(at, step), &pieces);
    }
    std::string joined;
    std::vector<std::string> messages;
    std::vector<int> kinds;
    for (const Piece& piece : pieces) {
      joined += piece.bytes_.ToString();
      if (piece.is_message_) {
        messages.push_back(piece.bytes_.ToString());
        kinds.push_back(piece.kind_);
      }
    }
    CHECK(joined == stream);
    REQUIRE(messages.size() == 2);
    CHECK(messages[0] == multipart);
    CHECK(messages[1] == probe);
    CHECK(kinds[1] == kProbeField);
  }
}

// Guards against a proxy that withholds bytes of a foreign protocol for ever.
TEST_CASE("bytes that are not ZMTP pass as they come") {
  const std::unique_ptr<Splitter> splitter = MakeSplitter("peer");
  std::vector<Piece> pieces;
  splitter->Push("GET / HTTP/1.1\r\n", &pieces);
  splitter->Push(std::string(100, 'x'), &pieces);
  REQUIRE(pieces.size() == 2);
  CHECK_FALSE(pieces[1].is_message_);
  CHECK(pieces[1].bytes_.size() == 100);
  CHECK(MakeSplitter("udp") == nullptr);
}

// Guards against message faults that cannot be repeated from a seed.
TEST_CASE("a seed fixes which messages are struck") {
  const DirectionFaults faults = {
      .duplicate_share_ = 0.2, .reorder_share_ = 0.2, .drop_share_ = 0.1};
  const std::vector<char> order = OrderOf(1, faults);
  CHECK(OrderOf(1, faults) == order);
  CHECK(OrderOf(2, faults) != order);
  CHECK_FALSE(std::is_sorted(order.begin(), order.end()));
}

// Guards against faults that lose or invent messages they should not.
TEST_CASE("each message fault does only its own harm") {
  const std::vector<char> all = OrderOf(1, {});
  REQUIRE(all.size() == 100);
  CHECK(std::is_sorted(all.begin(), all.end()));

  std::vector<char> reordered = OrderOf(1, {.reorder_share_ = 0.3});
  CHECK(reordered != all);
  std::sort(reordered.begin(), reordered.end());
  CHECK(reordered == all);

  std::vector<char> duplicated = OrderOf(1, {.duplicate_share_ = 0.3});
  CHECK(duplicated.size() > 100);
  CHECK(std::is_sorted(duplicated.begin(), duplicated.end()));
  duplicated.erase(std::unique(duplicated.begin(), duplicated.end()),
                   duplicated.end());
  CHECK(duplicated == all);

  CHECK(OrderOf(1, {.drop_share_ = 1}).empty());
}

// Guards against a reordered message that waits for ever for the next one.
TEST_CASE("a reordered message without a successor is passed in time") {
  BandwidthGroups groups;
  LinkDirection direction(1, &groups);
  direction.SetFaults({.reorder_share_ = 1});
  Flow flow("peer", &direction, Millis(0));
  flow.Take(Greeting() + ProbeMessage(1), Millis(0));
  CHECK(Drain(&flow, Millis(0)) == Greeting());
  REQUIRE(flow.NextArrival().has_value());
  CHECK(*flow.NextArrival() == Flow::kReorderHold);
  CHECK(Drain(&flow, Flow::kReorderHold) == ProbeMessage(1));
}

// Guards against a late connect that delays more than the start of a
// connection, or that touches connections that are open already.
TEST_CASE("a connection that opens late passes its first bytes late") {
  BandwidthGroups groups;
  LinkDirection direction(1, &groups);
  Flow before("tcp", &direction, Millis(0));
  direction.SetFaults({.open_delay_ms_ = 1500});
  Flow late("tcp", &direction, Millis(100));
  before.Take("abc", Millis(100));
  CHECK(Drain(&before, Millis(100)) == "abc");
  late.Take("abc", Millis(100));
  CHECK(Drain(&late, Millis(1599)).empty());
  CHECK(Drain(&late, Millis(1600)) == "abc");
  late.Take("def", Millis(1700));
  CHECK(Drain(&late, Millis(1700)) == "def");
}

// Guards against jitter that reorders the bytes of a stream.
TEST_CASE("bytes arrive after the delay and in order") {
  BandwidthGroups groups;
  LinkDirection direction(1, &groups);
  direction.SetFaults({.delay_ms_ = 12, .jitter_ms_ = 5});
  Flow flow("tcp", &direction, Millis(0));
  std::string sent;
  for (int i = 0; i < 50; ++i) {
    flow.Take(std::to_string(i), Millis(i * 0.1));
    sent += std::to_string(i);
  }
  CHECK(Drain(&flow, Millis(11.9)).empty());
  CHECK(Drain(&flow, Millis(12 + 5 + 5)) == sent);
}

// Guards against links that each get the whole bandwidth of a shared line.
TEST_CASE("links of one group share its bandwidth") {
  BandwidthGroups groups;
  groups["line"].SetRate(8000);  // One byte each millisecond.
  LinkDirection first(1, &groups);
  LinkDirection second(2, &groups);
  first.SetFaults({.delay_ms_ = 3, .group_ = "line"});
  second.SetFaults({.group_ = "line"});
  Flow a("tcp", &first, Millis(0));
  Flow b("tcp", &second, Millis(0));
  a.Take("0123456789", Millis(0));
  b.Take("0123456789", Millis(0));
  CHECK(*a.NextArrival() == Millis(13));
  CHECK(*b.NextArrival() == Millis(20));
}

// Guards against a healed partition that has lost bytes, and against a frozen
// connection that comes back.
TEST_CASE("blocked bytes wait and frozen bytes never pass") {
  BandwidthGroups groups;
  LinkDirection direction(1, &groups);
  Flow flow("tcp", &direction, Millis(0));
  flow.Take("abc", Millis(0));
  direction.SetFaults({.blocked_ = true});
  CHECK_FALSE(flow.WantsMore());
  CHECK_FALSE(flow.NextArrival().has_value());
  CHECK(Drain(&flow, Millis(1000)).empty());
  direction.SetFaults({});
  CHECK(Drain(&flow, Millis(1000)) == "abc");

  flow.Take("def", Millis(1000));
  flow.Freeze();
  CHECK_FALSE(flow.WantsMore());
  CHECK(Drain(&flow, Millis(2000)).empty());
  Flow next("tcp", &direction, Millis(0));
  next.Take("ghi", Millis(2000));
  CHECK(Drain(&next, Millis(2000)) == "ghi");
}

}  // namespace
}  // namespace gooseberrygap::test_support
