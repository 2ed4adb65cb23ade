#include "soak/lookup_load.h"

#include <chrono>

#include "absl/strings/str_cat.h"
#include "integration/fixture.h"

namespace gooseberrygap::soak {

namespace {

using test_support::CallAnswer;
using test_support::Caller;

constexpr std::chrono::milliseconds kPause(4);

}  // namespace

LookupLoad::LookupLoad(const test_support::Deployment& deployment,
                       uint64_t seed,
                       int callers,
                       Findings* findings)
    : seed_(seed), findings_(findings) {
  for (const auto& instance : deployment.spec().instances_) {
    daemons_.push_back(integration::CallerAddress(deployment, instance.name_));
  }
  for (int i = 0; i < callers; ++i) {
    threads_.emplace_back([this, i] { Run(i); });
  }
}

LookupLoad::~LookupLoad() {
  Stop();
}

void LookupLoad::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

void LookupLoad::Run(int caller) {
  std::mt19937_64 random(seed_ * 7919 + static_cast<uint64_t>(caller));
  std::vector<std::unique_ptr<Caller>> connections(daemons_.size());
  for (int number = 0; !stopping_; ++number) {
    const size_t daemon = random() % daemons_.size();
    std::unique_ptr<Caller>& connection = connections[daemon];
    if (connection == nullptr) {
      connection = std::make_unique<Caller>(daemons_[daemon]);
    }
    const std::string path = absl::StrCat("/soak/", caller, "/", number);
    const CallAnswer answer = connection->Call(integration::Lookup(path));
    const bool is_complete = answer.Outcome() == "complete";
    ++(is_complete ? complete_ : other_);
    if (is_complete && answer.status_ == 200 &&
        answer.body_ != test_support::ExpectedEcho("GET", path, "")) {
      findings_->Add(absl::StrCat("lookup ", path, " got the answer ",
                                  answer.body_.substr(0, 200)));
    }
    if (answer.status_ == 0) {
      connection.reset();
    }
    std::this_thread::sleep_for(kPause);
  }
}

}  // namespace gooseberrygap::soak
