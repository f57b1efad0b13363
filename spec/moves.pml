/*
 * Driving a move under a fenced lease (docs/design.md 3.10).
 *
 * Two drivers take the lease from each other whenever it may have expired. A
 * driver may be paused between its read of the row and its write, and writes
 * may be delayed. An operator may withdraw. Followers receive states of the
 * row in any order.
 *
 * Code: internal/moves/driver.go, operator.go, follower.go.
 *
 * Seeded faults: NO_FENCE, NO_STEP_CHECK, NO_STEP_ORDER.
 */
#define STEPS 4
#define FENCES 3
#define RUNNING 0
#define DONE 1
#define WITHDRAWN 2

/* The conditions of the protocol. A seeded fault replaces one by true. */
#ifdef NO_FENCE
#define FENCE_OK(f) true
#else
#define FENCE_OK(f) (fence == f)
#endif
#ifdef NO_STEP_CHECK
#define STEP_OK(s) true
#else
#define STEP_OK(s) (step == s)
#endif
#ifdef NO_STEP_ORDER
#define NEWER(s, k) true
#else
#define NEWER(s, k) (s > k)
#endif

byte fence = 0;             /* platform row "leases/move-<id>" */
byte state = RUNNING;       /* platform row "moves/<id>" */
byte step = 0;
byte stateOf[STEPS + 1];    /* states that were written, by step */
byte writes[STEPS + 1];     /* number of writes of a step */
bool withdrawn = false;

inline write(s) {
  assert(!withdrawn);       /* a withdrawn move is never resumed */
  assert(state == RUNNING); /* terminal states are final */
  step++; state = s; stateOf[step] = s; writes[step]++;
  assert(writes[step] == 1);
  if :: s == WITHDRAWN -> withdrawn = true :: else -> skip fi
}

proctype Driver() {
  byte mine = 0;
  byte seen = 0;
  byte seenState = RUNNING;
  byte next = RUNNING;
end:
  do
  /* The lease may have expired, so the driver takes it. */
  :: atomic { fence < FENCES -> fence++; mine = fence }
  /* The driver reads the row, decides, and may be paused before its write. */
  :: atomic { mine > 0 && step < STEPS -> seen = step; seenState = state };
     if :: next = RUNNING :: next = DONE :: next = WITHDRAWN fi;
     atomic {
       if
       :: seenState == RUNNING && step < STEPS && FENCE_OK(mine) && STEP_OK(seen) ->
         assert(fence == mine); /* a lapsed holder's write has no effect */
         write(next)
       :: else -> skip
       fi }
  od
}

proctype Operator() {
  byte seen;
  byte seenState;
  atomic { seen = step; seenState = state };
  atomic {
    if
    :: seenState == RUNNING && step < STEPS && STEP_OK(seen) -> write(WITHDRAWN)
    :: else -> skip
    fi }
}

proctype Follower() {
  byte known = 0;
  byte s;
  bool stopped = false;
end:
  do
  :: atomic {
       select(s : 1 .. STEPS);
       if
       :: s <= step && NEWER(s, known) ->
         assert(!stopped || stateOf[s] == WITHDRAWN);
         known = s;
         if :: stateOf[s] == WITHDRAWN -> stopped = true :: else -> skip fi
       :: else -> skip
       fi }
  od
}

init { atomic { run Driver(); run Driver(); run Operator(); run Follower() } }
