/*
 * Models the tokens of one tenant: a daemon and two leaders of the control
 * group, of which the second is elected at some time. Time passes in ticks;
 * messages may be delayed, lost and overtaken by others. Each leader refills its
 * bucket at any time up to the cap.
 *
 * Invariants:
 *   - the tokens that the daemon may spend and the bucket of the leader that may
 *     grant are at most CAP together;
 *   - the tokens spent are at most CAP and those refilled, so that none is
 *     counted twice.
 *
 * Broken variants, each of which must fail:
 *   -DGRANT_OUTLIVES_OWNER  a daemon that has reported to the new leader applies
 *                           a grant of the old one
 *   -DLEASE_FROM_RECEIPT    the old leader counts its authority from the receipt
 *                           of the replies to its last round
 *   -DNO_INHERITANCE        the new leader ignores tokens that have not been
 *                           reported to it
 *   -DLATE_GRANT            a daemon applies a grant that is older than one that
 *                           it has applied
 *   -DRETURNED_TWICE        spent tokens count as returned
 */

#define CAP 2
#define TTL 3         /* ticks for which a grant can be used */
#define AUTHORITY 1   /* ticks from a round, and from an election */
#define END 6
#define REPORTS 3
#define GRANTS 2      /* of each leader */
#define REFILLS 2

byte now = 0;

/* The daemon. */
byte held = 0;
byte expires = 0;
byte spent = 0;
byte owner = 1;             /* the leader that it reports to */
byte next_report = 0;
byte first_report = 0;      /* to the present owner */
byte sent_at[REPORTS];
byte applied_term = 0;
byte applied_grant = 0;

/* The leaders, by term. */
byte level[3];
byte known_held[3];
byte known_spent[3];
byte known_until[3];
byte last_report[3];        /* plus one */
byte grants[3];
byte open[9];               /* tokens of open grants, at term * GRANTS + number */
byte open_report[9];
bool has_reported = false;  /* the daemon, to the second leader */
byte refilled = 0;

bool elected = false;
byte authority_end = END;   /* of the first leader */
byte start = END;           /* of the second leader */

/* number, first report, held, spent, term and number of the applied grant */
chan reports_1 = [2] of { byte, byte, byte, byte, byte, byte };
chan reports_2 = [2] of { byte, byte, byte, byte, byte, byte };
/* term, number, report, tokens */
chan granted = [3] of { byte, byte, byte, byte };

#define USABLE (now < expires -> held : 0)
#define OPEN(t) (open[(t) * GRANTS] + open[(t) * GRANTS + 1])
#define MAY_GRANT(t) ((t) == 1 -> now < authority_end : elected && now >= start)
#define INHERITED (!has_reported && now < start + TTL)
#ifdef NO_INHERITANCE
#define COUNTED(t) (known_held[t] + OPEN(t))
#else
#define COUNTED(t) \
  ((t) == 2 && INHERITED -> CAP : known_held[t] + OPEN(t))
#endif

#ifdef GRANT_OUTLIVES_OWNER
#define FOR_OWNER(n) true
#else
#define FOR_OWNER(n) ((n) >= first_report)
#endif
#ifdef LATE_GRANT
#define IS_NEWER(t, g) true
#else
#define IS_NEWER(t, g) \
  ((t) > applied_term || ((t) == applied_term && (g) > applied_grant))
#endif

inline check() {
  assert(USABLE + (MAY_GRANT(2) -> level[2] : 0) <= CAP);
  assert(USABLE + (MAY_GRANT(1) -> level[1] : 0) <= CAP);
  assert(spent <= CAP + refilled);
  /* Values that are not used any more would multiply the states. */
  n = 0; first = 0; h = 0; s = 0; term = 0; applied = 0;
  before = 0; after = 0; tokens = 0; is_new = false
}

inline limit(t) {
  if
  :: COUNTED(t) >= CAP -> level[t] = 0
  :: else ->
     if
     :: level[t] + COUNTED(t) > CAP -> level[t] = CAP - COUNTED(t)
     :: else
     fi
  fi
}

inline expire_known(t) {
  if
  :: now >= known_until[t] ->
     known_held[t] = 0;
     open[t * GRANTS] = 0;
     open[t * GRANTS + 1] = 0
  :: else
  fi
}

