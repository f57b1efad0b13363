/*
 * Shares of one tenant's quota (docs/design/quota.md).
 *
 * Two hosts hold shares and report them; two processes take turns as the coordinator.
 * Reports and answers may be lost or arrive late, reports also out of order. Time is
 * counted in ticks, of which any number may pass between two steps. The sum of the shares
 * in use must never exceed the whole.
 *
 * Code: internal/quota (limiter.go for hosts, coordinator.go, lease.go).
 *
 * Seeded faults: NO_RESERVATION, NO_SEQUENCE, NO_TERM, NO_WAIT.
 */
#define WHOLE 2
#define TERMS 2
/* The order of the times is that of the code: lease < takeover < validity < reservation. */
#define LEASE 1
#define TAKEOVER 2
#define VALID 3
#define RESERVED 4

/* The conditions of the protocol. A seeded fault replaces one of them. */
#ifdef NO_TERM
#define REPORT_OK(c, t) true
#else
#define REPORT_OK(c, t) (t == term[c])
#endif
#ifdef NO_WAIT
#define SETTLED(c) true
#else
#define SETTLED(c) (term[c] == 1 || age[c] == RESERVED || (reported[c * 2] && reported[c * 2 + 1]))
#endif

/* Row of the coordinator in the store. */
byte rowTerm = 1;
byte rowHolder = 0;
byte rowAge = 0;             /* ticks since the last write */

/* Hosts. */
byte share[2];
byte left[2];                /* ticks for which the share is valid */
byte sentLeft[2];            /* validity of a grant that answers the latest report */
byte known[2];               /* highest term known */

/* Reports under way: the latest of host h at 2h, an earlier one at 2h + 1. */
bool report[4];
byte reportShare[4];
byte reportTerm[4];

/* The answer under way to each host. */
bool answer[2];
byte answerShare[2];
byte answerTerm[2];

/* Coordinators. The entry of host h at coordinator c is 2c + h. */
byte term[2];                /* zero for none */
byte stops[2];               /* ticks until it stops granting */
byte age[2];                 /* ticks since the term began */
byte reserved[4];
byte reservedLeft[4];
bool reported[4];
bool newer[4];               /* a later report than the one at 2h + 1 was handled */

#define DOWN(x) if :: x > 0 -> x-- :: else -> skip fi
#define USED (share[0] + share[1])

inline expire(h) {
  DOWN(left[h]);
  if :: left[h] == 0 -> share[h] = 0 :: else -> skip fi;
  DOWN(sentLeft[h])
}

inline release(e) {
  DOWN(reservedLeft[e]);
  if :: reservedLeft[e] == 0 -> reserved[e] = 0 :: else -> skip fi
}

inline lapse(c) {
  DOWN(stops[c]);
  if :: stops[c] == 0 -> term[c] = 0; age[c] = 0 :: else -> skip fi;
  if :: term[c] > 0 && age[c] < RESERVED -> age[c]++ :: else -> skip fi
}

/* Forgets what a coordinator knows. */
inline forget(c) {
  reserved[c * 2] = 0; reserved[c * 2 + 1] = 0;
  reservedLeft[c * 2] = 0; reservedLeft[c * 2 + 1] = 0;
  reported[c * 2] = false; reported[c * 2 + 1] = false;
  newer[c * 2] = false; newer[c * 2 + 1] = false;
  age[c] = 0
}

/* Coordinator c handles the report in slot r of host h. */
inline handle(c, h, r) {
  e = c * 2 + h;
  if
  :: term[c] > 0 && REPORT_OK(c, reportTerm[r]) && !((r) % 2 == 1 && newer[e]) ->
    reported[e] = true;
    if :: (r) % 2 == 0 -> newer[e] = true :: else -> skip fi;
    reserved[e] = reportShare[r]; reservedLeft[e] = RESERVED;
    other = reserved[c * 2 + 1 - h];
    if
    :: SETTLED(c) ->
      /* Any grant within what is free. */
      if
      :: g = 0
      :: other < WHOLE -> g = 1
      :: other == 0 -> g = WHOLE
      fi
    :: else -> g = reportShare[r]
    fi;
#ifdef NO_RESERVATION
    reserved[e] = g;
#else
    if :: g > reserved[e] -> reserved[e] = g :: else -> skip fi;
#endif
    /* The host ignores the answer to an earlier report. */
#ifndef NO_SEQUENCE
    if
    :: (r) % 2 == 0 -> answer[h] = true; answerShare[h] = g; answerTerm[h] = term[c]
    :: else -> skip
    fi;
#else
    answer[h] = true; answerShare[h] = g; answerTerm[h] = term[c];
#endif
    g = 0; other = 0
  :: else -> skip
  fi;
  report[r] = false; reportShare[r] = 0; reportTerm[r] = 0;
  e = 0
}

inline send(h) {
  if
  :: report[2 * h] -> /* the earlier report is still under way */
    report[2 * h + 1] = true; reportShare[2 * h + 1] = reportShare[2 * h]; reportTerm[2 * h + 1] = reportTerm[2 * h];
    newer[h] = false; newer[2 + h] = false
  :: else -> skip
  fi;
  report[2 * h] = true; reportShare[2 * h] = share[h]; reportTerm[2 * h] = known[h];
  sentLeft[h] = VALID;
#ifndef NO_SEQUENCE
  answer[h] = false; answerShare[h] = 0; answerTerm[h] = 0;
#endif
}

inline receive(h) {
  if
  :: answerTerm[h] >= known[h] && sentLeft[h] > 0 ->
    known[h] = answerTerm[h]; share[h] = answerShare[h]; left[h] = (share[h] > 0 -> sentLeft[h] : 0);
    assert(USED <= WHOLE)
  :: else -> skip
  fi;
  answer[h] = false; answerShare[h] = 0; answerTerm[h] = 0
}

inline host(h) {
  if
  :: true -> send(h)
  :: answer[h] -> true; receive(h)
  :: known[h] < rowTerm -> known[h] = rowTerm
  :: report[2 * h] -> handle(0, h, 2 * h)
  :: report[2 * h] -> handle(1, h, 2 * h)
  :: report[2 * h + 1] -> handle(0, h, 2 * h + 1)
  :: report[2 * h + 1] -> handle(1, h, 2 * h + 1)
  :: report[2 * h] -> report[2 * h] = false; reportShare[2 * h] = 0; reportTerm[2 * h] = 0
  fi
}

inline coordinator(c) {
  if
  :: term[c] > 0 && term[c] == rowTerm -> rowAge = 0; stops[c] = LEASE
  :: rowHolder != c && rowAge == TAKEOVER && rowTerm < TERMS ->
    rowTerm++; rowHolder = c; rowAge = 0;
    forget(c); term[c] = rowTerm; stops[c] = LEASE
  fi
}

active proctype System() {
  byte e = 0, g = 0, other = 0;
  atomic { term[0] = 1; stops[0] = LEASE; known[0] = 1; known[1] = 1 };
end:
  do
  :: atomic { true -> /* a tick */
       expire(0); expire(1);
       release(0); release(1); release(2); release(3);
       lapse(0); lapse(1);
       if :: rowAge < TAKEOVER -> rowAge++ :: else -> skip fi }
  :: atomic { host(0) }
  :: atomic { host(1) }
  :: atomic { coordinator(0) }
  :: atomic { coordinator(1) }
  od
}
