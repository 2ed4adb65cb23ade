#ifndef STATE_API_DAMAGED_FOLDER_H_
#define STATE_API_DAMAGED_FOLDER_H_

#include <string>

#include "state/api/error.h"

namespace gooseberrygap::state {

// Moves the content of a data folder for which LogStore::Open has returned
// kCorruptLog into its subfolder `damaged-N` and returns the path of that
// subfolder. LogStore::Open then begins with a new identity. Keeps only the
// newest such subfolder, so that damage that recurs does not fill the disk.
//
// The old identity is moved first, durably: the folder never opens under it
// with a part of its content. After a crash or an error, LogStore::Open returns
// kCorruptLog until a further call has completed the move.
//
// Precondition: no LogStore of this process has the folder open. Errors:
// kFolderInUse, kDiskFailed, kDiskFull. Thread-safe for different folders.
Result<std::string> SetAsideDamagedFolder(const std::string& folder);

}  // namespace gooseberrygap::state

#endif  // STATE_API_DAMAGED_FOLDER_H_
