/*
 * Orders to an engine under a lease on membership, with a change of owner.
 *
 * Holder 1 owns the engine. Holder 2 takes over because the lease of holder 1 has ended, or because
 * it joined and comes first in the order of the engine; then holder 1 goes on with a valid lease
 * until its roster arrives. Either may happen while holder 1 is paused, and it goes on where it
 * stopped. `entitled` is what holder 1 finds when it looks at its lease and roster. Both read the
 * desired version and the engine's report, check their lease, and send an order; a pause may fall
 * between any two steps. An order may be delivered long after its sender gave it up. The engine
 * checks fencing tokens or ignores them; swaps may fail; the engine may restart once, which loses
 * its weights and its last token. A sample of two tokens is produced while such orders are applied.
 *
 * Checked:  a fencing engine does not apply an older token after a newer one, between two restarts;
 *           a holder sends at most one order after its lease has ended or its roster has arrived;
 *           a completed sample names exactly the versions that produced it, for both engines;
 *           when nothing moves any more, the engine has the newest desired version.
 *
 * A fencing engine that forgets its last token in a restart is, until the next order, an engine
 * that ignores tokens: with HOLE_RESTART the first property includes restarts and is violated.
 * The page allows it, because the owner orders again after the engine's report.
 *
 * Guards:   NO_FENCING          the engine that checks tokens takes any token
 *           NO_LEASE_CHECK      the lease is not checked directly before an order is sent
 *           NO_READ_BACK        an owner does not read the engine's report after its order
 *           NO_REACQUIRE        an owner whose token was refused does not acquire a new one
 *           NO_SPANS            a sample is labelled with the version of the last report
 *           NO_START_CHECK      a sample is completed although the engine restarted in between
 * Known:    HOLE_RESTART        restarts do not end the period of the first property
 */

#define OLD     0   /* version that the engine starts with */
#define NEWEST  2

#ifndef FAULTS
#define FAULTS  1
#endif

#define PENDING 0
#define OK      1
#define FAILED  2
#define REFUSED 3

byte row_owner = 0;
byte row_version = 0;
bool entitled[3];             /* holds its lease, and its roster names it as the owner */
byte desired = 1;

bool fencing;                 /* whether the engine checks tokens */
byte engine_version = OLD;
byte engine_token = 0;
byte engine_start = 0;
bool swapping = false;
byte reported = OLD;          /* weight version of the newest report that was read */
byte applied_token = 0;       /* newest token applied since the engine's start */

byte sequence[3];             /* number of the order that a holder waits for */
byte answer[3];
byte sent_late[3];            /* orders sent after the lease had ended */

/* Lost answers, orders given up, failed swaps and restarts that may still happen. */
byte faults = FAULTS;

inline write(id) {
  row_owner = id;
  row_version++
}

/* A takeover whose answer was lost and that applies later, if its check still holds. */
proctype LateTakeover(byte id; byte expected) {
  atomic {
    if
    :: row_version == expected -> write(id)
    :: else -> skip
    fi
  }
}

proctype Order(byte id; byte number; byte token; byte version) {
  byte outcome = OK;

  atomic {
    !swapping ->
    if
#ifndef NO_FENCING
    :: fencing && token < engine_token -> outcome = REFUSED; goto reply
#endif
    :: else ->
       assert(!fencing || token >= applied_token);
       applied_token = token;
       engine_token = token;
       swapping = true
    fi
  }
  atomic {
    if
    :: swapping = false; engine_version = version
    :: faults > 0 -> faults--; swapping = false; outcome = FAILED
    fi
  };
reply:
  atomic {
    if
    :: sequence[id] == number -> answer[id] = outcome
    :: else -> skip
    fi
  }
}

