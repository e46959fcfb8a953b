/*
 * Acceptance of configuration patches and their propagation to all instances.
 *
 * Part 1, acceptance: two operators each send a patch for the same base to two instances. Answers
 * of the table service may be lost; the transaction then applies immediately, later or never. An
 * operator that received "unknown", or no answer, sends the same patch_id to another instance.
 *
 * Part 2, propagation: any instance accepts patches. Three instances receive them by pushes, which
 * may be lost, delayed and reordered, from peers, and from the table service. One instance may be
 * partitioned from the other two, with the table service on either side or down. A new instance
 * starts from its seeds while the table service cannot be reached.
 *
 * Checked:  a version has one accepted patch;
 *           a patch that was answered "accepted" is in the log; one that was answered "refused" is
 *           not and never will be;
 *           the version in force at an instance never decreases, and was accepted;
 *           a new instance does not start below a version that a majority of its seeds had;
 *           when all messages have arrived and all confirmations that can expire have expired, an
 *           instance that accepts work has the newest version.
 *
 * The last property has a known exception, see EXEMPT and models/README.md: an instance accepts a
 * patch because it had contact with a majority, and is cut off together with the table service
 * before the majority receives the version. The majority then serves the previous version.
 * HOLE_MAJORITY removes the exception, and the violation is found. With INTENT in addition, the
 * property holds without the exception: the patch is announced to a majority before it is
 * committed, and an instance that has received an announcement but no confirmation refuses work.
 *
 * Guards:   NO_HEAD_CHECK       the transaction does not check the head
 *           NO_PATCH_ID         any patch found in the log after a lost answer counts as this one
 *           NO_READ_BACK        a lost answer is treated as a refusal
 *           NO_LOG_READ         "stale base" is answered without reading the log row
 *           NO_KEPT_UNKNOWN     "not run" of a repeated request covers the earlier requests too
 *           NO_VERSION_CHECK    a snapshot is adopted although a newer version is in force
 *           NO_ACCEPT_MAJORITY  a patch is accepted without contact with a majority
 *           NO_ISOLATION        an isolated instance with an expired confirmation accepts work
 *           NO_SEED_MAJORITY    a new instance adopts the first snapshot that it receives
 * Known:    HOLE_MAJORITY       the exception of the last property is removed
 */

#ifndef FAULTS
#define FAULTS 2
#endif
#ifndef VERSIONS
#define VERSIONS 2
#endif
#define NONE   3
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

/* A transaction with a lost answer that applies later, if its check still holds. */
proctype LateCommit(byte patch) {
  atomic {
    if
    :: HEAD_UNCHANGED -> commit(patch)
    :: else -> skip
    fi
  }
}

/* An operator sends a patch with base 0 to an instance, and repeats it at another instance. */
proctype Operator(byte patch; byte instance) {
  byte attempts = 0;
  byte result = UNKNOWN;
  bool may_have_applied = false;
  bool unknown_received = false;
  byte observed_head;

  do
  :: attempts == 2 -> break
  :: attempts < 2 ->
       attempts++;
       may_have_applied = false;
       if
       :: result = NOT_RUN; goto answered         /* isolated, not ready, or past the deadline */
       :: version[instance] == 0 -> skip
       :: version[instance] > 0 ->                /* the base is not the version in force here */
#ifdef NO_LOG_READ
            result = REFUSED; goto answered;
#else
            goto read_log;
#endif
       fi;
again:
       observed_head = head;
       if
       :: observed_head != 0 -> goto read_log
       :: observed_head == 0 -> skip
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
       :: result = UNKNOWN; goto answered         /* past the deadline */
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
         /* "Not run" covers one request; an earlier one for the same patch may still apply. */
#ifndef NO_KEPT_UNKNOWN
         :: result == NOT_RUN && unknown_received -> skip
         :: result == NOT_RUN && !unknown_received ->
#else
         :: result == NOT_RUN ->
#endif
              assert(entry[1] != patch); refused = refused | BIT(patch); break
         :: result == UNKNOWN -> unknown_received = true
         fi;
         instance = 1 - instance
       }
  od
}

/* An instance applies the accepted version at any moment. */
proctype ApplyVersion(byte i) {
end_apply:
  atomic { head == 1 -> version[i] = 1 }
}

/* Part 2 */

/* The side of a partition that reaches the table service, or neither. */
#define DOWN     0
#define MINORITY 1
#define MAJORITY 2

bool track_contacts = true;    /* whether contacts and confirmations are modelled */
byte max_patches = 1;          /* patches that may be accepted */
byte cut = NONE;               /* the instance that is cut off from the other two */
byte store = MAJORITY;
bool majority[3];              /* the instance sees contact with a majority; may be outdated */
bool fresh[3];                 /* the instance's confirmation has not expired */
byte origin[VERSIONS + 1];     /* the instance that accepted the version */
bool had_majority[VERSIONS + 1];  /* origin[] saw contact with a majority before the commit */
byte announced[3];             /* newest version that was announced to the instance */

#define LINKED(i, j) (cut == NONE || ((i) != cut && (j) != cut) || (i) == (j))
#define REACHES(i) (store != DOWN && (cut == NONE || ((i) == cut) == (store == MINORITY)))
#define CONFIRMABLE(i) (store != DOWN && (cut == NONE || ((i) == cut) == (store == MINORITY)))
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

/*
 * Accepts patches on the newest version at instances 0 and 1. Attempts on an older version change
 * nothing and are not modelled.
 */
#define CAN_ACCEPT(i) (REACHES(i) && version[i] == head && head < max_patches)

