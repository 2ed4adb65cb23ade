#include "support/programs.h"

namespace gooseberrygap::test_support {

Programs BuiltPrograms() {
  return Programs{.daemon_ = GOOSEBERRYGAPD_PROGRAM,
                  .ctl_ = GOOSEBERRYGAPCTL_PROGRAM,
                  .stand_in_target_ = STAND_IN_TARGET_PROGRAM,
                  .fault_proxy_ = FAULT_PROXY_PROGRAM,
                  .run_guarded_ = RUN_GUARDED_PROGRAM};
}

}  // namespace gooseberrygap::test_support
