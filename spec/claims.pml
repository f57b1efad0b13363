/*
 * At-most-once claims (docs/design.md 3.8): one request identity, one shard,
 * three hosts of a failure domain.
 *
 * The view (epoch, primary, backup, joining, since) is a row of the platform's
 * table. A manager proposes any successor that the protocol allows at any
 * time, because membership may be wrong. Hosts learn views late. Messages are
 * lost, repeated and delayed; the last one of each kind per host is kept in a
 * slot and may be delivered any number of times. Processes restart without
 * memory. "since" stands for a view that started without records after the
 * identity was created.
 *
 * Code: internal/claims: manager.go and view.go (manager), owner.go (primary
 * and backup), state.go (entry node).
 *
 * Seeded faults: NO_WAIT, NO_EPOCH, NO_EPOCH_ORDER, NO_SINCE, NO_EVIDENCE, JOINING_IS_FULL, RETRY_MAY_HAVE_RUN.
 */
#define HOSTS 3
#define NOBODY 3
#ifndef TICKETS
#define TICKETS 2
#endif
#ifndef EPOCHS
#define EPOCHS 3
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

#define NO_RECORD 0
#define GRANTED 1
#define RELEASED 2

#ifdef NO_WAIT
#define MUST_WAIT(h) false
#else
#define MUST_WAIT(h) (!kJoining[h] || reported[h])
#endif
#ifdef NO_EPOCH
#define SAME_EPOCH(a, b) true
#else
#define SAME_EPOCH(a, b) (a == b)
#endif
#ifdef NO_EPOCH_ORDER
#define NEWER(e1, r1, e2, r2) (r1 > r2)
#else
#define NEWER(e1, r1, e2, r2) (e1 > e2 || (e1 == e2 && r1 > r2))
#endif
#ifdef NO_SINCE
#define LOST_RECORDS(h) false
#else
#define LOST_RECORDS(h) (kSince[h])
#endif
#ifdef NO_EVIDENCE
#define ENDED_FULL true
#else
#define ENDED_FULL (inc[vP] != vPInc || (vB != NOBODY && !vJoining && inc[vB] != vBInc))
#endif
#ifdef JOINING_IS_FULL
#define BACKUP_FULL (vB != NOBODY)
#else
#define BACKUP_FULL (vB != NOBODY && !vJoining)
#endif

byte inc[HOSTS];
byte restarts;

/* The platform row. */
byte vEpoch = 1, vP = 0, vPInc, vB = 1, vBInc;
bool vJoining, vSince;

/* The view as each host knows it; epoch 0 for none. */
byte kEpoch[HOSTS], kP[HOSTS], kB[HOSTS];
bool kJoining[HOSTS], kSince[HOSTS], kMember[HOSTS];

/* The record of the identity at each host. */
byte rState[HOSTS], rEpoch[HOSTS], rRev[HOSTS], rTicket[HOSTS];
/* The primary's wait for its backup, and its report that the copy is done. */
byte waiting[HOSTS];
bool reported[HOSTS], synced[HOSTS];

/* Messages: the last MsgReplicate and MsgAck that each host sent. */
bool repl[HOSTS];
byte replEpoch[HOSTS], replState[HOSTS], replRev[HOSTS], replTicket[HOSTS], replREpoch[HOSTS];
bool ack[HOSTS];
byte ackEpoch[HOSTS], ackRev[HOSTS], ackREpoch[HOSTS], ackTo[HOSTS];

/* Tickets: asked once each; running while the request runs or may have run. */
bool asked[TICKETS + 1], running[TICKETS + 1], releasing[TICKETS + 1], ended[TICKETS + 1];
byte live = 0;

#define IS_PRIMARY(h) (kMember[h] && kP[h] == h)
#define IS_BACKUP(h) (kMember[h] && kB[h] == h)

inline grant(t) {
  if
  :: !ended[t] -> /* the entry node still waits for this ticket */
    assert(live == 0); /* G7 */
    running[t] = true; ended[t] = true; live++
  :: else -> skip
  fi
}

inline replicate(h) {
  repl[h] = (kB[h] != NOBODY);
  replEpoch[h] = kEpoch[h]; replState[h] = rState[h]; replRev[h] = rRev[h];
  replTicket[h] = rTicket[h]; replREpoch[h] = rEpoch[h]
}

inline change(h, s, t) {
  rState[h] = s; rRev[h]++; rEpoch[h] = kEpoch[h]; rTicket[h] = t
}

inline forget(h) {
  rState[h] = NO_RECORD; rEpoch[h] = 0; rRev[h] = 0; rTicket[h] = 0
}

/* A host learns the current view. Its records stay if it is a full member and
 * the shard did not start anew. */
inline learn(h) {
  if
  :: (vP == h && vPInc == inc[h]) || (vB == h && vBInc == inc[h]) ->
    if
    :: kEpoch[h] == vEpoch -> skip
    :: else ->
      if
      :: kMember[h] && kSince[h] == vSince && (vP == h || !vJoining) -> skip
      :: else -> forget(h)
      fi;
      waiting[h] = 0; reported[h] = false; synced[h] = false
    fi;
    kMember[h] = true
  :: else -> kMember[h] = false; forget(h); waiting[h] = 0; reported[h] = false; synced[h] = false
  fi;
  kEpoch[h] = vEpoch; kP[h] = vP; kB[h] = vB; kJoining[h] = vJoining; kSince[h] = vSince
}

