/*
 * Acceptance of configuration patches and their way to all instances.
 *
 * Part 1, acceptance: two operators send a patch each for the same base at two instances. Answers
 * of the table service are lost, with the transaction applied at once, later or never. An operator
 * who read "unknown", or no answer, sends the same patch_id again at another instance.
 *
 * Part 2, propagation: patches are accepted at any instance; three instances learn of them by
 * pushes, which may be lost, late and out of order, from peers, and from the table service. One
 * instance may be cut off from the other two, with the table service on either side or down. A new
 * instance starts from its seeds while the table service cannot be reached.
 *
 * Checked:  a version has one accepted patch;
 *           a patch that was answered "accepted" is in the log; one that was answered "refused" is
 *           not and never will be;
 *           the version in force at an instance never falls, and is one that was accepted;
 *           a new instance does not start below a version that a majority of its seeds had;
 *           when all messages have arrived and all confirmations that can expire have, an instance
 *           that accepts work has the newest version.
 *
 * The last property has a known hole, see EXCUSED and models/README.md: an instance accepts a patch
 * because it had contact with a majority, and is cut off together with the table service before the
 * majority knows of it. The majority then serves the version before. HOLE_MAJORITY removes the
 * exception and the violation is found; with INTENT as well (the patch is announced to a majority
 * before it is committed, and an instance that knows of an announcement without a confirmation
 * refuses work) the property holds without exception.
 *
 * Guards:   NO_HEAD_CHECK       the transaction does not check the head
 *           NO_PATCH_ID         any patch found in the log after a lost answer counts as one's own
 *           NO_READ_BACK        a lost answer is taken for a refusal
 *           NO_LOG_READ         "stale base" is answered without reading the log row
 *           NO_KEPT_UNKNOWN     "not run" of a repeated request counts for the requests before it
 *           NO_VERSION_CHECK    a snapshot is adopted although a newer version is in force
 *           NO_ACCEPT_MAJORITY  a patch is accepted without contact with a majority
 *           NO_ISOLATION        an instance cut off with an expired confirmation accepts work
 *           NO_SEED_MAJORITY    a new instance takes the first snapshot that it gets
 * Known:    HOLE_MAJORITY       the exception of the last property is removed
 */

#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef VERSIONS
#define VERSIONS 2
#endif
#define NOBODY 3
#define NEW    3

byte head = 0;                 /* config_version in the row `head` */
byte entry[VERSIONS + 1];      /* patch in the log row of each version */
byte version[4];               /* in force at each instance; the last is the new one */
byte faults = FAULTS;

/* Part 1 */

byte refused = 0;              /* patches that were answered "refused", one bit each */
#define BIT(i) (1 << (i))

#define ACCEPTED 1
#define REFUSED  2
#define NOT_RUN  3
#define UNKNOWN  4

inline commit(patch) {
  assert(entry[1] == 0);
  assert((refused & BIT(patch)) == 0);
  entry[1] = patch;
  head = 1
}

#ifdef NO_HEAD_CHECK
#define HEAD_UNCHANGED true
#else
#define HEAD_UNCHANGED (head == 0)
#endif

/* A transaction whose answer was lost and that applies later, if its check still holds. */
proctype LateCommit(byte patch) {
  atomic {
    if
    :: HEAD_UNCHANGED -> commit(patch)
    :: else -> skip
    fi
  }
}

/* The request of an operator with base 0 at an instance, and the same again at another. */
proctype Operator(byte patch; byte instance) {
  byte attempts = 0;
  byte result = UNKNOWN;
  bool may_have_applied = false;
  bool unknown_before = false;
  byte seen;

  do
  :: attempts == 2 -> break
  :: attempts < 2 ->
       attempts++;
       may_have_applied = false;
       if
       :: result = NOT_RUN; goto answered         /* isolated, not ready, or out of time */
       :: version[instance] == 0 -> skip
       :: version[instance] > 0 ->                /* the base is not the version in force here */
#ifdef NO_LOG_READ
            result = REFUSED; goto answered;
#else
            goto read_log;
#endif
       fi;
again:
       seen = head;
       if
       :: seen != 0 -> goto read_log
       :: seen == 0 -> skip
       fi;
       if
       :: atomic { HEAD_UNCHANGED -> commit(patch); result = ACCEPTED; goto answered }
       :: atomic { HEAD_UNCHANGED && faults > 0 -> faults--; commit(patch) }; goto lost_answer
       :: atomic { faults > 0 -> faults--; run LateCommit(patch) }; goto lost_answer
       :: !HEAD_UNCHANGED -> goto again
       fi;
lost_answer:
       may_have_applied = true;
#ifdef NO_READ_BACK
       result = REFUSED; goto answered;
#else
       if
       :: goto again
       :: result = UNKNOWN; goto answered         /* out of time */
       fi;
#endif
read_log:
       atomic {
         if
#ifdef NO_PATCH_ID
         :: entry[1] != 0 && may_have_applied -> result = ACCEPTED
         :: entry[1] == patch && !may_have_applied -> result = ACCEPTED
         :: entry[1] != patch && !may_have_applied -> result = REFUSED
#else
         :: entry[1] == patch -> result = ACCEPTED
         :: entry[1] != patch -> result = REFUSED
#endif
         :: faults > 0 ->                         /* the log cannot be read before the deadline */
              faults--;
              if
              :: may_have_applied || version[instance] > 0 -> result = UNKNOWN
              :: else -> result = NOT_RUN
              fi
         fi
       };
answered:
       atomic {
         if
         :: faults > 0 -> faults--; result = UNKNOWN    /* the answer to the operator is lost */
         :: skip
         fi;
         if
         :: result == ACCEPTED -> assert(entry[1] == patch); break
         :: result == REFUSED -> assert(entry[1] != patch); refused = refused | BIT(patch); break
         /* "Not run" is about one request; an earlier one of the same patch may still apply. */
#ifndef NO_KEPT_UNKNOWN
         :: result == NOT_RUN && unknown_before -> skip
         :: result == NOT_RUN && !unknown_before ->
#else
         :: result == NOT_RUN ->
#endif
              assert(entry[1] != patch); refused = refused | BIT(patch); break
         :: result == UNKNOWN -> unknown_before = true
         fi;
         instance = 1 - instance
       }
  od
}

