#include "support/fault_proxy/control_page.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/crc.hpp>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "support/fault_proxy/control_call.h"

namespace gooseberrygap::test_support {

namespace {

using nlohmann::json;
using state::Millis;

constexpr int kBacklog = 512;

state::Error Invalid(absl::string_view what) {
  return state::MakeError(state::ErrorKind::kInvalidRequest, what);
}

// A link's seed follows from its name, so that adding another link does not
// change which messages are struck.
uint64_t SeedOf(uint64_t seed, const std::string& name) {
  boost::crc_32_type crc;
  crc.process_bytes(name.data(), name.size());
  return seed << 32 ^ crc.checksum();
}

json ToJson(LinkDirection* direction) {
  const DirectionCounts& counts = direction->counts();
  json kinds = json::object();
  for (const auto& [kind, count] : counts.kinds_) {
    kinds[absl::StrCat(kind)] = {{"messages", count.messages_},
                                 {"bytes", count.bytes_}};
  }
  return {{"faults", ToJson(direction->faults())},
          {"bytes", counts.bytes_},
          {"messages", counts.messages_},
          {"duplicated", counts.duplicated_},
          {"reordered", counts.reordered_},
          {"dropped", counts.dropped_},
          {"kinds", std::move(kinds)}};
}

// The keys of a link that are not faults of one direction.
struct LinkChange {
  const bool refuse_ = false;
  const std::string freeze_ = {};
  const bool cut_ = false;
};

state::Result<LinkChange> ParseLinkChange(const json& patch, bool refuse) {
  const json with_defaults = {
      {"refuse", patch.value("refuse", json(refuse))},
      {"freeze", patch.value("freeze_established", json(""))},
      {"cut", patch.value("cut", json(false))}};
  if (!with_defaults["refuse"].is_boolean() ||
      !with_defaults["freeze"].is_string() ||
      !with_defaults["cut"].is_boolean()) {
    return Invalid("refuse and cut are booleans, freeze_established is text");
  }
  const std::string freeze = with_defaults["freeze"];
  if (!freeze.empty() && freeze != "forward" && freeze != "backward" &&
      freeze != "both") {
    return Invalid("freeze_established is forward, backward or both");
  }
  return LinkChange{.refuse_ = with_defaults["refuse"],
                    .freeze_ = freeze,
                    .cut_ = with_defaults["cut"]};
}

state::Result<void> PatchDirection(const json& patch,
                                   const char* key,
                                   LinkDirection* direction) {
  if (!patch.contains(key)) {
    return boost::outcome_v2::success();
  }
  const state::Result<DirectionFaults> faults =
      PatchFaults(direction->faults(), patch[key]);
  if (!faults.has_value()) {
    return faults.error();
  }
  direction->SetFaults(faults.value());
  return boost::outcome_v2::success();
}

int Listen(const Address& address) {
  const int listener =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in name = ToSocketAddress(address);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&name), sizeof(name)) !=
          0 ||
      ::listen(listener, kBacklog) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

}  // namespace

struct Proxy::ControlRow {
  const absl::string_view method_;
  const absl::string_view path_prefix_;
  Reply (Proxy::*const answer_)(const std::string& name, const json& body);
};

const std::vector<Proxy::ControlRow>& Proxy::ControlRows() {
  static const std::vector<ControlRow> kRows = {
      {"GET", "/links", &Proxy::ListLinks},
      {"POST", "/links/", &Proxy::ChangeLink},
      {"POST", "/links", &Proxy::AddLinks},
      {"POST", "/groups", &Proxy::SetGroups},
  };
  return kRows;
}

state::HttpAnswer Proxy::Control(const state::HttpRequest& request) {
  const std::shared_ptr<ControlCall> call(
      new ControlCall{.request_ = request, .answer_ = {}});
  std::future<state::HttpAnswer> answer = call->answer_.get_future();
  if (!control_calls_.TryPush(call)) {
    return state::HttpAnswer{.status_ = 503};
  }
  wake_.Signal();
  return answer.get();
}

void Proxy::AnswerControlCalls() {
  while (const auto call = control_calls_.TryPop()) {
    const Reply reply = AnswerControl((*call)->request_);
    (*call)->answer_.set_value(state::HttpAnswer{
        .status_ = reply.has_value() ? 200 : 400,
        .body_ = state::Bytes(reply.has_value() ? reply.value().dump()
                                                : reply.error().message_)});
  }
}

Proxy::Reply Proxy::AnswerControl(const state::HttpRequest& request) {
  const absl::string_view text = request.body_.view();
  const json body = json::parse(text.begin(), text.end(), nullptr, false);
  for (const ControlRow& row : ControlRows()) {
    if (request.method_ != row.method_ ||
        !absl::StartsWith(request.path_, row.path_prefix_)) {
      continue;
    }
    if (request.method_ == "POST" && body.is_discarded()) {
      return Invalid("the body is not JSON");
    }
    return (this->*row.answer_)(request.path_.substr(row.path_prefix_.size()),
                                body);
  }
  return Invalid(absl::StrCat("no page ", request.method_, " ", request.path_));
}

