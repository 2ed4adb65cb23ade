/*
 * Models the configuration of one daemon. There are three control instances, of
 * which one may be partitioned and stale, a leader that accepts configurations,
 * and a daemon that restarts and requests the configuration from any instance.
 *
 * Invariants:
 *   - the index in force at the daemon never decreases, even after a restart;
 *   - a daemon that has just started never applies an index lower than one that
 *     was accepted before its request.
 *
 * Broken variants, each of which must fail:
 *   -DNO_CONFIRMATION  a daemon that has just started applies an unconfirmed
 *                      configuration
 *   -DAPPLY_LOWER      a daemon applies each reply, even one with a lower index
 *   -DNO_QUORUM        an instance marks its reply as confirmed without a
 *                      confirmed read index
 */

#define INSTANCES 3
#define MAX_INDEX 4

byte log[INSTANCES];       /* last index in the instance's log */
byte applied[INSTANCES];   /* last index that the instance has applied */
byte accepted = 0;         /* highest index reported to an operator */
bool partitioned[INSTANCES];

byte in_force = 0;         /* index in force at the daemon; 0 after a restart */
byte highest_in_force = 0; /* highest index that was ever in force there */

/* The leader is instance 0 or, while that is partitioned, instance 1. A leader
 * accepts an index once two instances have stored it. */
inline pick_leader(l) {
  if
  :: !partitioned[0] -> l = 0
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
       /* A follower that is not partitioned stores the entry too. */
       if
       :: !partitioned[(l + 1) % INSTANCES] -> f = (l + 1) % INSTANCES
       :: !partitioned[(l + 2) % INSTANCES] -> f = (l + 2) % INSTANCES
       fi;
       log[l] = accepted + 1;
       log[f] = accepted + 1;
       accepted = accepted + 1;
       applied[l] = accepted
     }
  :: atomic {                          /* an instance catches up */
       if
       :: !partitioned[0] -> f = 0
       :: !partitioned[1] -> f = 1
       :: !partitioned[2] -> f = 2
       fi;
       log[f] = accepted;
       applied[f] = accepted
     }
  :: atomic {                          /* at most one instance is partitioned */
       !partitioned[0] && !partitioned[1] && !partitioned[2] ->
       if
       :: log[1] == accepted -> partitioned[0] = true
       :: partitioned[2] = true
       fi
     }
  :: atomic {
       partitioned[0] || partitioned[2] ->
       partitioned[0] = false;
       partitioned[2] = false
     }
  :: accepted == MAX_INDEX -> break
  od
}

proctype Daemon() {
  byte queried;
  byte index;
  byte accepted_at_request;
  bool confirmed;
  byte steps = 0;
  do
  :: steps < 8 ->
     steps = steps + 1;
     atomic {
       if
       :: queried = 0
       :: queried = 1
       :: queried = 2
       fi;
       accepted_at_request = accepted
     };
     /* The instance replies with the index that it has applied. A read index
      * confirms the reply if the instance can reach the leader's quorum. */
     atomic {
#ifdef NO_QUORUM
       confirmed = true;
#else
       if
       :: !partitioned[queried] && applied[queried] >= accepted ->
            confirmed = true
       :: else -> confirmed = false
       fi;
#endif
       index = applied[queried]
     };
     /* The reply may arrive after a restart of the daemon. */
     atomic {
       if
#ifdef APPLY_LOWER
       :: index > 0 -> in_force = index
#else
#ifdef NO_CONFIRMATION
       :: index > in_force -> in_force = index
#else
       :: in_force == 0 && confirmed && index > 0 ->
            assert(index >= accepted_at_request);
            in_force = index
       :: in_force > 0 && index > in_force -> in_force = index
#endif
#endif
       :: else -> skip
       fi;
       assert(in_force == 0 || in_force >= highest_in_force);
       if
       :: in_force > highest_in_force -> highest_in_force = in_force
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