proctype Manager() {
  byte x;
end:
  do
  /* The backup is taken for dead and replaced. */
  :: atomic { vEpoch < EPOCHS && inc[vP] == vPInc ->
       select(x : 0 .. 2);
       if
       :: x != vP -> vEpoch++; vB = x; vBInc = inc[x]; vJoining = true
       :: else -> vEpoch++; vB = NOBODY; vBInc = 0; vJoining = false
       fi;
       x = 0 }
  /* The primary is taken for dead; a full backup continues. */
  :: atomic { vEpoch < EPOCHS && BACKUP_FULL && inc[vB] == vBInc ->
       vEpoch++; vP = vB; vPInc = vBInc;
       select(x : 0 .. 2);
       if
       :: x != vP -> vB = x; vBInc = inc[x]; vJoining = true
       :: else -> vB = NOBODY; vBInc = 0; vJoining = false
       fi;
       x = 0 }
  /* Both are full and change places. */
  :: atomic { vEpoch < EPOCHS && BACKUP_FULL ->
       vEpoch++; x = vP; vP = vB; vB = x; x = vPInc; vPInc = vBInc; vBInc = x; vJoining = false; x = 0 }
  /* A full member has restarted: the shard starts without records. */
  :: atomic { vEpoch < EPOCHS && ENDED_FULL ->
       vEpoch++;
       if
       :: !asked[1] && !asked[2] -> vSince = false /* the identity is created later */
       :: vSince = true
       fi;
       select(x : 0 .. 2);
       vP = x; vPInc = inc[x]; vB = (x + 1) % 3; vBInc = inc[(x + 1) % 3]; vJoining = true; x = 0 }
  /* The primary has reported that the backup has all records. */
  :: atomic { vJoining && synced[vP] && kEpoch[vP] == vEpoch && inc[vP] == vPInc && kMember[vP] -> vJoining = false }
  od
}

proctype Host(byte h) {
  byte t;
end:
  do
  :: atomic { kEpoch[h] != vEpoch || kJoining[h] != vJoining -> learn(h) }
  /* MsgClaim */
  :: atomic { IS_PRIMARY(h) && waiting[h] == 0 && rState[h] != GRANTED && !LOST_RECORDS(h) ->
       select(t : 1 .. TICKETS);
       if
       :: !asked[t] && !ended[t] ->
         asked[t] = true;
         change(h, GRANTED, t);
         replicate(h);
         if
         :: kB[h] != NOBODY && MUST_WAIT(h) -> waiting[h] = t
         :: else -> grant(t)
         fi
       :: else -> skip
       fi;
       t = 0 }
  /* MsgReplicate at the backup. */
  :: atomic { IS_BACKUP(h) && repl[kP[h]] && SAME_EPOCH(replEpoch[kP[h]], kEpoch[h]) ->
       if
       :: NEWER(replREpoch[kP[h]], replRev[kP[h]], rEpoch[h], rRev[h]) ->
         rState[h] = replState[kP[h]]; rEpoch[h] = replREpoch[kP[h]];
         rRev[h] = replRev[kP[h]]; rTicket[h] = replTicket[kP[h]]
       :: else -> skip
       fi;
       ack[h] = true; ackEpoch[h] = replEpoch[kP[h]]; ackRev[h] = replRev[kP[h]];
       ackREpoch[h] = replREpoch[kP[h]]; ackTo[h] = kP[h] }
  /* MsgAck at the primary. */
  :: atomic { IS_PRIMARY(h) && kB[h] != NOBODY && ack[kB[h]] && ackTo[kB[h]] == h && SAME_EPOCH(ackEpoch[kB[h]], kEpoch[h]) &&
              ackRev[kB[h]] == rRev[h] && ackREpoch[kB[h]] == rEpoch[h] ->
       if
       :: waiting[h] != 0 -> t = waiting[h]; waiting[h] = 0; grant(t); t = 0
       :: else -> skip
       fi;
       if :: reported[h] -> synced[h] = true :: else -> skip fi }
  /* The primary gives up its wait: the entry node was given no grant. */
  :: atomic { IS_PRIMARY(h) && waiting[h] != 0 ->
       ended[waiting[h]] = true; waiting[h] = 0;
       change(h, RELEASED, rTicket[h]); replicate(h) }
  /* The primary announces the copy and sends its record. */
  :: atomic { IS_PRIMARY(h) && kJoining[h] && !reported[h] ->
       reported[h] = true;
       if
       :: rState[h] == NO_RECORD -> synced[h] = true
       :: else -> replicate(h)
       fi }
  /* MsgRelease at the primary. */
  :: atomic { IS_PRIMARY(h) && rState[h] == GRANTED && waiting[h] == 0 && releasing[rTicket[h]] ->
       change(h, RELEASED, rTicket[h]); replicate(h) }
  /* The process restarts and remembers nothing. */
  :: atomic { restarts < RESTARTS ->
       restarts++; inc[h]++; kEpoch[h] = 0; kMember[h] = false; kSince[h] = false; forget(h);
       waiting[h] = 0; reported[h] = false; synced[h] = false }
  od
}

proctype Entry() {
  byte t;
end:
  do
  /* Every attempt ended as surely not run: the grant is given back. */
  :: atomic { live > 0 ->
       select(t : 1 .. TICKETS);
       if
       :: running[t] -> running[t] = false; live--; releasing[t] = true
       :: else -> skip
       fi;
       t = 0 }
#ifdef RETRY_MAY_HAVE_RUN
  /* An attempt that may have run is given back as if it had not. */
  :: atomic { live > 0 ->
       select(t : 1 .. TICKETS);
       if :: running[t] -> releasing[t] = true :: else -> skip fi;
       t = 0 }
#endif
  /* The wait for a verdict ends. */
  :: atomic {
       select(t : 1 .. TICKETS);
       if
       :: asked[t] && !ended[t] -> ended[t] = true; releasing[t] = true
       :: else -> skip
       fi;
       t = 0 }
  od
}

init {
  atomic { run Manager(); run Host(0); run Host(1); run Host(2); run Entry() }
}
