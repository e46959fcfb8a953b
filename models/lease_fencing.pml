/*
 * Orders to an engine under a lease on membership, with a change of owner.
 *
 * Holder 1 owns the engine. Holder 2 takes over, either because the lease of holder 1 has expired
 * or because holder 2 joined and ranks first for the engine; in the second case holder 1 continues
 * with a valid lease until it receives the new roster. Either may happen while holder 1 is paused;
 * it then resumes at the step where it stopped. `entitled` is the result of holder 1's check of its
 * lease and roster. Both holders read the desired version and the engine's report, check their
 * lease and send an order; a pause may occur between any two steps. An order may be delivered long
 * after its sender stopped waiting for it. The engine checks fencing tokens or ignores them; swaps
 * may fail; the engine may restart once, which loses its weights and its last token. A sample of
 * two tokens is produced while such orders are applied.
 *
 * Checked:  a fencing engine does not apply an older token after a newer one, between two restarts;
 *           a holder sends at most one order after its lease expired or the new roster arrived;
 *           a completed sample names exactly the versions that produced it, for both engines;
 *           when no step is enabled any more, the engine has the newest desired version.
 *
 * A fencing engine that loses its last token in a restart behaves like an engine that ignores
 * tokens until the next order: with HOLE_RESTART the first property includes restarts and is
 * violated. The design allows this, because the owner sends its order again after the engine's
 * report.
 *
 * Guards:   NO_FENCING          the engine that checks tokens accepts any token
 *           NO_LEASE_CHECK      the lease is not checked directly before an order is sent
 *           NO_READ_BACK        an owner does not read the engine's report after its order
 *           NO_REACQUIRE        an owner whose token was refused does not acquire a new one
 *           NO_SPANS            a sample is labelled with the version of the last report
 *           NO_START_CHECK      a sample is completed although the engine restarted in between
 * Known:    HOLE_RESTART        the first property includes restarts
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
bool entitled[3];             /* has a valid lease, and its roster names it as the owner */
byte desired = 1;

bool fencing;                 /* whether the engine checks tokens */
byte engine_version = OLD;
byte engine_token = 0;
byte engine_start = 0;
bool swapping = false;
byte reported = OLD;          /* weight version of the newest report that was read */
byte applied_token = 0;       /* newest token applied since the engine's start */

byte sequence[3];             /* number of the order that each holder waits for */
byte answer[3];
byte sent_without_lease[3];   /* orders sent while not entitled */

/* Lost answers, timed-out orders, failed swaps and restarts that may still happen. */
byte faults = FAULTS;

inline write_owner(id) {
  row_owner = id;
  row_version++
}

/* A takeover with a lost answer that applies later, if its check still holds. */
proctype LateTakeover(byte id; byte expected) {
  atomic {
    if
    :: row_version == expected -> write_owner(id)
    :: else -> skip
    fi
  }
}

proctype Order(byte id; byte order_number; byte token; byte version) {
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
    :: sequence[id] == order_number -> answer[id] = outcome
    :: else -> skip
    fi
  }
}

proctype Holder(byte id) {
  byte expected;
  byte token;
  byte target_version;
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
       row_version == expected -> write_owner(id); token = row_version; expected = 0; goto end_owned
     }
  :: atomic { row_version == expected && faults > 0 -> faults--; write_owner(id) }; goto acquire
  :: atomic { faults > 0 -> faults--; run LateTakeover(id, expected) }; goto acquire
  :: row_version != expected -> goto acquire
  fi;

end_owned:
  /* Waits for a poll that shows a difference; other polls change nothing. */
  atomic {
    if
    :: engine_version != desired && !swapping
    :: !entitled[id] && id == 1 -> goto decide
    fi
  };
decide:
  atomic {
    target_version = desired;
    if
    :: engine_version == target_version && entitled[id] -> goto end_owned
    :: engine_version == target_version && !entitled[id] -> goto stopped
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
    :: else -> sent_without_lease[id]++; assert(sent_without_lease[id] <= 1)
    fi;
    sequence[id] = (sequence[id] + 1) % 4;
    answer[id] = PENDING;
    run Order(id, sequence[id], token, target_version);
    target_version = 0
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
  byte first_version;
  byte second_version;
  byte first_start;
  byte labelled_first;
  byte labelled_second;

  atomic {
    first_version = engine_version;
    first_start = engine_start;
    labelled_first = reported;
    labelled_second = reported
  };
  atomic {
    second_version = engine_version;
#ifndef NO_SPANS
    /* The engine's spans cover the tokens produced since its last start. */
    labelled_second = second_version;
    if
    :: engine_start == first_start -> labelled_first = first_version
    :: else -> labelled_first = second_version
    fi;
#endif
    if
#ifndef NO_START_CHECK
    :: engine_start != first_start -> skip            /* not completed */
    :: engine_start == first_start ->
#else
    :: true ->
#endif
       assert(labelled_first == first_version && labelled_second == second_version)
    fi;
    first_version = 0; second_version = 0; first_start = 0;
    labelled_first = 0; labelled_second = 0
  }
}

/*
 * Replaces both holders while a sample is produced: any order may be applied at any moment, the
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
  bool takeover_started = false;

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
  :: atomic { !takeover_started -> takeover_started = true; run Holder(2) }
  :: atomic { entitled[1] -> entitled[1] = false }
  :: atomic {
       engine_start == 0 && faults > 0 && !swapping ->
       faults--; engine_version = OLD; engine_token = 0; engine_start++;
#ifndef HOLE_RESTART
       applied_token = 0
#endif
     }
  :: atomic { published && takeover_started && !entitled[1] && timeout -> break }
  od;
  assert(engine_version == desired);
end_init:
  skip
}
