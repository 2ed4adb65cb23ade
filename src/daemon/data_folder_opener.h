#ifndef DAEMON_DATA_FOLDER_OPENER_H_
#define DAEMON_DATA_FOLDER_OPENER_H_

#include <memory>
#include <string>

#include "state/state.h"

namespace gooseberrygap::daemon {

// Opens the data folder of a control instance, repeatedly until it succeeds.
// Damaged content is set aside when the instance can join its group again, like
// one whose disk was lost. Otherwise the folder stays as it is: without a way
// to join, a new identity is of no use, and an operator may know a remedy. Not
// thread-safe.
class DataFolderOpener {
 public:
  // `counters` must outlive the opener.
  DataFolderOpener(std::string folder, state::Counters* counters)
      : folder_(std::move(folder)), counters_(counters) {}

  // Tries once. `can_rejoin` states whether the instance knows another one that
  // it can ask to join. Blocks while the folder is read.
  state::Result<std::unique_ptr<state::LogStore>> Open(bool can_rejoin);

  // Returns how long to wait after that error before the next try.
  static state::Millis RetryIntervalAfter(state::ErrorKind kind);

 private:
  // Logs damage at its first sight, and each time that content is set aside.
  void LogDamage(const state::Error& error, const std::string& moved_to);

  const std::string folder_;
  state::Counters* const counters_;
  bool has_logged_ = false;
};

}  // namespace gooseberrygap::daemon

#endif  // DAEMON_DATA_FOLDER_OPENER_H_
