#include "integration/parallel_submission.h"

#include <chrono>

#include "integration/control_pages.h"

namespace gooseberrygap::integration {

namespace {

constexpr auto kResendPause = std::chrono::milliseconds(10);

}  // namespace

ParallelSubmission::ParallelSubmission(
    const test_support::Deployment& deployment,
    const std::vector<std::string>& instances,
    const std::string& id,
    const std::string& document)
    : id_(id), document_(document), started_at_(clock_.Now()) {
  for (const std::string& instance : instances) {
    operators_.emplace_back(
        [this, daemon = deployment.AddressesOf(instance).http_] {
          Run(daemon);
        });
  }
}

ParallelSubmission::~ParallelSubmission() {
  ended_ = true;
  for (std::thread& thread : operators_) {
    thread.join();
  }
}

uint64_t ParallelSubmission::WaitForIndex() const {
  Check(test_support::WaitUntil("an acknowledgement",
                                [this] { return acknowledged(); }));
  return index_;
}

void ParallelSubmission::Run(const test_support::Address& daemon) {
  while (!ended_ && !acknowledged()) {
    const SubmitAnswer answer = SubmitOnce(daemon, id_, document_);
    if (answer.status_ == "accepted" && !first_taken_.exchange(true)) {
      acknowledged_after_ = Age().value();
      index_ = answer.index_;
    }
    std::this_thread::sleep_for(kResendPause);
  }
}

}  // namespace gooseberrygap::integration