proctype Accept() {
  byte i;
  byte next;
  bool has_majority;

end_accept:
  do
#ifdef NO_ACCEPT_MAJORITY
  :: atomic { CAN_ACCEPT(0) -> i = 0; next = head + 1; has_majority = majority[0] };
  :: atomic { CAN_ACCEPT(1) -> i = 1; next = head + 1; has_majority = majority[1] };
#else
  :: atomic { CAN_ACCEPT(0) && majority[0] -> i = 0; next = head + 1; has_majority = true };
  :: atomic { CAN_ACCEPT(1) && majority[1] -> i = 1; next = head + 1; has_majority = true };
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
              origin[next] = i;
              had_majority[next] = has_majority;
              adopt(i, next);
              run Push(i, OTHER(i, 1), next);
              run Push(i, OTHER(i, 2), next)
         :: else -> skip
         fi;
         next = 0; i = 0; has_majority = false
       }
  od
}

/* One instance: polls of the head, fetches from peers, its view of its contacts. */
proctype Synchronize(byte i) {
  byte observed;

end_synchronize:
  do
  :: atomic { REACHES(i) && version[i] < head -> observed = head };
     atomic { adopt(i, observed); observed = 0 }
  :: atomic {
       LINKED(i, OTHER(i, 1)) && version[i] < version[OTHER(i, 1)] ->
       observed = version[OTHER(i, 1)]
     };
     atomic { adopt(i, observed); observed = 0 }
  :: atomic {
       LINKED(i, OTHER(i, 2)) && version[i] < version[OTHER(i, 2)] ->
       observed = version[OTHER(i, 2)]
     };
     atomic { adopt(i, observed); observed = 0 }
  :: atomic {
       track_contacts && majority[i] != HAS_MAJORITY(i) ->
       majority[i] = HAS_MAJORITY(i)
     }
  :: atomic { track_contacts && fresh[i] && !CONFIRMABLE(i) -> fresh[i] = false }
  :: atomic {
       track_contacts && !fresh[i] && CONFIRMABLE(i) && version[i] == head ->
       fresh[i] = true
     }
  od
}

#define CAN_ASK(seed) (snapshots < 2 && !(asked & BIT(seed)) && cut != (seed))

inline take_snapshot(seed) {
  asked = asked | BIT(seed);
  best_version = (version[seed] > best_version -> version[seed] : best_version);
  snapshots++
}

/*
 * A new instance on the side of the two connected instances, or anywhere while none is cut off.
 */
proctype StartNewInstance() {
  byte asked = 0;
  byte snapshots = 0;
  byte majority_version;
  byte best_version = 0;

end_start:
  atomic {
    store != MAJORITY ->
    if                                   /* the newest version that two of the three seeds have */
    :: version[0] >= version[1] && version[0] <= version[2] -> majority_version = version[0]
    :: version[0] <= version[1] && version[0] >= version[2] -> majority_version = version[0]
    :: version[1] >= version[0] && version[1] <= version[2] -> majority_version = version[1]
    :: version[1] <= version[0] && version[1] >= version[2] -> majority_version = version[1]
    :: version[2] >= version[0] && version[2] <= version[1] -> majority_version = version[2]
    :: version[2] <= version[0] && version[2] >= version[1] -> majority_version = version[2]
    fi
  };
end_ask:
  do
#ifdef NO_SEED_MAJORITY
  :: snapshots >= 1 -> break
#else
  :: snapshots >= 2 -> break
#endif
  :: atomic { CAN_ASK(0) -> take_snapshot(0) }
  :: atomic { CAN_ASK(1) -> take_snapshot(1) }
  :: atomic { CAN_ASK(2) -> take_snapshot(2) }
  od;
  atomic {
    assert(best_version >= majority_version);
    adopt(NEW, best_version);
    best_version = 0; majority_version = 0; asked = 0; snapshots = 0
  }
}

/* Cuts one instance off or stops the table service; both may be restored later. */
proctype Partition() {
  atomic {
    if
    :: cut = 0
    :: cut = 1
    :: cut = 2
    :: skip
    fi;
    if
    :: cut != NONE -> store = MINORITY
    :: cut != NONE -> store = MAJORITY
    :: store = DOWN
    fi
  };
  if
  :: atomic { cut = NONE; store = MAJORITY }
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
 * The known exception: the accepting instance saw contact with a majority before the commit and is
 * now cut off with the only copies of the version, and instance i belongs to the majority.
 */
#ifdef HOLE_MAJORITY
#define EXEMPT(i) false
#else
#define EXEMPT(i) \
  (!fresh[i] && majority[i] && had_majority[version[i] + 1] && !LINKED(i, origin[version[i] + 1]))
#endif

#define IN_FORCE(i) (!SERVES(i) || version[i] == head || EXEMPT(i))

init {
  if
  :: atomic {
       run Operator(1, 0);
       run Operator(2, 1);
       run ApplyVersion(0);
       run ApplyVersion(1)
     }
  :: atomic {
       majority[0] = true; majority[1] = true; majority[2] = true;
       fresh[0] = true; fresh[1] = true; fresh[2] = true;
       run Accept();
       run Synchronize(0);
       run Synchronize(1);
       run Synchronize(2);
       run Partition()
     };
     timeout;
     assert(IN_FORCE(0) && IN_FORCE(1) && IN_FORCE(2))
  :: atomic {
       track_contacts = false;
       max_patches = VERSIONS;
       majority[0] = true; majority[1] = true; majority[2] = true;
       run Accept();
       run Synchronize(0);
       run Synchronize(1);
       run Synchronize(2);
       run StartNewInstance();
       run Partition()
     }
  fi
}