/* Any instance learns of the accepted version at any moment. */
proctype Learn(byte i) {
end_learn:
  atomic { head == 1 -> version[i] = 1 }
}

/* Part 2 */

#define DOWN     0
#define WITH_CUT 1
#define WITH_TWO 2

bool contacts = true;          /* whether contacts and confirmations are followed: part 2 */
byte limit = 1;                /* patches accepted in this part */
byte cut = NOBODY;             /* the instance that is cut off from the other two */
byte store = WITH_TWO;         /* which side reaches the table service; DOWN: neither */
bool majority[3];              /* what each instance believes about its contacts */
bool fresh[3];                 /* its confirmation has not expired */
byte accepted_by[VERSIONS + 1];
bool checked[VERSIONS + 1];    /* that instance had found contact with a majority */
byte announced[3];             /* newest version that was announced to the instance */

#define LINKED(i, j)   (cut == NOBODY || ((i) != cut && (j) != cut) || (i) == (j))
#define REACHES(i)     (store != DOWN && (cut == NOBODY || ((i) == cut) == (store == WITH_CUT)))
#define CONFIRMABLE(i) (store != DOWN && (cut == NOBODY || ((i) == cut) == (store == WITH_CUT)))
#define HAS_MAJORITY(i) (cut != (i))

inline adopt(i, next) {
#ifndef NO_VERSION_CHECK
  if
  :: next > version[i] ->
#endif
       assert(next >= version[i] && next <= head);
       version[i] = next
#ifndef NO_VERSION_CHECK
  :: else -> skip
  fi
#endif
}

proctype Push(byte from; byte to; byte pushed) {
  atomic {
    if
    :: LINKED(from, to) && version[to] + 1 == pushed -> adopt(to, pushed)
    :: true -> skip                                  /* lost, or not the next one */
    fi
  }
}

#define OTHER(i, n) (((i) + (n)) % 3)

/* Accepts patches on the newest version, at two of the instances. Other attempts change nothing. */
#define CAN_ACCEPT(i) (REACHES(i) && version[i] == head && head < limit)

proctype Accept() {
  byte i;
  byte next;
  bool found;   /* contact with a majority */

end_accept:
  do
#ifdef NO_ACCEPT_MAJORITY
  :: atomic { CAN_ACCEPT(0) -> i = 0; next = head + 1; found = majority[0] };
  :: atomic { CAN_ACCEPT(1) -> i = 1; next = head + 1; found = majority[1] };
#else
  :: atomic { CAN_ACCEPT(0) && majority[0] -> i = 0; next = head + 1; found = true };
  :: atomic { CAN_ACCEPT(1) && majority[1] -> i = 1; next = head + 1; found = true };
#endif
#ifdef INTENT
       announced[i] = next;
end_announce:
       if
       :: atomic { LINKED(i, OTHER(i, 1)) -> announced[OTHER(i, 1)] = next }
       :: atomic { LINKED(i, OTHER(i, 2)) -> announced[OTHER(i, 2)] = next }
       fi;
#endif
       atomic {
         if
         :: REACHES(i) && head + 1 == next ->
              head = next;
              accepted_by[next] = i;
              checked[next] = found;
              adopt(i, next);
              run Push(i, OTHER(i, 1), next);
              run Push(i, OTHER(i, 2), next)
         :: else -> skip
         fi;
         next = 0; i = 0; found = false
       }
  od
}

