/*
 * Production and delivery of samples, each to exactly one take.
 *
 * Two owners of one shard complete the same samples. A trainer asks for a take, may lose the answer
 * or die before its checkpoint, and asks again with the same take_id at any instance while the
 * first request is still under way; it asks with a new take_id only after its checkpoint. Two
 * workers of the trainer may do so side by side. The trainer raises its weight version in between.
 * Answers of the table service may be lost; the transaction then applies at
 * once, later or never.
 *
 * Checked:  a sample is in at most one take; a take's content never changes once it was read;
 *           no sample is older than the bound at the moment at which its take commits;
 *           the trainer's checkpoints contain every sample exactly once when nothing moves any
 *           more: none is lost, also not one that was set back.
 *
 * Guards:   NO_READY_CHECK      the take does not check the versions of the ready rows
 *           NO_TRAINER_CHECK    the take does not check the version of the trainer's row
 *           NO_TAKE_CHECK       the take does not check that its take row is absent
 *           NO_SAMPLE_CHECK     the completion does not check the version of the sample's row
 *           NO_SAME_TAKE_ID     the trainer asks with a new take_id after a lost answer
 *           NO_EMPTY_RECORD     an empty take is answered without writing its take row
 *           NO_MARKER           a sample is set back without writing the marker of its group
 *           NO_MARKER_CHECK     the marker is removed without a check of its version
 */

#ifndef SAMPLES
#define SAMPLES 2
#endif
#ifndef FAULTS
#define FAULTS 2
#endif
#define TAKES   4     /* take_ids that the trainer may use */

#define ABSENT     0
#define READY      1
#define TAKEN      2
#define REGENERATE 3

#define BIT(i) (1 << (i))
#define BOUND  0      /* versions that a sample may be behind */

byte weights = 1;               /* version that the engines produce with */
byte trainer_weights = 1;       /* weight version in the trainer's row */
byte trainer_row = 1;           /* version of that row */

byte sample_state[SAMPLES];
byte sample_row[SAMPLES];       /* versions of the rows `samples` */
byte ready_weights[SAMPLES];    /* content of the rows `ready` */
byte marker = 1;                /* version of the group's marker; 0: no marker */
byte next_marker = 2;

byte take_set[TAKES];           /* samples in each take row, one bit each */
bool take_written[TAKES];
byte read_set[TAKES];           /* what the trainer was answered */
bool was_read[TAKES];

byte trained = 0;               /* samples in the trainer's checkpoints */
byte faults;
byte workers = 1;               /* requests of the trainer that take side by side */

/*
 * The transactions. Each checks the versions that its maker read and changes all rows or none. A
 * row `ready` is written and removed only together with its row `samples`, so that one version
 * stands for both.
 */
#define UNCHANGED(i, row) (sample_row[i] == (row))
#ifdef NO_READY_CHECK
#define READY_UNCHANGED(set, row_0, row_1) true
#else
#define READY_UNCHANGED(set, row_0, row_1) \
  ((!((set) & BIT(0)) || UNCHANGED(0, row_0)) && (!((set) & BIT(1)) || UNCHANGED(1, row_1)))
#endif
#ifdef NO_TRAINER_CHECK
#define TRAINER_UNCHANGED(row) true
#else
#define TRAINER_UNCHANGED(row) (trainer_row == (row))
#endif
#ifdef NO_TAKE_CHECK
#define TAKE_ABSENT(take) true
#else
#define TAKE_ABSENT(take) (!take_written[take])
#endif
#define TAKE_HOLDS(take, row, set, row_0, row_1) \
  (TAKE_ABSENT(take) && TRAINER_UNCHANGED(row) && READY_UNCHANGED(set, row_0, row_1))
#define SET_BACK_HOLDS(row, set, row_0, row_1) \
  (trainer_row == (row) && (!((set) & BIT(0)) || UNCHANGED(0, row_0)) && \
   (!((set) & BIT(1)) || UNCHANGED(1, row_1)))
#ifdef NO_SAMPLE_CHECK
#define COMPLETE_HOLDS(i, row) true
#else
#define COMPLETE_HOLDS(i, row) UNCHANGED(i, row)
#endif

inline put_sample(i, state) {
  sample_state[i] = state;
  sample_row[i]++
}

inline take_one(set, i) {
  if
  :: set & BIT(i) ->
       assert(!((take_set[0] | take_set[1] | take_set[2] | take_set[3]) & BIT(i)));
       assert(ready_weights[i] + BOUND >= trainer_weights);
       put_sample(i, TAKEN);
       ready_weights[i] = 0
  :: else -> skip
  fi
}

inline put_take(take, set) {
  take_one(set, 0);
  take_one(set, 1);
  assert(!was_read[take] || read_set[take] == set);
  take_set[take] = set;
  take_written[take] = true
}

inline set_back_one(set, i) {
  if
  :: set & BIT(i) -> put_sample(i, REGENERATE); ready_weights[i] = 0
  :: else -> skip
  fi
}

inline put_marker() {
#ifdef NO_MARKER
  skip
#else
  marker = next_marker;
  next_marker++
#endif
}

inline set_back(set) {
  set_back_one(set, 0);
  set_back_one(set, 1);
  put_marker()
}

inline complete(i, made_with) {
  put_sample(i, READY);
  ready_weights[i] = made_with
}

/* Transactions whose answer was lost and that apply later, if their checks still hold, or never. */
proctype LateTake(byte take; byte row; byte set; byte row_0; byte row_1) {
  atomic {
    if
    :: TAKE_HOLDS(take, row, set, row_0, row_1) -> put_take(take, set)
    :: true -> skip
    fi
  }
}

