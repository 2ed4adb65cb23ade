/*
 * Models the register entry of one action key. Two ingresses carry the same
 * action (the original request and a resend), and two guards execute it.
 * Messages may be lost, delayed or duplicated, register replies may be lost,
 * and a guard may restart at any point.
 *
 * Invariants:
 *   - the target runs the action at most once;
 *   - an action that an ingress reported as not-run to its caller does not run
 *     for that ingress, neither before nor after the report;
 *   - once the entry is done, nothing runs.
 *
 * Broken variants, each of which must fail:
 *   -DNO_ATTEMPT_CHECK  start is granted for any attempt number
 *   -DNO_FENCE          not-run is reported after a timeout without a fence
 *   -DNO_NONCE          a second start of the same attempt is granted too
 */

#define INGRESSES 2
#define GUARDS    2
#define MAX_N     3   /* attempt numbers 1 .. MAX_N - 1 are used */

mtype = { OPEN, STARTED, DONE, UNKNOWN_END }

/* The register entry. Operations are atomic: the replicated log orders them. */
mtype entry = OPEN;
byte entry_n = 1;
byte entry_nonce = 0;

/* sent[k]: attempt message k was sent. Messages are never removed, so that they
 * may arrive late and more than once. A guard that never receives a message
 * models its loss. */
bool sent[GUARDS * INGRESSES * MAX_N];
#define MESSAGE(g, i, n) (((g) * INGRESSES + (i)) * MAX_N + (n))

/* answered[i]: a guard has sent a complete answer to ingress i. */
bool answered[INGRESSES];

byte runs = 0;
bool ran_for[INGRESSES];       /* the action ran in an attempt of ingress i */
bool reported_not_run[INGRESSES];

proctype Ingress(byte i) {
  byte n = 0;
  byte g;

  /* begin */
  atomic {
    if
    :: entry == OPEN && entry_n < MAX_N -> n = entry_n
    :: else -> goto finished  /* done, unknown, or follows the other request */
    fi
  }

send:
  if
  :: g = 0
  :: g = 1
  fi;
  sent[MESSAGE(g, i, n)] = true;

  if
  :: answered[i] -> goto finished      /* complete */
  :: true -> skip                      /* timeout, link lost, or a refusal */
  fi;

#ifdef NO_FENCE
  atomic {
    reported_not_run[i] = true;
    assert(!ran_for[i]);
    goto finished
  }
#endif

fence:
  atomic {
    if
    :: entry != OPEN -> goto finished  /* unknown, or the stored answer */
    :: entry == OPEN && entry_n <= n && n + 1 < MAX_N ->
         entry_n = n + 1
    :: entry == OPEN && entry_n <= n && n + 1 >= MAX_N ->
         entry_n = n + 1;
         goto not_run
    :: entry == OPEN && entry_n > n ->
         /* superseded by another request: fence its attempt too */
         if
         :: entry_n + 1 <= MAX_N -> n = entry_n; entry_n = entry_n + 1;
              goto not_run
         :: else -> goto finished      /* bound of the model */
         fi
    fi
  };
  /* The fence is set: retry with the next attempt number, or give up. */
  n = n + 1;
  if
  :: goto send
  :: goto not_run
  fi;

not_run:
  atomic {
    assert(!ran_for[i]);
    reported_not_run[i] = true
  };

finished:
  skip
}

proctype Guard(byte g) {
  bool received[INGRESSES * MAX_N];
  byte restarts = 0;
  byte i;
  byte n;
  byte nonce;
  bool granted;

idle:
  /* Receive any message not yet received in this incarnation. */
  if
  :: i = 0
  :: i = 1
  fi;
  if
  :: n = 1
  :: n = 2
  :: goto end
  fi;
  if
  :: sent[MESSAGE(g, i, n)] && !received[i * MAX_N + n] ->
       received[i * MAX_N + n] = true
  :: goto end
  fi;
  /* Unique to the guard's incarnation and the attempt. */
  nonce = 1 + MESSAGE(2 * g + restarts, i, n);

start:
  atomic {
    granted = false;
    if
#ifdef NO_ATTEMPT_CHECK
    :: entry == OPEN ->
#else
    :: entry == OPEN && entry_n == n ->
#endif
         entry = STARTED; entry_n = n; entry_nonce = nonce; granted = true
#ifdef NO_NONCE
    :: entry == STARTED && entry_n == n -> granted = true
#else
    :: entry == STARTED && entry_nonce == nonce -> granted = true
#endif
    :: else -> skip
    fi
  };
  if
  :: !granted -> goto idle             /* refused */
  :: granted -> skip
  :: granted -> goto start             /* the reply was lost: retry */
  :: granted && restarts < 1 -> goto restart  /* killed after the grant */
  fi;

  if
  :: true -> skip
  :: atomic {                          /* release: no byte was sent */
       if
       :: entry == STARTED && entry_nonce == nonce && entry_n + 1 <= MAX_N ->
            entry = OPEN; entry_n = entry_n + 1
       :: else -> skip
       fi
     };
     goto idle
  fi;

  atomic {                             /* deliver */
    runs = runs + 1;
    assert(runs <= 1);
    assert(!reported_not_run[i]);
    ran_for[i] = true
  };
  if
  :: answered[i] = true
  :: true -> skip                      /* the answer is lost */
  :: restarts < 1 -> goto restart
  fi;
  if
  :: atomic { entry == STARTED || entry == UNKNOWN_END -> entry = DONE }
  :: true -> skip                      /* finish never arrives */
  fi;
  goto idle;

restart:
  restarts = restarts + 1;
  d_step {                             /* the received attempts are lost */
    i = 0;
    do
    :: i < INGRESSES * MAX_N -> received[i] = false; i = i + 1
    :: else -> break
    od;
    i = 0
  };
  atomic {                             /* abandon */
    if
    :: entry == STARTED && entry_nonce == nonce -> entry = UNKNOWN_END
    :: true -> skip
    fi
  };
  goto idle;

end:
  skip
}

init {
  atomic {
    run Ingress(0);
    run Ingress(1);
    run Guard(0);
    run Guard(1)
  }
}