/* The poll of the head, pings and fetches of one instance, and its view of its contacts. */
proctype Follow(byte i) {
  byte found;

end_follow:
  do
  :: atomic { REACHES(i) && version[i] < head -> found = head };
     atomic { adopt(i, found); found = 0 }
  :: atomic {
       LINKED(i, OTHER(i, 1)) && version[i] < version[OTHER(i, 1)] -> found = version[OTHER(i, 1)]
     };
     atomic { adopt(i, found); found = 0 }
  :: atomic {
       LINKED(i, OTHER(i, 2)) && version[i] < version[OTHER(i, 2)] -> found = version[OTHER(i, 2)]
     };
     atomic { adopt(i, found); found = 0 }
  :: atomic { contacts && majority[i] != HAS_MAJORITY(i) -> majority[i] = HAS_MAJORITY(i) }
  :: atomic { contacts && fresh[i] && !CONFIRMABLE(i) -> fresh[i] = false }
  :: atomic { contacts && !fresh[i] && CONFIRMABLE(i) && version[i] == head -> fresh[i] = true }
  od
}

#define ASK(seed) (count < 2 && !(asked & BIT(seed)) && cut != (seed))

inline take_snapshot(seed) {
  asked = asked | BIT(seed);
  best = (version[seed] > best -> version[seed] : best);
  count++
}

/* A new instance on the side of the two, or anywhere while nothing is cut off. */
proctype Start() {
  byte asked = 0;
  byte count = 0;
  byte floor;
  byte best = 0;

end_start:
  atomic {
    store != WITH_TWO ->
    if                                   /* the version that two of the three seeds have */
    :: version[0] >= version[1] && version[0] <= version[2] -> floor = version[0]
    :: version[0] <= version[1] && version[0] >= version[2] -> floor = version[0]
    :: version[1] >= version[0] && version[1] <= version[2] -> floor = version[1]
    :: version[1] <= version[0] && version[1] >= version[2] -> floor = version[1]
    :: version[2] >= version[0] && version[2] <= version[1] -> floor = version[2]
    :: version[2] <= version[0] && version[2] >= version[1] -> floor = version[2]
    fi
  };
end_ask:
  do
#ifdef NO_SEED_MAJORITY
  :: count >= 1 -> break
#else
  :: count >= 2 -> break
#endif
  :: atomic { ASK(0) -> take_snapshot(0) }
  :: atomic { ASK(1) -> take_snapshot(1) }
  :: atomic { ASK(2) -> take_snapshot(2) }
  od;
  atomic {
    assert(best >= floor);
    adopt(NEW, best);
    best = 0; floor = 0; asked = 0; count = 0
  }
}

/* One instance is cut off, or the table service goes down; later all may be well again. */
proctype Environment() {
  atomic {
    if
    :: cut = 0
    :: cut = 1
    :: cut = 2
    :: skip
    fi;
    if
    :: cut != NOBODY -> store = WITH_CUT
    :: cut != NOBODY -> store = WITH_TWO
    :: store = DOWN
    fi
  };
  if
  :: atomic { cut = NOBODY; store = WITH_TWO }
  :: skip
  fi
}

#ifdef INTENT
#define SAFE_WITHOUT_CONFIRMATION(i) \
  (!(LINKED(i, 0) && announced[0] > version[i]) && !(LINKED(i, 1) && announced[1] > version[i]) && \
   !(LINKED(i, 2) && announced[2] > version[i]))
#else
#define SAFE_WITHOUT_CONFIRMATION(i) true
#endif

#ifdef NO_ISOLATION
#define SERVES(i) true
#else
#define SERVES(i) (fresh[i] || (majority[i] && SAFE_WITHOUT_CONFIRMATION(i)))
#endif

/*
 * Contact with a majority was found before the commit, and the accepting instance is now cut off
 * with the only copies of the version; this instance is among the majority.
 */
#ifdef HOLE_MAJORITY
#define EXCUSED(i) false
#else
#define EXCUSED(i) \
  (!fresh[i] && majority[i] && checked[version[i] + 1] && !LINKED(i, accepted_by[version[i] + 1]))
#endif

#define IN_FORCE(i) (!SERVES(i) || version[i] == head || EXCUSED(i))

init {
  if
  :: atomic {
       run Operator(1, 0);
       run Operator(2, 1);
       run Learn(0);
       run Learn(1)
     }
  :: atomic {
       majority[0] = true; majority[1] = true; majority[2] = true;
       fresh[0] = true; fresh[1] = true; fresh[2] = true;
       run Accept();
       run Follow(0);
       run Follow(1);
       run Follow(2);
       run Environment()
     };
     timeout;
     assert(IN_FORCE(0) && IN_FORCE(1) && IN_FORCE(2))
  :: atomic {
       contacts = false;
       limit = VERSIONS;
       majority[0] = true; majority[1] = true; majority[2] = true;
       run Accept();
       run Follow(0);
       run Follow(1);
       run Follow(2);
       run Start();
       run Environment()
     }
  fi
}
