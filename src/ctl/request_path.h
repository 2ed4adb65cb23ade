#ifndef CTL_REQUEST_PATH_H_
#define CTL_REQUEST_PATH_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "protocol/protocol.h"

namespace gooseberrygap::ctl {

// Joins the log lines of several daemons into the path of one request. Give it
// the lines in any order. Not thread-safe.
class RequestPath {
 public:
  // `id` is a caller's name of the request, or a daemon's.
  explicit RequestPath(std::string id) : id_(std::move(id)) {}

  // Takes a line of a log file. Lines that cannot be read are counted.
  void Add(absl::string_view line);

  bool found() const { return !CallsWithId().empty(); }
  // Returns the events of the request in order of time, what decided its
  // outcome, what the daemons that took part logged of themselves meanwhile,
  // and how many lines are missing. Precondition: found().
  std::string Print() const;

 private:
  using Events = std::vector<protocol::LoggedEvent>;

  // Returns the daemons' names of the request: each resend of a caller may
  // have one of its own.
  std::set<std::string> CallsWithId() const;
  std::string PrintCall(const std::string& name) const;
  std::string PrintSurroundings(const Events& events) const;
  std::string PrintMissing() const;

  const std::string id_;
  std::map<std::string, Events> events_by_call_;
  // Events of the daemons themselves.
  Events daemon_events_;
  int64_t unreadable_ = 0;
  int64_t dropped_ = 0;
};

}  // namespace gooseberrygap::ctl

#endif  // CTL_REQUEST_PATH_H_
