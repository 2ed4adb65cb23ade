/*
 * Configuration at one daemon: three control instances of which one is cut off
 * and stale, a leader that accepts configurations, a daemon that restarts and
 * asks any instance.
 *
 * Invariants:
 *   - the index in force at the daemon never goes down, restarts included;
 *   - a daemon that has just started never takes an index below one that was
 *     accepted before it asked.
 *
 * Broken variants, each of which must fail:
 *   -DNO_VOUCHING   a daemon that has started takes any configuration
 *   -DAPPLY_LOWER   a daemon takes what the last reply says
 *   -DNO_QUORUM     an instance vouches without a confirmed read index
 */

#define INSTANCES 3
#define MAX_INDEX 4

byte log[INSTANCES];       /* last index that the instance holds */
byte applied[INSTANCES];   /* index that the instance has applied */
byte accepted = 0;         /* highest index that an operator was told */
bool cut_off[INSTANCES];

byte in_force = 0;         /* at the daemon; 0 after a restart */
byte highest_ever = 0;     /* highest index that was ever in force there */

/* The leader is instance 0 or, once that is cut off, instance 1. A leader
 * accepts an index once two instances hold it. */
inline pick_leader(l) {
  if
  :: !cut_off[0] -> l = 0
  :: else -> l = 1
  fi
}

proctype Leader() {
  byte l;
  byte f;
  do
  :: atomic {
       accepted < MAX_INDEX ->
       pick_leader(l);
       /* A follower that is not cut off stores the entry too. */
       if
       :: !cut_off[(l + 1) % INSTANCES] -> f = (l + 1) % INSTANCES
       :: !cut_off[(l + 2) % INSTANCES] -> f = (l + 2) % INSTANCES
       fi;
       log[l] = accepted + 1;
       log[f] = accepted + 1;
       accepted = accepted + 1;
       applied[l] = accepted
     }
  :: atomic {                          /* an instance catches up */
       if
       :: !cut_off[0] -> f = 0
       :: !cut_off[1] -> f = 1
       :: !cut_off[2] -> f = 2
       fi;
       log[f] = accepted;
       applied[f] = accepted
     }
  :: atomic {                          /* one instance at most is cut off */
       !cut_off[0] && !cut_off[1] && !cut_off[2] ->
       if
       :: log[1] == accepted -> cut_off[0] = true
       :: cut_off[2] = true
       fi
     }
  :: atomic {
       cut_off[0] || cut_off[2] ->
       cut_off[0] = false;
       cut_off[2] = false
     }
  :: accepted == MAX_INDEX -> break
  od
}

proctype Daemon() {
  byte asked;
  byte index;
  byte floor;
  bool vouched;
  byte steps = 0;
  do
  :: steps < 8 ->
     steps = steps + 1;
     atomic {
       if
       :: asked = 0
       :: asked = 1
       :: asked = 2
       fi;
       floor = accepted
     };
     /* The instance answers: with a confirmed read index if it can reach the
      * leader's quorum, else with what it has and no voucher. */
     atomic {
#ifdef NO_QUORUM
       vouched = true;
#else
       if
       :: !cut_off[asked] && applied[asked] >= accepted -> vouched = true
       :: else -> vouched = false
       fi;
#endif
       index = applied[asked]
     };
     /* The reply arrives, possibly late: the daemon may have restarted. */
     atomic {
       if
#ifdef APPLY_LOWER
       :: index > 0 -> in_force = index
#else
#ifdef NO_VOUCHING
       :: index > in_force -> in_force = index
#else
       :: in_force == 0 && vouched && index > 0 ->
            assert(index >= floor);
            in_force = index
       :: in_force > 0 && index > in_force -> in_force = index
#endif
#endif
       :: else -> skip
       fi;
       assert(in_force == 0 || in_force >= highest_ever);
       if
       :: in_force > highest_ever -> highest_ever = in_force
       :: else -> skip
       fi
     }
  :: steps < 8 -> in_force = 0; steps = steps + 1   /* the daemon restarts */
  :: steps >= 8 -> break
  od
}

init {
  atomic {
    run Leader();
    run Daemon()
  }
}
