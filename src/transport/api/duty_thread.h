#ifndef TRANSPORT_API_DUTY_THREAD_H_
#define TRANSPORT_API_DUTY_THREAD_H_

#include <functional>
#include <string>
#include <thread>

namespace gooseberrygap::transport {

// A named thread that carries out one duty until its function returns.
class DutyThread {
 public:
  // Starts the thread. `name` has at most 15 characters, the limit of the
  // operating system.
  DutyThread(const std::string& name, std::function<void()> run);
  // Waits for the function to return.
  ~DutyThread();

  DutyThread(const DutyThread&) = delete;
  DutyThread& operator=(const DutyThread&) = delete;

  // Waits for the function to return. Not thread-safe.
  void Join();

 private:
  std::thread thread_;
};

}  // namespace gooseberrygap::transport

#endif  // TRANSPORT_API_DUTY_THREAD_H_
