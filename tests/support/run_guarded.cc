#include <sys/prctl.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>

constexpr int kNotStarted = 127;

// Usage: run_guarded PARENT PROGRAM [ARGUMENT...]
// Replaces itself by the program, which the kernel kills when the parent ends.
// posix_spawn cannot set this, and the setting survives exec.
int main(int argc, char** argv) {
  if (argc < 3) {
    return kNotStarted;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The parent may have ended before the call above.
  if (getppid() != std::atoi(argv[1])) {
    return kNotStarted;
  }
  execv(argv[2], argv + 2);
  return kNotStarted;
}