Proxy::Reply Proxy::ListLinks(const std::string& /*name*/,
                              const json& /*body*/) {
  json reply = json::object();
  for (const auto& [name, link] : links_) {
    reply[name] = {{"refuse", link->refuse_},
                   {"accepted", link->accepted_},
                   {"open", link->connections_.size()},
                   {"forward", ToJson(&link->forward_)},
                   {"backward", ToJson(&link->backward_)}};
  }
  return reply;
}

Proxy::Reply Proxy::AddLinks(const std::string& /*name*/, const json& body) {
  const json list = body.is_array() ? body : json::array({body});
  for (const json& object : list) {
    const state::Result<void> added = AddLink(object);
    if (!added.has_value()) {
      return added.error();
    }
  }
  return json::object();
}

Proxy::Reply Proxy::ChangeLink(const std::string& name, const json& body) {
  const auto link = links_.find(name);
  if (link == links_.end() || !body.is_object()) {
    return Invalid(absl::StrCat("no link '", name, "' or no JSON object"));
  }
  const state::Result<void> changed = ApplyPatch(body, link->second.get());
  if (!changed.has_value()) {
    return changed.error();
  }
  return json::object();
}

Proxy::Reply Proxy::SetGroups(const std::string& /*name*/, const json& body) {
  for (const auto& [name, group] : body.items()) {
    if (!group.is_object() || !group.contains("bits_per_second") ||
        !group["bits_per_second"].is_number()) {
      return Invalid(absl::StrCat("group ", name, " has no bits_per_second"));
    }
    groups_[name].SetRate(group["bits_per_second"].get<double>());
  }
  return json::object();
}

state::Result<void> Proxy::AddLink(const json& object) {
  const state::Result<LinkPlan> plan = ParseLinkPlan(object);
  if (!plan.has_value()) {
    return plan.error();
  }
  const std::string& name = plan.value().name_;
  if (links_.contains(name)) {
    return Invalid(absl::StrCat("link ", name, " exists"));
  }
  state::Result<Listener*> listener = ListenerFor(plan.value().listen_);
  if (!listener.has_value()) {
    return listener.error();
  }
  const uint64_t seed = SeedOf(seed_, name);
  std::unique_ptr<Link> link(
      new Link{.plan_ = plan.value(),
               .forward_ = LinkDirection(seed, &groups_),
               .backward_ = LinkDirection(seed + 1, &groups_)});
  state::Result<void> patched = ApplyPatch(object, link.get());
  if (!patched.has_value()) {
    return patched;
  }
  listener.value()->links_.push_back(link.get());
  links_.emplace(name, std::move(link));
  return boost::outcome_v2::success();
}

state::Result<void> Proxy::ApplyPatch(const json& patch, Link* link) {
  const state::Result<LinkChange> change =
      ParseLinkChange(patch, link->refuse_);
  if (!change.has_value()) {
    return change.error();
  }
  for (const auto& [key, direction] :
       {std::make_pair("forward", &link->forward_),
        std::make_pair("backward", &link->backward_)}) {
    state::Result<void> patched = PatchDirection(patch, key, direction);
    if (!patched.has_value()) {
      return patched;
    }
  }
  link->refuse_ = change.value().refuse_;
  const std::string& freeze = change.value().freeze_;
  // A copy, since connections that end are removed.
  const std::set<uint64_t> ids = link->connections_;
  for (const uint64_t id : ids) {
    Connection& connection = *connections_.at(id).connection_;
    if (freeze == "forward" || freeze == "both") {
      connection.FreezeFrom(Side::kClient);
    }
    if (freeze == "backward" || freeze == "both") {
      connection.FreezeFrom(Side::kServer);
    }
    if (change.value().cut_) {
      connection.Cut();
    }
    connection.Update(clock_.Now());
    Refresh(id);
  }
  return boost::outcome_v2::success();
}

state::Result<Proxy::Listener*> Proxy::ListenerFor(const Address& address) {
  for (const auto& [known, listener] : listeners_) {
    if (known == address) {
      return listener.get();
    }
  }
  const int socket = Listen(address);
  if (socket < 0) {
    return state::MakeError(state::ErrorKind::kAddressInUse,
                            absl::StrCat("cannot bind ", ToString(address)));
  }
  epoll_event event = {
      .events = EPOLLIN,
      .data = {.u64 = TagOf(TagKind::kListener, listeners_.size())}};
  epoll_ctl(epoll_, EPOLL_CTL_ADD, socket, &event);
  listeners_.emplace_back(
      address, std::unique_ptr<Listener>(new Listener{.socket_ = socket}));
  return listeners_.back().second.get();
}

void RegisterControlPage(httplib::Server* server, Proxy* proxy) {
  const httplib::Server::Handler handler =
      [proxy](const httplib::Request& request, httplib::Response& response) {
        const state::HttpAnswer answer =
            proxy->Control({.method_ = request.method,
                            .path_ = request.path,
                            .body_ = state::Bytes(request.body)});
        response.status = answer.status_;
        response.set_content(answer.body_.ToString(), "application/json");
      };
  server->Get(".*", handler);
  server->Post(".*", handler);
}

}  // namespace gooseberrygap::test_support
