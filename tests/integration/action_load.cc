#include "integration/action_load.h"

#include <algorithm>
#include <chrono>
#include <ostream>

#include "absl/strings/str_cat.h"
#include "integration/fixture.h"

namespace gooseberrygap::integration {

namespace {

using test_support::CallAnswer;
using test_support::Caller;
using test_support::CallRequest;

// Longer than any deadline, so that only a broken connection ends a call
// without an outcome.
constexpr state::Millis kCallTimeout(60000);
// Pause after a refused connection, while the ingress restarts.
constexpr std::chrono::milliseconds kPauseAfterFailure(20);
constexpr double kResendAtOnceShare = 0.2;
constexpr double kResendLaterShare = 0.2;
constexpr double kOtherBodyShare = 0.25;

CallRequest Request(const std::string& key, const std::string& body) {
  const CallRequest action = Action(key, body);
  return CallRequest{.method_ = action.method_,
                     .path_ = action.path_,
                     .headers_ = action.headers_,
                     .body_ = body,
                     .timeout_ = kCallTimeout};
}

}  // namespace

// The work of one caller's thread.
class ActionLoad::Worker {
 public:
  Worker(ActionLoad* load, int number)
      : load_(load),
        number_(number),
        random_(load->options_.seed_ * 1000 + static_cast<uint64_t>(number)) {}

  void Run() {
    int keys = 0;
    while (!load_->stopping_ || keys < load_->options_.keys_each_) {
      const std::string key =
          absl::StrCat("lot-", load_->options_.seed_, "-", number_, "-", keys);
      ++keys;
      SendNew(key);
      if (Draw(kResendLaterShare)) {
        const Sent& earlier = sent_[random_() % sent_.size()];
        Send(ChooseIngress(earlier.region_), earlier.key_, ResendBody(earlier));
      }
    }
  }

 private:
  bool Draw(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }

  // Returns an ingress outside of the region.
  const Ingress& ChooseIngress(const std::string& other_than) {
    while (true) {
      const Ingress& ingress =
          load_->ingresses_[random_() % load_->ingresses_.size()];
      if (ingress.region_ != other_than) {
        return ingress;
      }
    }
  }

  std::string ResendBody(const Sent& sent) {
    return Draw(kOtherBodyShare) ? absl::StrCat(sent.body_, "/changed")
                                 : sent.body_;
  }

  void SendNew(const std::string& key) {
    const Ingress& ingress = ChooseIngress("");
    const Sent sent{.key_ = key,
                    .body_ = absl::StrCat("certify ", key),
                    .region_ = ingress.region_};
    sent_.push_back(sent);
    if (!Draw(kResendAtOnceShare)) {
      Send(ingress, key, sent.body_);
      return;
    }
    const Ingress& other = ChooseIngress(ingress.region_);
    const std::string body = ResendBody(sent);
    std::thread resend([this, &other, &key, &body] {
      const CallAnswer answer =
          test_support::CallOnce(other.address_, Request(key, body));
      load_->Tell({key, body, other.name_, answer});
    });
    Send(ingress, key, sent.body_);
    resend.join();
  }

  void Send(const Ingress& ingress,
            const std::string& key,
            const std::string& body) {
    std::unique_ptr<Caller>& caller = callers_[ingress.name_];
    if (caller == nullptr) {
      caller = std::make_unique<Caller>(ingress.address_);
    }
    const CallAnswer answer = caller->Call(Request(key, body));
    load_->Tell({key, body, ingress.name_, answer});
    if (answer.status_ == 0) {
      caller.reset();
      std::this_thread::sleep_for(kPauseAfterFailure);
    }
  }

