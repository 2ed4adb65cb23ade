#include <pthread.h>

#include <chrono>
#include <system_error>
#include <thread>
#include <utility>

#include "transport/transport.h"

namespace gooseberrygap::transport {

namespace {

// The start has checked that the system allows all threads of the process
// (CheckThreads), so that a refusal means that another process has taken them
// in between. Waits as long as any other step of the start before it gives up.
constexpr std::chrono::milliseconds kInterval(100);
constexpr int kMaxRefusals = 1200;

std::thread StartThread(const std::function<void()>& run) {
  for (int refusals = 0;; ++refusals) {
    try {
      return std::thread(run);
    } catch (const std::system_error&) {
      if (refusals == kMaxRefusals) {
        throw;
      }
    }
    std::this_thread::sleep_for(kInterval);
  }
}

}  // namespace

DutyThread::DutyThread(const std::string& name, std::function<void()> run)
    : thread_(StartThread(run)) {
  pthread_setname_np(thread_.native_handle(), name.c_str());
}

DutyThread::~DutyThread() {
  Join();
}

void DutyThread::Join() {
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace gooseberrygap::transport
