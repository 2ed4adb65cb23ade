#ifndef SUPPORT_STAND_IN_TARGET_TARGET_SERVICE_H_
#define SUPPORT_STAND_IN_TARGET_TARGET_SERVICE_H_

#include <httplib.h>

#include <functional>
#include <string>

#include "state/state.h"
#include "support/connection_server.h"
#include "support/stand_in_target/behaviour.h"
#include "support/stand_in_target/execution_writer.h"
#include "support/stand_in_target/pace.h"
#include "support/stand_in_target/slots.h"

namespace gooseberrygap::test_support {

// Runs requests as the behaviour in force says. Thread-safe.
class TargetService {
 public:
  // What the service works with. All must outlive it.
  struct Parts {
    const state::Clock* const clock_ = nullptr;
    BehaviourHolder* const behaviour_ = nullptr;
    Pace* const pace_ = nullptr;
    Slots* const slots_ = nullptr;
    ExecutionWriter* const writer_ = nullptr;
  };

  // A request whose path or body contains `crash_marker` ends the process; an
  // empty marker matches none.
  TargetService(const Parts& parts,
                std::string target,
                std::string crash_marker);

  // Sets the handlers of all requests and of the control page. `on_change` is
  // called after each change of behaviour.
  void Register(httplib::Server* server, std::function<void()> on_change);

  // Ends the requests that silence holds without answering them, and holds no
  // further ones.
  void EndSilence();

 private:
  // How an execution ended; the rows of kEnds in the source give the answers.
  enum class End { kComplete, kCancelled, kDeadline, kSilent };

  void Handle(const httplib::Request& request, httplib::Response* response);
  void Execute(const Behaviour& behaviour,
               const httplib::Request& request,
               httplib::Response* response);
  End Work(const Behaviour& behaviour, state::Millis deadline);
  void Answer(const Behaviour& behaviour,
              const httplib::Request& request,
              httplib::Response* response) const;
  bool HasCrashMarker(const httplib::Request& request) const;

  const Parts parts_;
  const std::string target_;
  const std::string crash_marker_;
  WakeEvent silence_end_;
  // Never signalled; for waits that only a closed connection cuts short.
  const WakeEvent no_event_;
};

}  // namespace gooseberrygap::test_support

#endif  // SUPPORT_STAND_IN_TARGET_TARGET_SERVICE_H_
