/*
 * At-most-once execution of an operation that may not be repeated.
 *
 * Several requests with the same idempotency key run at instances that do not coordinate. The
 * answer to any transaction of the table service may be lost; the transaction then applies
 * immediately, later or never. A request may stop at any step, because its instance crashed.
 *
 * Checked:  the target runs the operation at most once;
 *           the answer "not run" is true: the operation has not run, and no request that was in
 *           progress when the answer was sent runs it afterwards.
 *
 * Guards:   NO_CHECK            the claim does not check that the row is unchanged
 *           NO_READ_BACK        a lost answer to the claim is treated as success
 *           NO_SINGLE_DISPATCH  the call is repeated after a lost answer of the target
 *           NO_TOMBSTONE        "not run" is answered without a row that blocks other claims
 */

#ifndef REQUESTS
#define REQUESTS 2
#endif

#define ABSENT   0
#define CLAIMED  1
#define DONE     2
#define UNKNOWN  3
#define RELEASED 4

byte row_state = ABSENT;
byte row_owner = 0;
byte row_version = 0;

byte runs = 0;
byte started = 0;   /* requests that have begun, one bit each */
byte blocked = 0;   /* requests that were in progress when "not run" was answered */

#define BIT(id) (1 << (id))

inline write_row(state, owner) {
  row_state = state;
  row_owner = owner;
  row_version++
}

/*
 * Answers "not run". The answer covers the requests that started before the tombstone commits: a
 * request with the same key that starts later is a new attempt of the caller and may run.
 */
inline answer_not_run() {
  assert(runs == 0);
  blocked = blocked | started
}

/* A transaction with a lost answer that applies later, if its check still holds. */
proctype LateTransaction(byte expected; byte state; byte owner) {
  atomic {
    if
#ifdef NO_CHECK
    :: true -> write_row(state, owner)
#else
    :: row_version == expected -> write_row(state, owner)
    :: else -> skip
#endif
    fi
  }
}

proctype HandleRequest(byte id) {
  byte expected;
  byte attempts = 0;
  bool call_repeated = false;

  atomic {
    started = started | BIT(id);
    expected = row_version;
    if
    :: row_state == ABSENT || row_state == RELEASED -> skip
    :: else -> goto outcome_unknown     /* recorded, claimed or unknown: answered as such */
    fi
  }
  if
  :: goto refuse                        /* overload: refused before the claim */
  :: skip
  fi;

claim:
  attempts++;
  if
  :: atomic {                           /* applied; the answer arrives */
#ifndef NO_CHECK
       row_version == expected ->
#endif
       write_row(CLAIMED, id); expected = row_version; goto dispatch
     }
  :: atomic {                           /* applied; the answer is lost */
#ifndef NO_CHECK
       row_version == expected ->
#endif
       write_row(CLAIMED, id)
     };
     goto settle
  :: run LateTransaction(expected, CLAIMED, id); goto settle
  :: goto settle                        /* never arrived */
  :: row_version != expected -> goto settle  /* conflict */
  fi;

settle:
#ifdef NO_READ_BACK
  goto dispatch;
#else
  atomic {
    if
    :: row_state == CLAIMED && row_owner == id -> expected = row_version; goto dispatch
    :: row_version == expected && attempts < 2 -> goto claim
    :: row_version == expected && attempts == 2 -> goto refuse
    :: row_version != expected && !(row_state == CLAIMED && row_owner == id) ->
         goto outcome_unknown
    fi
  };
#endif

dispatch:
  if
  :: goto refuse                        /* no connection to any target: no byte was sent */
  :: goto crashed
  :: skip
  fi;
call:
  atomic {
    runs++;
    assert(runs <= 1);
    assert((blocked & BIT(id)) == 0)
  };
  if
  :: goto record
  :: goto crashed
  :: true ->                            /* the target's answer is lost */
#ifdef NO_SINGLE_DISPATCH
     if
     :: !call_repeated -> call_repeated = true; goto call
     :: else -> skip
     fi;
#endif
     atomic { if :: row_version == expected -> write_row(UNKNOWN, id) :: else -> skip fi };
     goto outcome_unknown
  fi;

record:
  if
  :: atomic { row_version == expected -> write_row(DONE, id) }
  :: run LateTransaction(expected, DONE, id)
  :: skip                               /* the store is down; the response is sent anyway */
  fi;
  goto end;

refuse:
#ifdef NO_TOMBSTONE
  atomic { answer_not_run(); goto end };
#else
  if
  :: atomic { row_version == expected -> write_row(RELEASED, id); answer_not_run(); goto end }
  :: atomic { row_version == expected -> write_row(RELEASED, id) }; goto outcome_unknown
  :: run LateTransaction(expected, RELEASED, id); goto outcome_unknown
  :: row_version != expected -> goto outcome_unknown
  :: goto outcome_unknown               /* the store is down */
  fi;
#endif

outcome_unknown:
  skip;
crashed:
  skip;
end:
  skip
}

init {
  byte id;
  atomic {
    for (id : 0 .. REQUESTS - 1) {
      run HandleRequest(id)
    }
  }
}
