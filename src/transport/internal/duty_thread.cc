#include <pthread.h>

#include <utility>

#include "transport/transport.h"

namespace gooseberrygap::transport {

DutyThread::DutyThread(const std::string& name, std::function<void()> run)
    : thread_(std::move(run)) {
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