inline settle(t, g, first, term, applied) {
  if
  :: (term == t && g + 1 <= applied) || open_report[t * GRANTS + g] < first ->
     open[t * GRANTS + g] = 0
  :: else
  fi
}

/* The leader of term t accounts for a report and answers it. */
inline answer(t, n, first, h, s, term, applied) {
  expire_known(t);
  before = known_held[t] + OPEN(t);
  settle(t, 0, first, term, applied);
  settle(t, 1, first, term, applied);
  is_new = (last_report[t] == 0);
  last_report[t] = n + 1;
  known_held[t] = h;
  after = known_held[t] + OPEN(t);
  if
  :: t == 2 -> has_reported = true
  :: else
  fi;
  if
  :: is_new
  :: else ->
#ifndef RETURNED_TWICE
     after = after + (s - known_spent[t]);
#endif
     if
     :: before > after -> level[t] = level[t] + (before - after)
     :: else
     fi
  fi;
  known_spent[t] = s;
  known_until[t] = now + TTL;
  limit(t);
  if
  :: grants[t] < GRANTS && level[t] > 0 && nfull(granted) ->
     if
     :: tokens = 1
     :: tokens = level[t]
     fi;
     level[t] = level[t] - tokens;
     open[t * GRANTS + grants[t]] = tokens;
     open_report[t * GRANTS + grants[t]] = n;
     grants[t] = grants[t] + 1;
     granted!t,grants[t],n,tokens
  :: true
  fi
}

active proctype System() {
  byte n; byte first; byte h; byte s; byte term; byte applied;
  byte before; byte after; byte tokens; bool is_new;
  level[1] = CAP;
  do
  :: atomic { now < END -> now++;
       if
       :: now >= expires -> held = 0
       :: else
       fi;
       check() }
  :: atomic { held > 0 -> held--; spent++; check() }
  :: atomic { held > 0 -> held--; check() }              /* returned */
  :: atomic { next_report < REPORTS ->
       sent_at[next_report] = now;
       if
       :: owner == 1 && nfull(reports_1) ->
          reports_1!next_report,first_report,held,spent,applied_term,applied_grant
       :: owner == 2 && nfull(reports_2) ->
          reports_2!next_report,first_report,held,spent,applied_term,applied_grant
       :: true                                            /* lost */
       fi;
       next_report++ }
  :: atomic { elected && owner == 1 -> owner = 2; first_report = next_report }
  :: atomic { !elected && now < END - AUTHORITY ->        /* election */
       elected = true;
       /* The last round of the first leader began before. */
#ifdef LEASE_FROM_RECEIPT
       authority_end = now + AUTHORITY + 1;
#else
       authority_end = now + AUTHORITY;
#endif
       start = now + AUTHORITY;
       check() }
  :: atomic { reports_1?n,first,h,s,term,applied ->
       if
       :: MAY_GRANT(1) && n >= last_report[1] ->
          answer(1, n, first, h, s, term, applied)
       :: else
       fi;
       check() }
  :: atomic { reports_2?n,first,h,s,term,applied ->
       if
       :: MAY_GRANT(2) && n >= last_report[2] ->
          answer(2, n, first, h, s, term, applied)
       :: else
       fi;
       check() }
  :: atomic { len(granted) > 1 ->                         /* overtaken */
       granted?term,applied,n,tokens;
       granted!term,applied,n,tokens;
       check() }
  :: atomic { granted?term,applied,n,tokens ->
       if
       :: now < sent_at[n] + TTL && FOR_OWNER(n) && IS_NEWER(term, applied) ->
          held = held + tokens;
          expires = (sent_at[n] + TTL > expires -> sent_at[n] + TTL : expires);
          applied_term = term;
          applied_grant = applied
       :: true                                            /* lost, or ignored */
       fi;
       check() }
  :: atomic { refilled < REFILLS && MAY_GRANT(1) ->
       expire_known(1);
       if
       :: level[1] + COUNTED(1) < CAP -> level[1]++; refilled++
       :: else
       fi;
       check() }
  :: atomic { refilled < REFILLS && MAY_GRANT(2) ->
       expire_known(2);
       if
       :: level[2] + COUNTED(2) < CAP -> level[2]++; refilled++
       :: else
       fi;
       check() }
  :: atomic { now == END -> break }
  od
}
