/*
 * Models the replicated log of the control group: three members, one of which
 * loses its disk and rejoins, one membership change that replaces it, one entry
 * that is accepted, and elections in several terms.
 *
 * Members 0, 1 and 2 are the initial voters; member 3 is the new identity of
 * the instance of member 2. Every log is a prefix of the same two entries, so
 * that its length stands for its content: a log of length 1 holds the entry X,
 * a log of length 2 also the member list with member 3 in place of member 2.
 *
 * Invariants:
 *   - at most one leader is elected in a term;
 *   - a leader elected after X was accepted holds X.
 *
 * Broken variants, each of which must fail:
 *   -DVOTE_FROM_EMPTY  a member that lost its disk votes under its old identity
 *   -DNO_LOG_CHECK     a vote is granted to a candidate with an outdated log
 *   -DFORGET_VOTE      a vote does not survive a restart
 */

#define MEMBERS 4
#define TERMS   4   /* terms 1 .. 3 */

byte term[MEMBERS];
byte last_vote_term[MEMBERS];   /* last term in which the member voted */
byte log_length[MEMBERS];       /* durable entries: 0, 1 (X), 2 (X, new list) */
byte last_log_term[MEMBERS];    /* term of the last durable entry */
bool identity_exists[MEMBERS];  /* false for unused or lost identities */
bool accepted = false;          /* X was reported to the operator as in force */
byte leaders[TERMS];            /* number of leaders elected in each term */
byte leader = 255;              /* 255 while there is no leader */
byte leader_term = 0;
bool disk_lost = false;
byte restarts = 0;

/* Whether member m is a voter according to the log of member v. */
#define IS_VOTER(v, m) \
  ((log_length[v] >= 2 && (m) != 2) || (log_length[v] < 2 && (m) != 3))

#define UP_TO_DATE(c, v) \
  (last_log_term[c] > last_log_term[v] || \
   (last_log_term[c] == last_log_term[v] && log_length[c] >= log_length[v]))

inline count_vote(c, v, votes) {
  if
  :: identity_exists[v] && v != c && IS_VOTER(c, v) &&
     last_vote_term[v] < term[c] && term[v] <= term[c] &&
#ifndef NO_LOG_CHECK
     UP_TO_DATE(c, v) &&
#endif
     IS_VOTER(v, v) ->
       term[v] = term[c]; last_vote_term[v] = term[c]; votes = votes + 1
  :: true -> skip                       /* the vote is lost or refused */
  fi
}

/* A candidate requests votes from all members; any reply may be lost. */
proctype Election() {
  byte c;
  byte votes;
  do
  :: atomic {
       if
       :: c = 0
       :: c = 1
       :: c = 2
       :: c = 3
       fi;
       votes = 0;
       if
       :: identity_exists[c] && IS_VOTER(c, c) && term[c] + 1 < TERMS &&
          (log_length[c] > 0 || !disk_lost || c != 2
#ifdef VOTE_FROM_EMPTY
           || true
#endif
          ) ->
            term[c] = term[c] + 1;
            last_vote_term[c] = term[c];
            votes = 1;
            count_vote(c, 0, votes);
            count_vote(c, 1, votes);
            count_vote(c, 2, votes);
            count_vote(c, 3, votes);
            if
            :: votes >= 2 ->
                 leaders[term[c]] = leaders[term[c]] + 1;
                 assert(leaders[term[c]] <= 1);
                 assert(!accepted || log_length[c] >= 1);
                 leader = c;
                 leader_term = term[c]
            :: else -> skip
            fi
       :: else -> skip
       fi;
       c = 0;
       votes = 0
     }
  :: break
  od
}

/* The leader appends entries and copies its log to one member at a time. */
proctype Replication() {
  byte v;
  byte copies;
  do
  :: atomic {                          /* append X, or the member list */
       leader != 255 && term[leader] == leader_term &&
       identity_exists[leader] ->
       if
       :: log_length[leader] == 0 ->
            log_length[leader] = 1; last_log_term[leader] = leader_term
       :: log_length[leader] == 1 && accepted &&
          last_log_term[leader] == leader_term && disk_lost ->
            identity_exists[3] = true;
            log_length[leader] = 2; last_log_term[leader] = leader_term
       :: log_length[leader] == 1 && last_log_term[leader] < leader_term ->
            last_log_term[leader] = leader_term  /* an entry of its own term */
       :: else -> skip
       fi
     }
  :: atomic {                          /* copy to a member */
       leader != 255 && term[leader] == leader_term &&
       identity_exists[leader] ->
       if
       :: v = 0
       :: v = 1
       :: v = 2
       :: v = 3
       fi;
       if
       :: identity_exists[v] && v != leader && term[v] <= leader_term &&
          UP_TO_DATE(leader, v) ->
            term[v] = leader_term;
            log_length[v] = log_length[leader];
            last_log_term[v] = last_log_term[leader]
       :: else -> skip
       fi;
       v = 0
     }
  :: atomic {                          /* accept X once a majority stores it */
       leader != 255 && term[leader] == leader_term &&
       identity_exists[leader] &&
       log_length[leader] >= 1 && last_log_term[leader] == leader_term &&
       !accepted ->
       copies = 0;
       v = 0;
       do
       :: v < MEMBERS ->
            if
            :: identity_exists[v] && IS_VOTER(leader, v) &&
               log_length[v] >= 1 && last_log_term[v] == leader_term ->
                 copies = copies + 1
            :: else -> skip
            fi;
            v = v + 1
       :: else -> break
       od;
       if
       :: copies >= 2 -> accepted = true
       :: else -> skip
       fi;
       v = 0;
       copies = 0
     }
  :: break
  od
}

/* Member 2 loses its disk once; members restart. */
proctype Faults() {
  do
  :: atomic {
       !disk_lost ->
       disk_lost = true;
       log_length[2] = 0;
       last_log_term[2] = 0;
       term[2] = 0;
       last_vote_term[2] = 0;
#ifndef VOTE_FROM_EMPTY
       /* A member with an empty folder gets a new identity; the old identity
        * ceases to exist. */
       identity_exists[2] = false;
#endif
       if
       :: leader == 2 -> leader = 255
       :: else -> skip
       fi
     }
  :: atomic {
       restarts < 2 ->
       restarts = restarts + 1;
       if
       :: leader != 255 -> leader = 255
       :: else -> skip
       fi;
#ifdef FORGET_VOTE
       if
       :: last_vote_term[0] = 0; term[0] = 0
       :: last_vote_term[1] = 0; term[1] = 0
       fi
#endif
     }
  :: break
  od
}

init {
  atomic {
    identity_exists[0] = true;
    identity_exists[1] = true;
    identity_exists[2] = true;
    run Election();
    run Replication();
    run Faults()
  }
}
