/*
 * The replicated log of the control group: three members, one of which loses
 * its disk and comes back, one change of membership that replaces it, one
 * entry that is accepted, and elections in several terms.
 *
 * Members 0, 1 and 2 are the first voters; member 3 is the new identity of the
 * instance of member 2. A member's log is a prefix order of lengths: the entry
 * X has length 1, the list with member 3 in place of 2 has length 2.
 *
 * Invariants:
 *   - at most one leader is elected in a term;
 *   - a leader elected after X was accepted holds X.
 *
 * Broken variants, each of which must fail:
 *   -DVOTE_FROM_EMPTY  a member that lost its disk votes under its old identity
 *   -DNO_LOG_CHECK     a vote is given to a candidate with a shorter log
 *   -DFORGET_VOTE      a vote is not durable over a restart
 */

#define MEMBERS 4
#define TERMS   4   /* terms 1 .. 3 */

byte term[MEMBERS];
byte voted_in[MEMBERS];     /* last term in which the member gave its vote */
byte length[MEMBERS];       /* durable entries: 0, 1 (X), 2 (new list) */
byte last_term[MEMBERS];    /* term of the last durable entry */
bool present[MEMBERS];      /* the identity exists */
bool accepted = false;      /* the operator was told that X is in force */
byte leaders[TERMS];        /* leaders elected in each term */
byte leader = 255;
byte leader_term = 0;
bool disk_lost = false;
byte restarts = 0;

/* Whether member m is a voter by the list that member v knows. */
#define IS_VOTER(v, m) ((length[v] >= 2 && (m) != 2) || (length[v] < 2 && (m) != 3))

#define UP_TO_DATE(c, v) \
  (last_term[c] > last_term[v] || \
   (last_term[c] == last_term[v] && length[c] >= length[v]))

inline count_vote(c, v, votes) {
  if
  :: present[v] && v != c && IS_VOTER(c, v) &&
     voted_in[v] < term[c] && term[v] <= term[c] &&
#ifndef NO_LOG_CHECK
     UP_TO_DATE(c, v) &&
#endif
     IS_VOTER(v, v) ->
       term[v] = term[c]; voted_in[v] = term[c]; votes = votes + 1
  :: true -> skip                       /* the vote is lost or refused */
  fi
}

/* A candidate asks all; every answer may be lost. */
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
       :: present[c] && IS_VOTER(c, c) && term[c] + 1 < TERMS &&
          (length[c] > 0 || !disk_lost || c != 2
#ifdef VOTE_FROM_EMPTY
           || true
#endif
          ) ->
            term[c] = term[c] + 1;
            voted_in[c] = term[c];
            votes = 1;
            count_vote(c, 0, votes);
            count_vote(c, 1, votes);
            count_vote(c, 2, votes);
            count_vote(c, 3, votes);
            if
            :: votes >= 2 ->
                 leaders[term[c]] = leaders[term[c]] + 1;
                 assert(leaders[term[c]] <= 1);
                 assert(!accepted || length[c] >= 1);
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

/* The leader appends, and copies its log to one member at a time. */
proctype Replication() {
  byte v;
  byte copies;
  do
  :: atomic {                            /* append X, or the new list */
       leader != 255 && term[leader] == leader_term && present[leader] ->
       if
       :: length[leader] == 0 ->
            length[leader] = 1; last_term[leader] = leader_term
       :: length[leader] == 1 && accepted && last_term[leader] == leader_term &&
          disk_lost ->
            present[3] = true;
            length[leader] = 2; last_term[leader] = leader_term
       :: length[leader] == 1 && last_term[leader] < leader_term ->
            last_term[leader] = leader_term  /* an entry of the own term */
       :: else -> skip
       fi
     }
  :: atomic {                            /* copy to a member */
       leader != 255 && term[leader] == leader_term && present[leader] ->
       if
       :: v = 0
       :: v = 1
       :: v = 2
       :: v = 3
       fi;
       if
       :: present[v] && v != leader && term[v] <= leader_term &&
          UP_TO_DATE(leader, v) ->
            term[v] = leader_term;
            length[v] = length[leader];
            last_term[v] = last_term[leader]
       :: else -> skip
       fi;
       v = 0
     }
  :: atomic {                            /* accept X once a majority holds it */
       leader != 255 && term[leader] == leader_term && present[leader] &&
       length[leader] >= 1 && last_term[leader] == leader_term && !accepted ->
       copies = 0;
       v = 0;
       do
       :: v < MEMBERS ->
            if
            :: present[v] && IS_VOTER(leader, v) && length[v] >= 1 &&
               last_term[v] == leader_term -> copies = copies + 1
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
       length[2] = 0;
       last_term[2] = 0;
       term[2] = 0;
       voted_in[2] = 0;
#ifndef VOTE_FROM_EMPTY
       /* An empty folder is a new identity: the old one is gone. */
       present[2] = false;
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
       :: voted_in[0] = 0; term[0] = 0
       :: voted_in[1] = 0; term[1] = 0
       fi
#endif
     }
  :: break
  od
}

init {
  atomic {
    present[0] = true;
    present[1] = true;
    present[2] = true;
    run Election();
    run Replication();
    run Faults()
  }
}
