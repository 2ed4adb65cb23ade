#include <fstream>
#include <iostream>
#include <string>
#include "absl/strings/str_cat.h"

#include "ctl/command.h"
#include "ctl/request_path.h"

namespace gooseberrygap::ctl {

namespace {

using state::ErrorKind;

// Adds the lines of the file; "-" stands for standard input.
state::Result<void> AddLines(const std::string& path, RequestPath* request) {
  std::ifstream file;
  if (path != "-") {
    file.open(path, std::ios::binary);
  }
  std::istream& input = path == "-" ? std::cin : file;
  std::string line;
  while (std::getline(input, line)) {
    request->Add(line);
  }
  if (input.bad() || (path != "-" && !file.is_open())) {
    return state::MakeError(ErrorKind::kFileUnreadable,
                            absl::StrCat("Cannot read '", path, "'"));
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace

state::Result<Report> RunExplain(const Invocation& invocation) {
  const std::string& id = invocation.arguments_.front();
  RequestPath request(id);
  for (size_t i = 1; i < invocation.arguments_.size(); ++i) {
    BOOST_OUTCOME_TRYV(AddLines(invocation.arguments_[i], &request));
  }
  if (!request.found()) {
    return state::MakeError(
        ErrorKind::kNotFound,
        absl::StrCat("No log line names the request '", id, "'"));
  }
  return Report{.output_ = request.Print()};
}

}  // namespace gooseberrygap::ctl
