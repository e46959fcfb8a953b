/*
 * Graceful shutdown of an instance that serves callers, and of a target that serves instances.
 *
 * Part 1: callers request addresses from one of two instances, use the answer until its time to
 * live expires, and may reuse a keep-alive connection. The stopping instance marks itself as
 * leaving in the roster, which the other instance reads with a delay. It continues to accept
 * connections, then accepts those pending at its listener, closes the listener, and exits when no
 * request runs.
 *
 * Part 2: a leaving target refuses new work with 503 and closes its listener when its running work
 * is done, or crashes and loses the work. The instance detects this by a 503, a refused connection
 * or the delayed instance list, whichever is first. A second target stays in service.
 *
 * Checked:  a caller whose addresses have not expired is never refused by a closed listener, and
 *           never sends on a connection that the instance closes;
 *           a request that was accepted, or was pending at the listener, is answered;
 *           no request is sent to a leaving target after its first refusal or the delay bound;
 *           no request runs twice, and the answer "not run" is true.
 *
 * The roster reaches the other instance within MAX_LAG only while the table service answers.
 * HOLE_OUTAGE removes that bound, and the first property is violated; see models/README.md.
 *
 * Guards:   NO_WAIT             the listener is closed as soon as the roster says leaving
 *           NO_MARGIN           the listener stays open for the time to live only
 *           NO_LEAVING_STATE    answers still name an instance that is leaving
 *           NO_ACCEPT_PENDING   connections pending at the listener are dropped with it
 *           NO_DRAIN            the process exits as soon as its listener is closed
 *           NO_KEPT_EXPIRY      a keep-alive connection is used after the addresses have expired
 *           NO_SIGN_KEPT        the instance does not record that a target refused it
 *           NO_LIST             the instance list does not mark the target as leaving
 *           NO_FIRST_BYTE       a request that reached a target is sent to another one
 * Known:    HOLE_OUTAGE         the other instance reads the roster at any time or never
 */

/* Times in ticks of the clock. */
#define TTL          2    /* time to live of addresses */
#define MAX_LAG      1    /* longest delay of the roster and of the instance list */
#define CONNECT_TIME 1    /* longest time from the choice of a target to the arrival there */
#define LAST_TICK    6
#define CALLERS      2

#ifdef NO_MARGIN
#define LISTENER_OPEN_TIME TTL
#elif defined(NO_WAIT)
#define LISTENER_OPEN_TIME 0
#else
#define LISTENER_OPEN_TIME (TTL + MAX_LAG)
#endif

byte now = 0;
bool leaving = false;
byte leaving_since = 0;
bool leaving_seen = false;  /* by the other instance, or in the instance list */
bool list_stale = false;    /* the instance list never marks the target as leaving */
byte connecting = 0;        /* requests that are connecting to the leaving target */

#ifdef HOLE_OUTAGE
#define OBSERVED_IN_TIME true
#else
#define OBSERVED_IN_TIME (!leaving || leaving_seen || now < leaving_since + MAX_LAG || list_stale)
#endif

proctype Clock() {
  byte connecting_ticks = 0;

end_clock:
  do
  :: atomic {
       now < LAST_TICK && OBSERVED_IN_TIME &&
         (connecting == 0 || connecting_ticks < CONNECT_TIME) ->
       now++;
       if
       :: connecting > 0 -> connecting_ticks++
       :: else -> connecting_ticks = 0
       fi
     }
  od
}

proctype ObserveLeaving() {
end_observe:
  atomic { leaving && !list_stale -> leaving_seen = true }
}

/* Part 1 */

#define IDLE     0
#define PENDING  1    /* the connection is open but not yet accepted */
#define RUNNING  2
#define ANSWERED 3

byte state[CALLERS];
bool listener_closed = false;