proctype LateSetBack(byte row; byte set; byte row_0; byte row_1) {
  atomic {
    if
    :: SET_BACK_HOLDS(row, set, row_0, row_1) -> set_back(set)
    :: true -> skip
    fi
  }
}

proctype LateCompletion(byte i; byte row; byte made_with) {
  atomic {
    if
    :: COMPLETE_HOLDS(i, row) -> complete(i, made_with)
    :: true -> skip
    fi
  }
}

#define LOSE faults > 0 -> faults--

proctype Owner() {
  byte seen;
  byte i;
  byte row;
  byte made_with;

end_wait:
  atomic { marker != 0 -> seen = marker };
  atomic {
    if
    :: sample_state[0] == ABSENT || sample_state[0] == REGENERATE -> i = 0
    :: sample_state[1] == ABSENT || sample_state[1] == REGENERATE -> i = 1
    :: else -> goto remove
    fi;
    row = sample_row[i];
    made_with = weights
  };
  if
  :: atomic { COMPLETE_HOLDS(i, row) -> complete(i, made_with) }
  :: atomic { LOSE; run LateCompletion(i, row, made_with) }
  :: sample_row[i] != row -> skip
  fi;
  atomic { seen = 0; i = 0; row = 0; made_with = 0 };
  goto end_wait;

remove:
  atomic {
    if
#ifndef NO_MARKER_CHECK
    :: marker != seen -> skip
    :: marker == seen ->
#else
    :: true ->
#endif
       marker = 0
    fi;
    seen = 0
  };
  goto end_wait
}

byte answered = 0;                /* take_ids with an answer under way, one bit each */

proctype Request(byte take) {
  byte row;
  byte fresh;
  byte stale;
  byte row_0;
  byte row_1;
  byte newest;

end_again:
  atomic {
    row = 0; fresh = 0; stale = 0; row_0 = 0; row_1 = 0; newest = 0;
end_ready:
    if
    :: take_written[take] -> goto answer
    :: !take_written[take] && (sample_state[0] == READY || sample_state[1] == READY) -> skip
    :: !take_written[take] && sample_state[0] != READY && sample_state[1] != READY && faults > 0 ->
         faults--                       /* none became ready in time: an empty take */
#ifndef NO_EMPTY_RECORD
         ; put_take(take, 0)
#endif
         ; goto answer
    fi;
    row = trainer_row;
    newest = trainer_weights;
    row_0 = sample_row[0];
    row_1 = sample_row[1];
    if
    :: sample_state[0] == READY && ready_weights[0] + BOUND < newest -> stale = stale | BIT(0)
    :: sample_state[0] == READY && ready_weights[0] + BOUND >= newest -> fresh = fresh | BIT(0)
    :: else -> skip
    fi;
    if
    :: sample_state[1] == READY && ready_weights[1] + BOUND < newest -> stale = stale | BIT(1)
    :: sample_state[1] == READY && ready_weights[1] + BOUND >= newest -> fresh = fresh | BIT(1)
    :: else -> skip
    fi;
    newest = 0;
    if
    :: stale == 0 && fresh == 0 -> goto end_again
    :: stale != 0 -> skip
    :: stale == 0 && fresh == 3 -> fresh = 1        /* the request's max is 1 */
    :: stale == 0 && fresh != 0 -> skip
    fi
  };
  if
  :: stale != 0 ->
       if
       :: atomic { SET_BACK_HOLDS(row, stale, row_0, row_1) -> set_back(stale) }
       :: atomic { LOSE; run LateSetBack(row, stale, row_0, row_1) }
       :: !SET_BACK_HOLDS(row, stale, row_0, row_1) -> skip
       fi
  :: stale == 0 ->
       if
       :: atomic { TAKE_HOLDS(take, row, fresh, row_0, row_1) -> put_take(take, fresh) }
       :: atomic { LOSE; run LateTake(take, row, fresh, row_0, row_1) }
       :: !TAKE_HOLDS(take, row, fresh, row_0, row_1) -> skip
       fi
  fi;
  goto end_again;                                    /* a lost answer is settled by the row */

answer:
  answered = answered | BIT(take)
}

proctype Trainer(byte take) {
  byte set;

end_take:
  do
  :: trained == 3 -> break
  :: trained != 3 && take < TAKES ->
       run Request(take);
end_ask:
       do
       :: atomic {
            answered & BIT(take) ->
            answered = answered & (BIT(take) ^ 255);
            set = take_set[take];
            assert(!was_read[take] || read_set[take] == set);
            was_read[take] = true;
            read_set[take] = set;
            break
          }
       :: atomic {
            LOSE;                                    /* the answer is lost */
#ifdef NO_SAME_TAKE_ID
            if
            :: take + workers < TAKES -> take = take + workers
            :: else -> skip
            fi;
#endif
            run Request(take)
          }
       od;
       if
       :: atomic {                                   /* the checkpoint holds samples and take_id */
            assert((trained & set) == 0);
            trained = trained | set;
            set = 0;
            take = take + workers
          }
       :: atomic { LOSE; set = 0 }                   /* dies before the checkpoint */
       fi
  od
}

/* New weights: the engines have them before the trainer's row names them. */
proctype Weights() {
  weights = 2;
  atomic { trainer_weights = 2; trainer_row++ }
}

init {
  atomic {
    /* One sample, two workers and one owner with one fault; one sample with two faults; or two
     * samples with one fault. */
    if
    :: faults = FAULTS - 1; workers = 2; sample_state[1] = TAKEN; trained = BIT(1)
    :: faults = FAULTS; sample_state[1] = TAKEN; trained = BIT(1)
    :: faults = FAULTS - 1
    fi;
    run Owner();
    run Trainer(0);
    if
    :: workers == 2 -> run Trainer(1)
    :: else -> run Owner()
    fi;
    run Weights()
  };
  timeout;
  assert(trained == 3)
}