proctype Holder(byte id) {
  byte expected;
  byte token;
  byte goal;
  byte reacquired = 0;

acquire:
  atomic {
    expected = row_version;
    if
    :: row_owner == id -> token = row_version; expected = 0; goto end_owned
    :: else -> skip
    fi
  };
  if
  :: entitled[id] -> skip
  :: !entitled[id] -> goto stopped
  fi;
  if
  :: atomic {
       row_version == expected -> write(id); token = row_version; expected = 0; goto end_owned
     }
  :: atomic { row_version == expected && faults > 0 -> faults--; write(id) }; goto acquire
  :: atomic { faults > 0 -> faults--; run LateTakeover(id, expected) }; goto acquire
  :: row_version != expected -> goto acquire
  fi;

end_owned:
  /* The next poll that shows a difference; others change nothing. */
  atomic {
    if
    :: engine_version != desired && !swapping
    :: !entitled[id] && id == 1 -> goto wake
    fi
  };
wake:
  atomic {
    goal = desired;
    if
    :: engine_version == goal && entitled[id] -> goto end_owned
    :: engine_version == goal && !entitled[id] -> goto stopped
    :: else -> skip
    fi
  };
send:
#ifndef NO_LEASE_CHECK
  if
  :: entitled[id] -> skip
  :: !entitled[id] -> goto stopped
  fi;
#endif
  atomic {
    if
    :: entitled[id] -> skip
    :: else -> sent_late[id]++; assert(sent_late[id] <= 1)
    fi;
    sequence[id] = (sequence[id] + 1) % 4;
    answer[id] = PENDING;
    run Order(id, sequence[id], token, goal);
    goal = 0
  };
  if
  :: answer[id] == OK
  :: answer[id] == FAILED
#ifndef NO_REACQUIRE
  :: answer[id] == REFUSED && (id == 2 || reacquired == 0) -> reacquired++; goto acquire
  :: answer[id] == REFUSED && id == 1 && reacquired > 0 -> goto stopped
#else
  :: answer[id] == REFUSED -> goto stopped
#endif
  :: atomic { faults > 0 && answer[id] == PENDING -> faults-- }   /* no answer in time */
  fi;
#ifdef NO_READ_BACK
  goto stopped;
#else
  goto end_owned;
#endif

stopped:
  skip
}

proctype Sample() {
  byte first;
  byte second;
  byte start;
  byte named_first;
  byte named_second;

  atomic {
    first = engine_version;
    start = engine_start;
    named_first = reported;
    named_second = reported
  };
  atomic {
    second = engine_version;
#ifndef NO_SPANS
    /* The engine's spans cover what this start of it has produced. */
    named_second = second;
    if
    :: engine_start == start -> named_first = first
    :: else -> named_first = second
    fi;
#endif
    if
#ifndef NO_START_CHECK
    :: engine_start != start -> skip            /* not completed */
    :: engine_start == start ->
#else
    :: true ->
#endif
       assert(named_first == first && named_second == second)
    fi;
    first = 0; second = 0; start = 0; named_first = 0; named_second = 0
  }
}

/*
 * Stands for both holders while a sample is produced: any order may be applied at any moment, the
 * engine may restart, and its report may be read.
 */
proctype AnyChange() {
  do
  :: engine_version = 1
  :: engine_version = NEWEST
  :: atomic { engine_start == 0 -> engine_version = OLD; engine_start++ }
  :: reported = engine_version
  :: break
  od
}

init {
  bool published = false;
  bool moved = false;

  if
  :: atomic { run AnyChange(); run Sample() }; goto end_init
  :: skip
  fi;
  atomic {
    entitled[1] = true;
    entitled[2] = true;
    if
    :: fencing = true
    :: fencing = false
    fi;
    run Holder(1)
  };
  do
  :: atomic { !published -> published = true; desired = NEWEST }
  :: atomic { !moved -> moved = true; run Holder(2) }
  :: atomic { entitled[1] -> entitled[1] = false }
  :: atomic {
       engine_start == 0 && faults > 0 && !swapping ->
       faults--; engine_version = OLD; engine_token = 0; engine_start++;
#ifndef HOLE_RESTART
       applied_token = 0
#endif
     }
  :: atomic { published && moved && !entitled[1] && timeout -> break }
  od;
  assert(engine_version == desired);
end_init:
  skip
}
