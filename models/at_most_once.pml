/*
 * At-most-once execution of an operation that may not be repeated.
 *
 * Several requests with one idempotency key run at instances that know nothing of each other.
 * Every transaction of the table service may lose its answer, having applied at once, later, or
 * never. Every request may stop at any step (its instance crashed).
 *
 * Checked:  the target runs the operation at most once;
 *           a refusal "not run" is true: nothing has run, and no request that was under way when
 *           the refusal was given runs it afterwards.
 *
 * Guards:   NO_CHECK            the claim does not check that the row is unchanged
 *           NO_READ_BACK        a lost answer of the claim is taken for success
 *           NO_SINGLE_DISPATCH  the call is repeated after a lost answer of the target
 *           NO_TOMBSTONE        "not run" is said without a row that stops other claims
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
byte blocked = 0;   /* requests that were under way when "not run" was said */

#define BIT(id) (1 << (id))

inline write(state, owner) {
  row_state = state;
  row_owner = owner;
  row_version++
}

/*
 * The caller will read "not run". The promise is made when the tombstone commits: a request with
 * the same key that begins later is a new attempt of the caller and may run.
 */
inline refuse_now() {
  assert(runs == 0);
  blocked = blocked | started
}

/* A transaction whose answer was lost and that applies later, if its check still holds. */
proctype Late(byte expected; byte state; byte owner) {
  atomic {
    if
#ifdef NO_CHECK
    :: true -> write(state, owner)
#else
    :: row_version == expected -> write(state, owner)
    :: else -> skip
#endif
    fi
  }
}

proctype Request(byte id) {
  byte expected;
  byte tries = 0;
  bool retried = false;

  atomic {
    started = started | BIT(id);
    expected = row_version;
    if
    :: row_state == ABSENT || row_state == RELEASED -> skip
    :: else -> goto outcome_unknown     /* recorded, claimed or unknown: answered as such */
    fi
  }
  if
  :: goto refuse                        /* overloaded: refused before the claim */
  :: skip
  fi;

claim:
  tries++;
  if
  :: atomic {                           /* applied and answered */
#ifndef NO_CHECK
       row_version == expected ->
#endif
       write(CLAIMED, id); expected = row_version; goto dispatch
     }
  :: atomic {                           /* applied, answer lost */
#ifndef NO_CHECK
       row_version == expected ->
#endif
       write(CLAIMED, id)
     };
     goto settle
  :: run Late(expected, CLAIMED, id); goto settle
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
    :: row_version == expected && tries < 2 -> goto claim
    :: row_version == expected && tries == 2 -> goto refuse
    :: row_version != expected && !(row_state == CLAIMED && row_owner == id) ->
         goto outcome_unknown
    fi
  };
#endif

dispatch:
  if
  :: goto refuse                        /* no target could be connected to: no byte was sent */
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
     :: !retried -> retried = true; goto call
     :: else -> skip
     fi;
#endif
     atomic { if :: row_version == expected -> write(UNKNOWN, id) :: else -> skip fi };
     goto outcome_unknown
  fi;

record:
  if
  :: atomic { row_version == expected -> write(DONE, id) }
  :: run Late(expected, DONE, id)
  :: skip                               /* the store is down: the answer is given all the same */
  fi;
  goto end;

refuse:
#ifdef NO_TOMBSTONE
  atomic { refuse_now(); goto end };
#else
  if
  :: atomic { row_version == expected -> write(RELEASED, id); refuse_now(); goto end }
  :: atomic { row_version == expected -> write(RELEASED, id) }; goto outcome_unknown
  :: run Late(expected, RELEASED, id); goto outcome_unknown
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
      run Request(id)
    }
  }
}
