#include "support/temporary_folder.h"

#include <cstdlib>
#include <filesystem>
#include <system_error>

namespace gooseberrygap::test_support {

namespace {

std::string MakeFolder() {
  std::error_code ignored;
  std::string name =
      std::filesystem::temp_directory_path(ignored) / "gooseberrygap-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) {
    std::abort();
  }
  return name;
}

}  // namespace

TemporaryFolder::TemporaryFolder() : path_(MakeFolder()) {}

TemporaryFolder::~TemporaryFolder() {
  if (std::getenv("GOOSEBERRYGAP_KEEP_FOLDERS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
}

}  // namespace gooseberrygap::test_support
