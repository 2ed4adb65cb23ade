#include "transport/api/start_check.h"

#include <pthread.h>
#include <sys/eventfd.h>

#include <vector>

#include "absl/strings/str_cat.h"
#include "transport/internal/descriptor.h"

namespace gooseberrygap::transport {

namespace {

// Waits until the creator of the threads gives the mutex back.
void* WaitForRelease(void* mutex) {
  pthread_mutex_lock(static_cast<pthread_mutex_t*>(mutex));
  pthread_mutex_unlock(static_cast<pthread_mutex_t*>(mutex));
  return nullptr;
}

}  // namespace

bool CanStartThreads(int count) {
  pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
  pthread_mutex_lock(&mutex);
  std::vector<pthread_t> threads;
  threads.reserve(static_cast<size_t>(count));
  pthread_t thread = {};
  while (threads.size() < static_cast<size_t>(count) &&
         pthread_create(&thread, nullptr, &WaitForRelease, &mutex) == 0) {
    threads.push_back(thread);
  }
  pthread_mutex_unlock(&mutex);
  for (const pthread_t started : threads) {
    pthread_join(started, nullptr);
  }
  return threads.size() == static_cast<size_t>(count);
}

state::Result<void> CheckThreads(int count) {
  if (CanStartThreads(count)) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  return state::MakeError(
      state::ErrorKind::kNoResources,
      absl::StrCat("The system does not allow ", count, " more threads"));
}

state::Result<void> CheckDescriptors(int count) {
  std::vector<Descriptor> opened;
  for (int i = 0; i < count; ++i) {
    opened.emplace_back(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
    if (!opened.back().valid()) {
      return state::MakeError(state::ErrorKind::kNoResources,
                              absl::StrCat("The system does not allow ", count,
                                           " more descriptors"));
    }
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace gooseberrygap::transport
