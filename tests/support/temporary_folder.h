#ifndef SUPPORT_TEMPORARY_FOLDER_H_
#define SUPPORT_TEMPORARY_FOLDER_H_

#include <string>

namespace gooseberrygap::test_support {

// A new folder under TMPDIR that is removed with everything in it, unless the
// environment variable GOOSEBERRYGAP_KEEP_FOLDERS is set.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();

  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  const std::string path_;
};

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_TEMPORARY_FOLDER_H_
