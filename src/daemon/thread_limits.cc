#include <malloc.h>
#include <pthread.h>

#include <ctime>

#include "transport/transport.h"

namespace gooseberrygap::daemon {

namespace {

// The default of the system is 8 MiB of address space for each thread, which
// operators who limit the address space of a process count as memory.
constexpr size_t kStackBytes = size_t{1} << 20;
// Each further arena reserves 64 MiB of address space, and twice that for a
// moment while it is made.
constexpr int kArenas = 1;

// The threads that log4cplus starts in a static initialiser, which ends the
// process if one is refused, and that of the log duty.
constexpr int kEarlyThreads = 5;
// The wait for them ends after 120 s, like that of any other step of the start.
constexpr timespec kWaitInterval = {.tv_sec = 0, .tv_nsec = 100000000};
constexpr int kMaxWaits = 1200;

void WaitForThreads() {
  int waits = 0;
  while (!transport::CanStartThreads(kEarlyThreads) && waits < kMaxWaits) {
    nanosleep(&kWaitInterval, nullptr);
    ++waits;
  }
}

// Sets what holds for every thread of the process. Only the first thread may
// run.
void LimitThreads(int /*argc*/, char** /*argv*/, char** /*environment*/) {
  mallopt(M_ARENA_MAX, kArenas);
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kStackBytes);
  pthread_setattr_default_np(&attributes);
  pthread_attr_destroy(&attributes);
  WaitForThreads();
}

// Runs before the static initialisers of the shared libraries, of which that of
// log4cplus starts threads. `main` would be too late.
__attribute__((section(".preinit_array"),
               used)) void (*const kBeforeLibraries)(int,
                                                     char**,
                                                     char**) = &LimitThreads;

}  // namespace

}  // namespace gooseberrygap::daemon