proctype Caller(byte id) {
  byte addresses_expire = 0;
  bool connection_kept = false;
  bool second_request = false;

get_addresses:
  if
  :: connection_kept -> skip
  :: !connection_kept ->
       /* Asks either instance; the answer names the stopping instance. */
       atomic {
         if
#ifdef NO_LEAVING_STATE
         :: !listener_closed -> addresses_expire = now + TTL
         :: listener_closed -> goto end
#else
         :: !leaving -> addresses_expire = now + TTL
         :: !leaving_seen -> addresses_expire = now + TTL
         :: leaving && leaving_seen -> goto end     /* other instances are named */
#endif
         fi
       }
  fi;
  atomic {
    if
    :: !connection_kept && now < addresses_expire -> assert(!listener_closed); state[id] = PENDING
#ifdef NO_KEPT_EXPIRY
    :: connection_kept -> assert(!listener_closed); state[id] = RUNNING
#else
    :: connection_kept && now < addresses_expire -> assert(!listener_closed); state[id] = RUNNING
#endif
    :: now >= addresses_expire -> goto end
    fi
  };
  atomic {
    state[id] == ANSWERED ->
    state[id] = IDLE;
    connection_kept = !leaving;   /* a leaving instance closes the connection after its response */
    if
    :: !second_request -> second_request = true; goto get_addresses
    :: else -> skip
    fi
  };
end:
  skip
}

/* Accepts pending connections, and answers requests and streams at any moment. */
proctype Serve(byte id) {
end_serve:
  do
  :: atomic { state[id] == PENDING && !listener_closed -> state[id] = RUNNING }
  :: atomic { state[id] == RUNNING -> state[id] = ANSWERED }
  od
}

proctype Stop() {
end_stop:
  atomic { now < 2 -> leaving = true; leaving_since = now };
end_open:
  atomic {
    now >= leaving_since + LISTENER_OPEN_TIME ->
    listener_closed = true;
#ifdef NO_ACCEPT_PENDING
    assert(state[0] != PENDING && state[1] != PENDING)
#else
    if
    :: state[0] == PENDING -> state[0] = RUNNING
    :: else -> skip
    fi;
    if
    :: state[1] == PENDING -> state[1] = RUNNING
    :: else -> skip
    fi
#endif
  };
#ifndef NO_DRAIN
  state[0] != RUNNING && state[1] != RUNNING;
#endif
  atomic { assert(state[0] != RUNNING && state[1] != RUNNING) }
}

/* Part 2 */

bool target_closed = false;     /* the leaving target has closed its listener */
bool target_crashed = false;
byte running = 0;               /* requests at the leaving target */
bool refusal_recorded = false;  /* the instance has recorded a refusal by the leaving target */
bool was_refused = false;       /* the leaving target has refused a request */

proctype Target() {
end_target:
  atomic { now < 2 -> leaving = true; leaving_since = now };
  if
  :: atomic { running == 0 -> target_closed = true }
  :: atomic { target_closed = true; target_crashed = true; running = 0 }
  fi
}

proctype Request() {
  byte runs = 0;

  atomic {
    if
    :: !refusal_recorded && !leaving_seen ->
         assert(!was_refused);
         assert(!leaving || now <= leaving_since + MAX_LAG);
         connecting++
    :: goto other                                   /* the other target was chosen */
    fi
  };
  atomic {
    connecting--;
    assert(!leaving || now <= leaving_since + MAX_LAG + CONNECT_TIME);
    if
    :: !leaving -> running++; runs++
    :: leaving ->                                   /* 503 or a refused connection: not run */
         was_refused = true;
#ifndef NO_SIGN_KEPT
         refusal_recorded = true;
#endif
         goto other
    fi
  };
  if
  :: atomic { !target_crashed -> running-- }; goto answered
  :: atomic {
       target_crashed ->
#ifdef NO_FIRST_BYTE
       goto other
#else
       goto outcome_unknown
#endif
     }
  fi;

other:
  if
  :: goto not_run                                   /* the deadline has passed */
  :: atomic { runs++; assert(runs == 1) }; goto answered
  fi;
not_run:
  assert(runs == 0);
  goto outcome_unknown;
answered:
  assert(runs == 1);
outcome_unknown:
  skip
}

init {
  byte i;

  if
  :: atomic {
       for (i : 0 .. CALLERS - 1) {
         run Caller(i);
         run Serve(i)
       };
       run Stop();
       run ObserveLeaving();
       run Clock()
     }
  :: atomic {
#ifdef NO_LIST
       list_stale = true;
#endif
       run Target();
       run Request();
       run Request();
       run Request();
       run ObserveLeaving();
       run Clock()
     }
  fi
}
