/*
 * Planned stops: of an instance in front of callers, and of a target behind the instances.
 *
 * Part 1: callers ask one of two instances for addresses, keep the answer for its time to live,
 * connect with it until it expires, and may send again on a connection that they kept. The stopping
 * instance marks itself leaving in the roster, which the other one learns late, goes on accepting,
 * takes the connections that wait at its listener, closes it, and exits when nothing runs.
 *
 * Part 2: a target begins to leave: it refuses new work with 503 and stops listening when its
 * running work is done, or dies with the work. The instance learns of it by the first of the 503, a
 * refused connection and the late instance list. Another target stays.
 *
 * Checked:  a caller whose answer has not expired is never refused by a closed listener, and never
 *           sends on a connection that is closed under it;
 *           a request that was accepted, or waited at the listener, is answered;
 *           no request is given to a leaving target after the first sign of it or after the bound;
 *           no request runs twice, and a refusal "not run" is true.
 *
 * The roster reaches the other instance within LAG only while the table service answers.
 * HOLE_OUTAGE removes that bound, and the first property is violated; see models/README.md.
 *
 * Guards:   NO_WAIT             the listener is closed as soon as the roster says leaving
 *           NO_MARGIN           the listener stays open for the time to live only
 *           NO_LEAVING_STATE    answers go on naming an instance that is leaving
 *           NO_ACCEPT_PENDING   connections that wait at the listener are dropped with it
 *           NO_DRAIN            the process exits when its listener is closed
 *           NO_KEPT_EXPIRY      a kept connection is used after the answer behind it has expired
 *           NO_SIGN_KEPT        the instance forgets that a target refused it
 *           NO_LIST             the instance list does not say that the target leaves
 *           NO_FIRST_BYTE       a request that reached a target is sent to another one
 * Known:    HOLE_OUTAGE         the other instance learns of the roster at any time or never
 */

#define TTL     2     /* ticks of the clock */
#define LAG     1     /* longest delay of the roster and of the instance list */
#define CONNECT 1     /* longest time from the choice of a target to the arrival there */
#define END     6
#define CALLERS 2

#ifdef NO_MARGIN
#define OPEN_FOR TTL
#elif defined(NO_WAIT)
#define OPEN_FOR 0
#else
#define OPEN_FOR (TTL + LAG)
#endif

byte now = 0;
bool leaving = false;
byte left_at = 0;
bool known = false;    /* the other instance, or the instance list's reader, knows */
bool no_list = false;  /* the instance list never says that the target leaves */
byte connecting = 0;   /* requests on their way to the leaving target */

#ifdef HOLE_OUTAGE
#define LEARNT_IN_TIME true
#else
#define LEARNT_IN_TIME (!leaving || known || now < left_at + LAG || no_list)
#endif

proctype Clock() {
  byte chosen_ticks = 0;

end_clock:
  do
  :: atomic { now < END && LEARNT_IN_TIME && (connecting == 0 || chosen_ticks < CONNECT) ->
       now++;
       if
       :: connecting > 0 -> chosen_ticks++
       :: else -> chosen_ticks = 0
       fi
     }
  od
}

proctype Learn() {
end_learn:
  atomic { leaving && !no_list -> known = true }
}

/* Part 1 */

#define IDLE     0
#define WAITING  1    /* the connection is open, the listener has not taken it */
#define RUNNING  2
#define ANSWERED 3

byte state[CALLERS];
bool closed = false;

proctype Caller(byte id) {
  byte expires = 0;
  bool kept = false;
  bool second = false;

again:
  if
  :: kept -> skip
  :: !kept ->
       /* Asks the stopping instance itself or the other one; the answer names the former. */
       atomic {
         if
#ifdef NO_LEAVING_STATE
         :: !closed -> expires = now + TTL
         :: closed -> goto end
#else
         :: !leaving -> expires = now + TTL
         :: !known -> expires = now + TTL
         :: leaving && known -> goto end              /* other instances are named */
#endif
         fi
       }
  fi;
  atomic {
    if
    :: !kept && now < expires -> assert(!closed); state[id] = WAITING
#ifdef NO_KEPT_EXPIRY
    :: kept -> assert(!closed); state[id] = RUNNING
#else
    :: kept && now < expires -> assert(!closed); state[id] = RUNNING
#endif
    :: now >= expires -> goto end
    fi
  };
  atomic {
    state[id] == ANSWERED ->
    state[id] = IDLE;
    kept = !leaving;       /* a leaving instance closes the connection with its response */
    if
    :: !second -> second = true; goto again
    :: else -> skip
    fi
  };
end:
  skip
}

/* Takes waiting connections, and answers requests and streams at any moment. */
proctype Serve(byte id) {
end_serve:
  do
  :: atomic { state[id] == WAITING && !closed -> state[id] = RUNNING }
  :: atomic { state[id] == RUNNING -> state[id] = ANSWERED }
  od
}

proctype Stop() {
end_stop:
  atomic { now < 2 -> leaving = true; left_at = now };
end_open:
  atomic {
    now >= left_at + OPEN_FOR ->
    closed = true;
#ifdef NO_ACCEPT_PENDING
    assert(state[0] != WAITING && state[1] != WAITING)
#else
    if
    :: state[0] == WAITING -> state[0] = RUNNING
    :: else -> skip
    fi;
    if
    :: state[1] == WAITING -> state[1] = RUNNING
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

bool gone = false;     /* the leaving target no longer listens */
bool died = false;
byte running = 0;
bool sign = false;     /* what the instance remembers of its refusals */
bool refused = false;  /* whether it was refused once */

proctype Target() {
end_target:
  atomic { now < 2 -> leaving = true; left_at = now };
  if
  :: atomic { running == 0 -> gone = true }
  :: atomic { gone = true; died = true; running = 0 }
  fi
}

proctype Request() {
  byte runs = 0;

  atomic {
    if
    :: !sign && !known ->
         assert(!refused);
         assert(!leaving || now <= left_at + LAG);
         connecting++
    :: goto other                                   /* the other target was chosen */
    fi
  };
  atomic {
    connecting--;
    assert(!leaving || now <= left_at + LAG + CONNECT);
    if
    :: !leaving -> running++; runs++
    :: leaving ->                                   /* 503 or a refused connection: nothing ran */
         refused = true;
#ifndef NO_SIGN_KEPT
         sign = true;
#endif
         goto other
    fi
  };
  if
  :: atomic { !died -> running-- }; goto answered
  :: atomic {
       died ->
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
       run Learn();
       run Clock()
     }
  :: atomic {
#ifdef NO_LIST
       no_list = true;
#endif
       run Target();
       run Request();
       run Request();
       run Request();
       run Learn();
       run Clock()
     }
  fi
}
