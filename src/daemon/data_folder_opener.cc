#include "daemon/data_folder_opener.h"

#include "daemon/logging.h"

namespace gooseberrygap::daemon {

namespace {

// A lock or a full disk may become free at any moment.
constexpr state::Millis kRetryInterval(250);
// Only an operator ends damage that stays, and each try reads the whole log.
constexpr state::Millis kDamagedRetryInterval(5000);

}  // namespace

state::Result<std::unique_ptr<state::LogStore>> DataFolderOpener::Open(
    bool can_rejoin) {
  auto opened = state::LogStore::Open(folder_);
  if (opened || opened.error().kind_ != state::ErrorKind::kCorruptLog) {
    return opened;
  }
  if (!can_rejoin) {
    LogDamage(opened.error(), "");
    return opened;
  }
  const auto moved_to = state::SetAsideDamagedFolder(folder_);
  if (!moved_to) {
    LogDamage(opened.error(), "");
    return moved_to.error();
  }
  has_logged_ = false;
  LogDamage(opened.error(), moved_to.value());
  counters_->Add(state::Counter::kDataFoldersDamaged);
  return state::LogStore::Open(folder_);
}

state::Millis DataFolderOpener::RetryIntervalAfter(state::ErrorKind kind) {
  return kind == state::ErrorKind::kCorruptLog ? kDamagedRetryInterval
                                               : kRetryInterval;
}

void DataFolderOpener::LogDamage(const state::Error& error,
                                 const std::string& moved_to) {
  if (std::exchange(has_logged_, true)) {
    return;
  }
  Log({.level_ = state::LogLevel::kError,
       .event_ = "data_folder_damaged",
       .fields_ = {{"error", error.message_}, {"moved_to", moved_to}}});
}

}  // namespace gooseberrygap::daemon
