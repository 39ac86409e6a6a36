/*
 * Admission between several controllers: who may say what of a job, for the model checker Spin.
 *
 * Two nodes take submissions of one job for their users. One of them leads at a time, fenced by the
 * term in the store; the other forwards while it has a credit, and refuses by itself without one.
 * The leader decides, writes to the store and answers when the write is known to be done. A write
 * may be carried out late, or carried out with its answer lost; a leader may be deposed between any
 * two of its steps and go on afterwards, not knowing it.
 *
 * Checked: a job is told accepted only if the store has it (durable before told); once it was told
 * accepted, no node tells that it is unknown; a job in the store is never refused by a leader that
 * has loaded it. And, with weak fairness, a user that keeps coming back is told accepted in the end
 * (ltl admitted_in_the_end). Leaders change at most MAX_TERM - 1 times.
 *
 * Build with -DBREAK_FENCE, -DBREAK_DURABLE, -DBREAK_LOAD or -DBREAK_TRICKLE to see the checker find
 * what happens without a guard.
 */

#define NODES 2
#define MAX_TERM 3

/* The guards. */
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
bool stored = false;       /* the job's record */

bool told_accepted = false;

/* What each node believes. */
bool leads[NODES];
byte term[NODES];
bool loaded[NODES];
bool known[NODES];         /* in the leader's memory: accepted, or being recorded */
bool durable[NODES];       /* the leader knows that the record is stored */

bool turn[NODES];          /* the leader refused it and keeps its place */
bool credit[NODES];        /* a follower may forward the job */

/* One write under way, with the term of its sender. */
bool write_under_way = false;
byte write_term = 0;
byte write_from = 0;

/* Another node is elected. Its records are what the store holds from then on. */
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

/* A leader loads the records; only then it decides. */
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

/* The store carries out a write, unless the fence stops it; the answer may be lost. */
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
          :: true -> skip       /* answered to nobody: read back below */
          fi
       :: else -> skip
       fi
     }
  od
}

/* A leader in doubt of its write reads it back, or sends it again. */
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

/* The leader's grants to its follower; any of them may be lost. */
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
     :: else -> skip          /* answered later, or: come back */
     fi
  :: leads[at] && loaded[at] && !known[at] ->
     /* A leader that is deposed but does not know it may refuse, never a job that it could tell. */
     assert(!(stored && term[at] == store_term));
     if
     :: turn[at] -> turn[at] = false; known[at] = true      /* its turn */
     :: !turn[at] -> turn[at] = true                       /* refused: come back */
     :: !turn[at] -> known[at] = true                      /* admitted at once */
     fi
  :: else -> skip             /* not the leader, or loading: come back */
  fi
}

/* The user submits through one node, whichever the load balancer chose, until told that the job is
 * accepted. A follower without a credit lets every other submission through (the trickle). */
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

/* Any node is asked for the job at any time. 404 only from a loaded leader with a valid lease. */
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
