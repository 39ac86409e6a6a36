/*
 * Model of admission across controllers, for the model checker Spin: which response a controller
 * may give to the submission and to the status query of a job.
 *
 * Two controllers receive submissions of one job. One of them leads, fenced by the term in the
 * store. The follower forwards a submission if it has a credit, and refuses the submission
 * otherwise. The leader decides, writes the job to the store, and reports the job as accepted when
 * it knows that the write was executed. The store may execute a write late, or execute it and lose
 * the response. A leader may lose its leadership between any two steps, and continue without
 * knowing that.
 *
 * Safety properties (assertions):
 * - A user is told that the job is accepted only if the job is in the store.
 * - After that, no controller reports the job as unknown.
 * - A leader that has loaded the store's records never refuses a job that is in the store.
 * Liveness property (ltl admitted_in_the_end): with weak fairness, a user that keeps retrying is
 * eventually told that the job is accepted. The leader changes at most MAX_TERM - 1 times.
 *
 * -DBREAK_FENCE, -DBREAK_DURABLE, -DBREAK_LOAD and -DBREAK_TRICKLE each remove one guard, for which
 * the checker must find a violation.
 */

#define NODES 2
#define MAX_TERM 3

/*
 * The guards. FENCED: the store refuses writes of earlier terms. DURABLE_FIRST: the leader reports
 * a job as accepted only after it knows that the write was executed. LOADS: a new leader loads the
 * stored records. TRICKLES: a follower without a credit forwards every second submission.
 */
#ifdef BREAK_FENCE
#define FENCED 0
#else
#define FENCED 1
#endif
#ifdef BREAK_DURABLE
#define DURABLE_FIRST 0
#else
#define DURABLE_FIRST 1
#endif
#ifdef BREAK_LOAD
#define LOADS 0
#else
#define LOADS 1
#endif
#ifdef BREAK_TRICKLE
#define TRICKLES 0
#else
#define TRICKLES 1
#endif

byte store_term = 0;       /* the term in the leader key */
byte store_leader = 0;
bool stored = false;       /* the store holds the job's record */

bool told_accepted = false; /* a user was told that the job is accepted */

/* The state of each controller. A leader of an earlier term may still believe that it leads. */
bool leads[NODES];
byte term[NODES];
bool loaded[NODES];
bool known[NODES];         /* the job is in the leader's memory, stored or being written */
bool durable[NODES];       /* the leader knows that the record is stored */

bool turn[NODES];          /* the leader refused the job and keeps a reservation for it */
bool credit[NODES];        /* the follower may forward one submission */

/* The write in flight, at most one, with the term and the index of its sender. */
bool write_under_way = false;
byte write_term = 0;
byte write_from = 0;

/* Elects a controller for the next term. The new leader has no state until it loads the records. */
proctype Election() {
  byte n;
  do
  :: atomic {
       store_term < MAX_TERM ->
       select(n : 0 .. NODES - 1);
       store_term++;
       store_leader = n;
       leads[n] = true;
       term[n] = store_term;
       loaded[n] = false;
       known[n] = false;
       durable[n] = false;
       turn[n] = false;
       credit[n] = false;
     }
  :: store_term == MAX_TERM -> break
  od
}

/* A new leader loads the stored records before it decides; one of an earlier term steps down. */
proctype Loader(byte n) {
end:
  do
  :: atomic {
       leads[n] && !loaded[n] && store_term == term[n] ->
       loaded[n] = true;
       known[n] = (stored && LOADS);
       durable[n] = (stored && LOADS)
     }
  :: atomic { leads[n] && store_term != term[n] -> leads[n] = false; loaded[n] = false }
  od
}

/* The store executes the write unless the fence rejects it. The response may be lost. */
proctype Store() {
end:
  do
  :: atomic {
       write_under_way ->
       write_under_way = false;
       if
       :: (write_term == store_term || !FENCED) ->
          stored = true;
          if
          :: leads[write_from] && term[write_from] == write_term -> durable[write_from] = true
          :: true -> skip       /* response lost: the Committer reads back */
          fi
       :: else -> skip
       fi
     }
  od
}

/* A leader that does not know the outcome of its write reads the record back, or writes again. */
proctype Committer(byte n) {
end:
  do
  :: atomic {
       leads[n] && loaded[n] && known[n] && !durable[n] && !write_under_way &&
       term[n] == store_term ->
       if
       :: stored -> durable[n] = true
       :: !stored -> write_under_way = true; write_term = term[n]; write_from = n
       fi
     }
  od
}

/* The leader grants a credit to the follower. Any grant may be lost. */
proctype Grants(byte n) {
end:
  do
  :: atomic {
       leads[n] && loaded[n] && !credit[1 - n] ->
       if
       :: credit[1 - n] = true
       :: skip
       fi
     }
  od
}

/* The leader's decision on a submission that reached node n. */
inline decide(at) {
  if
  :: leads[at] && loaded[at] && known[at] ->
     if
     :: (durable[at] || !DURABLE_FIRST) -> assert(stored); told_accepted = true
     :: else -> skip          /* no response yet, or refused; the user retries */
     fi
  :: leads[at] && loaded[at] && !known[at] ->
     /* Only a leader of an earlier term may refuse a stored job. */
     assert(!(stored && term[at] == store_term));
     if
     :: turn[at] -> turn[at] = false; known[at] = true      /* accepts the reservation */
     :: !turn[at] -> turn[at] = true                       /* refused; the user retries */
     :: !turn[at] -> known[at] = true                      /* accepted immediately */
     fi
  :: else -> skip             /* not leading or still loading; the user retries */
  fi
}

/* The user submits the job through one controller, chosen by the load balancer, until told that the
 * job is accepted. A follower without a credit forwards every second submission (TRICKLES). */
proctype User() {
  byte n;
  bool refused_here = false;
  select(n : 0 .. NODES - 1);
  do
  :: told_accepted -> break
  :: else ->
     atomic {
       if
       :: leads[n] -> decide(n)
       :: !leads[n] && credit[n] -> credit[n] = false; decide(1 - n)
       :: !leads[n] && !credit[n] && !refused_here -> refused_here = true
       :: !leads[n] && !credit[n] && refused_here && TRICKLES -> refused_here = false; decide(1 - n)
       :: !leads[n] && !credit[n] && refused_here && !TRICKLES -> skip
       fi
     }
  od
}

/* Queries any controller for the job at any time. Only a leader that has loaded the records and
 * holds a valid lease may respond with 404. */
proctype Asker() {
  byte n;
end:
  do
  :: atomic {
       select(n : 0 .. NODES - 1);
       if
       :: leads[n] && loaded[n] && term[n] == store_term && !known[n] -> assert(!told_accepted)
       :: else -> skip
       fi
     }
  od
}

init {
  atomic {
    store_term = 1;
    leads[0] = true;
    term[0] = 1;
    loaded[0] = true;
    run Election();
    run Loader(0);
    run Loader(1);
    run Store();
    run Committer(0);
    run Committer(1);
    run Grants(0);
    run Grants(1);
    run User();
    run Asker()
  }
}

ltl admitted_in_the_end { <> told_accepted }