  ActionLoad* const load_;
  const int number_;
  std::mt19937_64 random_;
  std::vector<Sent> sent_;
  std::map<std::string, std::unique_ptr<Caller>> callers_;
};

ActionLoad::ActionLoad(const test_support::Deployment& deployment,
                       const ActionLoadOptions& options)
    : options_(options) {
  for (const auto& instance : deployment.spec().instances_) {
    ingresses_.push_back(
        Ingress{.name_ = instance.name_,
                .region_ = instance.region_,
                .address_ = CallerAddress(deployment, instance.name_)});
  }
  for (int i = 0; i < options.callers_; ++i) {
    threads_.emplace_back([this, i] { Worker(this, i).Run(); });
  }
}

ActionLoad::~ActionLoad() {
  Finish();
}

std::vector<ToldAction> ActionLoad::Finish() {
  stopping_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  absl::MutexLock lock(&mutex_);
  return told_;
}

void ActionLoad::Tell(const ToldAction& told) {
  absl::MutexLock lock(&mutex_);
  told_.push_back(told);
}

BegunActions ReadBegunActions(const test_support::Deployment& deployment) {
  std::map<std::string, int> count_by_key;
  std::set<std::string> request_ids;
  std::map<std::string, std::string> instance_by_key;
  for (const auto& instance : deployment.spec().instances_) {
    const auto log = test_support::ReadExecutionLog(
        test_support::ExecutionLogPath(deployment.folder(), instance.name_));
    for (const test_support::Execution& execution : log) {
      if (execution.event_ == "begin" && !execution.key_.empty()) {
        ++count_by_key[execution.key_];
        request_ids.insert(execution.request_id_);
        instance_by_key[execution.key_] = instance.name_;
      }
    }
  }
  return BegunActions{.count_by_key_ = std::move(count_by_key),
                      .request_ids_ = std::move(request_ids),
                      .instance_by_key_ = std::move(instance_by_key)};
}

BrokenPromises CompareToldWithBegun(const std::vector<ToldAction>& told,
                                    const BegunActions& begun,
                                    const std::set<std::string>& killed) {
  std::set<std::string> complete;
  std::set<std::string> only_not_run;
  std::set<std::string> possibly_run;
  int without_outcome = 0;
  int not_run_requests_begun = 0;
  for (const ToldAction& action : told) {
    const std::string outcome = action.answer_.Outcome();
    if (outcome == "not-run") {
      only_not_run.insert(action.key_);
      const std::string id = action.answer_.Header("Gooseberrygap-Request-Id");
      not_run_requests_begun += begun.request_ids_.contains(id) ? 1 : 0;
      continue;
    }
    possibly_run.insert(action.key_);
    if (outcome == "complete") {
      complete.insert(action.key_);
    } else if (outcome != "unknown") {
      without_outcome += killed.contains(action.ingress_) ? 0 : 1;
    }
  }
  const auto has_begun = [&begun](const std::string& key) {
    return begun.count_by_key_.contains(key);
  };
  return BrokenPromises{
      .begun_twice_ = static_cast<int>(
          std::count_if(begun.count_by_key_.begin(), begun.count_by_key_.end(),
                        [](const auto& entry) { return entry.second > 1; })),
      .not_run_requests_begun_ = not_run_requests_begun,
      .not_run_keys_begun_ = static_cast<int>(
          std::count_if(only_not_run.begin(), only_not_run.end(),
                        [&](const std::string& key) {
                          return !possibly_run.contains(key) && has_begun(key);
                        })),
      .complete_not_begun_ = static_cast<int>(std::count_if(
          complete.begin(), complete.end(),
          [&](const std::string& key) { return !has_begun(key); })),
      .without_outcome_ = without_outcome};
}

std::ostream& operator<<(std::ostream& out, const BrokenPromises& broken) {
  return out << "begun twice " << broken.begun_twice_
             << ", not-run requests begun " << broken.not_run_requests_begun_
             << ", not-run keys begun " << broken.not_run_keys_begun_
             << ", complete not begun " << broken.complete_not_begun_
             << ", without outcome " << broken.without_outcome_;
}

}  // namespace gooseberrygap::integration
