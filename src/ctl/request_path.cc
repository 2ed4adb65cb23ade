#include "ctl/request_path.h"

#include <algorithm>
#include <array>
#include <variant>
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace gooseberrygap::ctl {

namespace {

using protocol::LoggedEvent;
using state::LogField;

// Events of the daemons so long before and after a request may explain it.
constexpr int64_t kSurroundingMillis = 2000;
constexpr absl::string_view kStatusEvent = "status";
constexpr absl::string_view kDroppedEvent = "log_dropped";

const LogField* FieldAt(const LoggedEvent& event, absl::string_view name) {
  const auto& fields = event.event_.fields_;
  const auto field = std::find_if(
      fields.begin(), fields.end(),
      [name](const LogField& candidate) { return candidate.name_ == name; });
  return field == fields.end() ? nullptr : &*field;
}

std::string ValueOf(const LogField& field) {
  if (const auto* text = std::get_if<std::string>(&field.value_)) {
    return text->empty() ? "-" : *text;
  }
  if (const auto* truth = std::get_if<bool>(&field.value_)) {
    return *truth ? "true" : "false";
  }
  if (const auto* whole = std::get_if<int64_t>(&field.value_)) {
    return absl::StrCat(*whole);
  }
  return absl::StrFormat("%g", std::get<double>(field.value_));
}

std::string ValueAt(const LoggedEvent& event, absl::string_view name) {
  const LogField* field = FieldAt(event, name);
  return field == nullptr ? "?" : ValueOf(*field);
}

int64_t WholeAt(const LoggedEvent& event, absl::string_view name) {
  const LogField* field = FieldAt(event, name);
  const auto* whole =
      field == nullptr ? nullptr : std::get_if<int64_t>(&field->value_);
  return whole == nullptr ? 0 : *whole;
}

std::string FieldsOf(const LoggedEvent& event) {
  std::string text;
  for (const LogField& field : event.event_.fields_) {
    absl::StrAppend(&text, " ", field.name_, "=", ValueOf(field));
  }
  return text;
}

std::string LineOf(const LoggedEvent& event, uint64_t begin) {
  const auto offset =
      static_cast<int64_t>(event.wall_millis_) - static_cast<int64_t>(begin);
  return absl::StrFormat("  %+6d ms  %s  %s%s\n", offset, event.instance_,
                         event.event_.event_, FieldsOf(event));
}

// What the ingress knew of a target, or what its guard answered with.
std::string LoadOf(const LoggedEvent& event) {
  return absl::StrCat(
      "in_flight ", ValueAt(event, "in_flight"), ", queued ",
      ValueAt(event, "queued"), ", slots ", ValueAt(event, "slots"), ", pace ",
      ValueAt(event, "pace"), ", state ", ValueAt(event, "state"));
}

// Returns the last event of that name, or null. With `attempt`, only of that
// attempt.
const LoggedEvent* LastOf(const std::vector<LoggedEvent>& events,
                          absl::string_view name,
                          absl::string_view attempt = "") {
  const auto last = std::find_if(
      events.rbegin(), events.rend(), [&](const LoggedEvent& event) {
        return event.event_.event_ == name &&
               (attempt.empty() || ValueAt(event, "attempt") == attempt);
      });
  return last == events.rend() ? nullptr : &*last;
}

// What the ingress knew when it sent the attempt.
std::string ReportedLoadText(const LoggedEvent& sent) {
  if (FieldAt(sent, "load_age_ms") == nullptr) {
    return "knew nothing of the target's load";
  }
  return absl::StrCat("believed ", LoadOf(sent), ", ",
                      ValueAt(sent, "load_age_ms"), " ms old");
}

// Returns what the guard's answer to the last attempt and the ingress's
// knowledge at its sending say.
std::string DecidedBy(const std::vector<LoggedEvent>& events) {
  const LoggedEvent* sent = LastOf(events, "attempt_sent");
  if (sent == nullptr) {
    return "decided by: no attempt was sent; the ingress knew no target that "
           "could answer in time, or refused the call itself\n";
  }
  const std::string attempt = ValueAt(*sent, "attempt");
  const LoggedEvent* answered = LastOf(events, "attempt_answered", attempt);
  const std::string answer =
      answered == nullptr
          ? "no answer of the guard is logged"
          : absl::StrCat(ValueAt(*answered, "result"), ", reason ",
                         ValueAt(*answered, "reason"), ", status ",
                         ValueAt(*answered, "status"), " after ",
                         ValueAt(*answered, "guard_ms"), " ms at the guard (",
                         LoadOf(*answered), ")");
  return absl::StrCat(
      "decided by: attempt ", attempt, " at ", ValueAt(*sent, "target"), ": ",
      answer, "\n  the ingress ", ReportedLoadText(*sent), ", with ",
      ValueAt(*sent, "deadline_left_ms"), " ms left and configuration ",
      ValueAt(*sent, "configuration"), "\n");
}

std::string OutcomeOf(const std::vector<LoggedEvent>& events) {
  const LoggedEvent* answered = LastOf(events, "call_answered");
  if (answered == nullptr) {
    return "outcome: not logged; the daemon may have ended, or the caller "
           "left\n";
  }
  // Only answers of a target tell it.
  const bool has_latency = FieldAt(*answered, "latency_ms") != nullptr;
  const std::string after =
      has_latency
          ? absl::StrCat(" after ", ValueAt(*answered, "latency_ms"), " ms")
          : std::string();
  return absl::StrCat("outcome: ", ValueAt(*answered, "outcome"), ", reason ",
                      ValueAt(*answered, "reason"), ", status ",
                      ValueAt(*answered, "status"), after, " at ",
                      answered->instance_, " (configuration ",
                      ValueAt(*answered, "configuration"), ", knowledge ",
                      ValueAt(*answered, "knowledge_age_ms"), " ms old)\n");
}

bool IsEarlier(const LoggedEvent* left, const LoggedEvent* right) {
  return left->wall_millis_ < right->wall_millis_;
}

// Copying pointers, since events are immutable.
std::vector<LoggedEvent> InOrderOfTime(const std::vector<LoggedEvent>& events) {
  std::vector<const LoggedEvent*> order;
  for (const LoggedEvent& event : events) {
    order.push_back(&event);
  }
  std::stable_sort(order.begin(), order.end(), &IsEarlier);
  std::vector<LoggedEvent> ordered;
  for (const LoggedEvent* event : order) {
    ordered.push_back(*event);
  }
  return ordered;
}

}  // namespace

void RequestPath::Add(absl::string_view line) {
  const auto event = protocol::ParseLogLine(line);
  if (!event.has_value()) {
    ++unreadable_;
    return;
  }
  const std::string& call = event->event_.request_;
  if (!call.empty()) {
    events_by_call_[call].push_back(*event);
  } else if (event->event_.event_ == kDroppedEvent) {
    dropped_ += WholeAt(*event, "lines");
  } else if (event->event_.event_ != kStatusEvent) {
    daemon_events_.push_back(*event);
  }
}

std::set<std::string> RequestPath::CallsWithId() const {
  std::set<std::string> calls;
  for (const auto& [call, events] : events_by_call_) {
    const bool matches =
        call == id_ ||
        std::any_of(events.begin(), events.end(),
                    [this](const LoggedEvent& event) {
                      const LogField* field = FieldAt(event, "caller_id");
                      return field != nullptr && ValueOf(*field) == id_;
                    });
    if (matches) {
      calls.insert(call);
    }
  }
  return calls;
}

std::string RequestPath::Print() const {
  std::string text;
  for (const std::string& call : CallsWithId()) {
    absl::StrAppend(&text, PrintCall(call));
  }
  return absl::StrCat(text, PrintMissing());
}

std::string RequestPath::PrintCall(const std::string& call) const {
  const Events events = InOrderOfTime(events_by_call_.at(call));
  std::string text = absl::StrCat("request ", call, "\n");
  for (const LoggedEvent& event : events) {
    absl::StrAppend(&text, LineOf(event, events.front().wall_millis_));
  }
  return absl::StrCat(text, OutcomeOf(events), DecidedBy(events),
                      PrintSurroundings(events));
}

std::string RequestPath::PrintSurroundings(const Events& events) const {
  std::set<std::string> instances;
  for (const LoggedEvent& event : events) {
    instances.insert(event.instance_);
  }
  const auto begin = static_cast<int64_t>(events.front().wall_millis_);
  const auto end = static_cast<int64_t>(events.back().wall_millis_);
  std::string text;
  for (const LoggedEvent& event : InOrderOfTime(daemon_events_)) {
    const auto time = static_cast<int64_t>(event.wall_millis_);
    const bool is_near =
        time >= begin - kSurroundingMillis && time <= end + kSurroundingMillis;
    if (is_near && instances.contains(event.instance_)) {
      absl::StrAppend(&text, LineOf(event, events.front().wall_millis_));
    }
  }
  return text.empty() ? text
                      : absl::StrCat("meanwhile, at the same daemons:\n", text);
}

std::string RequestPath::PrintMissing() const {
  std::string text;
  if (dropped_ > 0) {
    absl::StrAppend(&text, dropped_,
                    " events were dropped when they were logged; events of "
                    "this request may be among them\n");
  }
  if (unreadable_ > 0) {
    absl::StrAppend(&text, unreadable_, " lines could not be read\n");
  }
  return text;
}

}  // namespace gooseberrygap::ctl
