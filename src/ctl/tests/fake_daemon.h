#ifndef CTL_TESTS_FAKE_DAEMON_H_
#define CTL_TESTS_FAKE_DAEMON_H_

#include <httplib.h>

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>
#include "absl/strings/str_cat.h"

namespace gooseberrygap::ctl {

// An answer of the fake daemon, or none: the connection ends in the middle.
struct FakeAnswer {
  const int status_ = 200;
  const std::string body_ = "{}";
  const bool lost_ = false;
};

// An HTTP server on a free port that plays prepared answers, the last one again
// and again, and records the requests. Thread-safe.
class FakeDaemon {
 public:
  FakeDaemon() {
    server_.set_keep_alive_max_count(1);
    const auto handler = [this](const httplib::Request& request,
                                httplib::Response& response) {
      Answer(request, &response);
    };
    server_.Get("/.*", handler).Put("/.*", handler).Post("/.*", handler);
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
  }

  ~FakeDaemon() {
    server_.stop();
    thread_.join();
  }

  FakeDaemon(const FakeDaemon&) = delete;
  FakeDaemon& operator=(const FakeDaemon&) = delete;

  // `request` is "METHOD /path".
  void Play(const std::string& request, std::vector<FakeAnswer> answers) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::deque<FakeAnswer>& queue = answers_[request];
    queue.clear();
    for (const FakeAnswer& answer : answers) {
      queue.push_back(answer);
    }
  }

  // Returns the bodies that came with the request, in order.
  std::vector<std::string> BodiesOf(const std::string& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return bodies_[request];
  }

  std::string address() const { return absl::StrCat("127.0.0.1:", port_); }

 private:
  void Answer(const httplib::Request& request, httplib::Response* response) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::string name = absl::StrCat(request.method, " ", request.path);
    bodies_[name].push_back(request.body);
    std::deque<FakeAnswer>& queue = answers_[name];
    if (queue.empty()) {
      response->status = 404;
      return;
    }
    const FakeAnswer answer = queue.front();
    if (queue.size() > 1) {
      queue.pop_front();
    }
    response->status = answer.status_;
    if (answer.lost_) {
      response->set_content_provider(
          100, "application/json",
          [](size_t, size_t, httplib::DataSink&) { return false; });
    } else {
      response->set_content(answer.body_, "application/json");
    }
  }

  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
  std::mutex mutex_;
  std::map<std::string, std::deque<FakeAnswer>> answers_;
  std::map<std::string, std::vector<std::string>> bodies_;
};

}  // namespace gooseberrygap::ctl

#endif  // CTL_TESTS_FAKE_DAEMON_H_
