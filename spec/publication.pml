/*
 * Publication and application of configurations (docs/design.md 3.1 to 3.3).
 *
 * Two operators race for the head. Commit requests may be delayed without
 * limit and their answers lost. Nodes receive any accepted version in any
 * order, restart without memory, and learn their version floor from a read of
 * the head that began after their start. The answer to such a read may arrive
 * after another restart.
 *
 * Code: internal/publish (operator), internal/distribution/floor.go and
 * apply.go (node).
 *
 * Seeded faults: NO_CAS, EARLY_CONFLICT, NO_FLOOR, NO_NONCE, NO_CLOSURE.
 */
/* One host suffices: hosts do not interact, and a push may deliver any version
 * that any peer could hold. */
#define HOSTS 1
#define VERSIONS 3
#define RESTARTS 2
#define NONE 0
#define BAD_OPERATOR 2 /* content of this operator fails the closure check */

/* The conditions of the protocol. A seeded fault replaces one by true. */
#ifdef NO_CAS
#define COMMIT_OK(o) (base[o] < VERSIONS)
#else
#define COMMIT_OK(o) (head == base[o] && writer[base[o] + 1] == NONE)
#endif
#ifdef EARLY_CONFLICT
#define CONFLICT(o) (writer[base[o] + 1] != o)
#else
#define CONFLICT(o) (head != base[o] && writer[base[o] + 1] != o)
#endif
#ifdef NO_NONCE
#define NONCE_OK(h) true
#else
#define NONCE_OK(h) (nonce[h] == incarnation[h])
#endif
#ifdef NO_FLOOR
#define FLOOR_OK(h, v) true
#else
#define FLOOR_OK(h, v) (floorKnown[h] && v >= floor[h])
#endif
#ifdef NO_CLOSURE
#define CLOSURE_OK(v) true
#else
#define CLOSURE_OK(v) (writer[v] != BAD_OPERATOR)
#endif

byte head = NONE;           /* platform row "head" */
byte writer[VERSIONS + 1];  /* platform rows "history/<v>": the operator */
byte result[VERSIONS + 1];  /* the operator that was told "accepted as v" */

bool gaveUp[(VERSIONS + 1) * 3]; /* operators that were told "conflict" */

/* Commit requests on the way to the platform, one for each operator. */
bool sent[3];
byte base[3];

byte incarnation[HOSTS];
byte applied[HOSTS];
byte highest[HOSTS];        /* highest version ever applied, over restarts */
bool floorKnown[HOSTS];
byte floor[HOSTS];
bool answered[HOSTS];       /* a fresh head is on its way to the node */
byte answer[HOSTS];
byte nonce[HOSTS];

proctype Platform() {
  byte op;
end:
  do
  :: atomic {
       if :: sent[1] -> op = 1 :: sent[2] -> op = 2 fi;
       sent[op] = false;
       if
       :: COMMIT_OK(op) ->
         assert(!gaveUp[(base[op] + 1) * 3 + op]);
         writer[base[op] + 1] = op;
         head = base[op] + 1
       :: else -> skip
       fi
     }
  od
}

proctype Operator(byte id) {
  byte tries = 0;
  byte seen;
  do
  :: tries == 2 || head == VERSIONS -> break
  :: atomic { tries < 2 && head < VERSIONS -> base[id] = head; tries++; sent[id] = true };
    do /* the answer may be lost, so only reads decide */
    :: atomic { writer[base[id] + 1] == id ->
         assert(result[base[id] + 1] == NONE || result[base[id] + 1] == id);
         result[base[id] + 1] = id };
       break
    :: atomic { CONFLICT(id) -> gaveUp[(base[id] + 1) * 3 + id] = true }; break
    od
  od
}

proctype Node(byte h) {
  byte v;
end:
  do
  /* The read of the head begins: the answer carries this process's nonce. */
  :: atomic { !answered[h] ->
       answered[h] = true; answer[h] = head; nonce[h] = incarnation[h] }
  /* The answer arrives. */
  :: atomic { answered[h] ->
       answered[h] = false;
       if
       :: !floorKnown[h] && NONCE_OK(h) -> floorKnown[h] = true; floor[h] = answer[h]
       :: else -> skip
       fi }
  /* A push, a pull or anti-entropy delivers any version that was accepted. */
  :: atomic { head > NONE ->
       select(v : 1 .. VERSIONS);
       if
       :: v <= head && v > applied[h] && FLOOR_OK(h, v) && CLOSURE_OK(v) ->
         assert(v >= highest[h]);              /* G1 */
         assert(writer[v] != BAD_OPERATOR);    /* G2, G3 */
         applied[h] = v; highest[h] = v
       :: else -> skip
       fi;
       v = NONE }
  /* The process restarts and remembers nothing. */
  :: atomic { incarnation[h] < RESTARTS ->
       incarnation[h]++; applied[h] = NONE; floorKnown[h] = false }
  od
}

/* A version number never changes its meaning. */
byte meaning[VERSIONS + 1];
proctype Observer() {
  byte v;
end:
  do
  :: atomic {
       select(v : 1 .. VERSIONS);
       if
       :: meaning[v] == NONE -> meaning[v] = writer[v]
       :: else -> assert(meaning[v] == writer[v])
       fi;
       v = NONE }
  od
}

init {
  atomic {
    run Platform(); run Operator(1); run Operator(2);
    run Node(0); run Observer()
  }
}
