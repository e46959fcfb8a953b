/*
 * Production and delivery of samples, each to exactly one take.
 *
 * Two owners of one shard complete the same samples. A trainer requests a take. If the answer is
 * lost, or the trainer crashes before its checkpoint, it requests the same take_id again at any
 * instance while the first request may still be in progress; it uses a new take_id only after its
 * checkpoint. Two workers of the trainer may do so concurrently. The trainer increases its weight
 * version meanwhile. Answers of the table service may be lost; the transaction then applies
 * immediately, later or never.
 *
 * Checked:  a sample is in at most one take; a take's content never changes after it was read;
 *           when a take commits, none of its samples is older than the staleness bound;
 *           when no step is enabled any more, the trainer's checkpoints contain every sample
 *           exactly once: none is lost, including those set back for regeneration.
 *
 * Guards:   NO_READY_CHECK      the take does not check the versions of the ready rows
 *           NO_TRAINER_CHECK    the take does not check the version of the trainer's row
 *           NO_TAKE_CHECK       the take does not check that its take row is absent
 *           NO_SAMPLE_CHECK     the completion does not check the version of the sample's row
 *           NO_SAME_TAKE_ID     the trainer uses a new take_id after a lost answer
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
#define BOUND  0      /* how many versions a sample may be behind */

byte weights = 1;               /* version that the engines serve */
byte trainer_weights = 1;       /* weight version in the trainer's row */
byte trainer_row = 1;           /* version of that row */

byte sample_state[SAMPLES];
byte sample_row[SAMPLES];       /* versions of the rows `samples` */
byte ready_weights[SAMPLES];    /* content of the rows `ready` */
byte marker = 1;                /* version of the group's marker; 0: no marker */
byte next_marker = 2;

byte take_set[TAKES];           /* samples in each take row, one bit each */
bool take_written[TAKES];
byte read_set[TAKES];           /* content of the answers to the trainer */
bool was_read[TAKES];

byte trained = 0;               /* samples in the trainer's checkpoints */
byte faults;
byte workers = 1;               /* workers of the trainer */

/*
 * Transactions. Each checks the versions that were read for it and changes all rows or none. A
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

inline take_sample(set, i) {
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
  take_sample(set, 0);
  take_sample(set, 1);
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

inline complete(i, weights_used) {
  put_sample(i, READY);
  ready_weights[i] = weights_used
}

/* Transactions with a lost answer that apply later, if their checks still hold, or never. */
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

proctype LateCompletion(byte i; byte row; byte weights_used) {
  atomic {
    if
    :: COMPLETE_HOLDS(i, row) -> complete(i, weights_used)
    :: true -> skip
    fi
  }
}

#define USE_FAULT faults > 0 -> faults--

proctype Owner() {
  byte observed_marker;
  byte i;
  byte row;
  byte weights_used;

end_wait:
  atomic { marker != 0 -> observed_marker = marker };
  atomic {
    if
    :: sample_state[0] == ABSENT || sample_state[0] == REGENERATE -> i = 0
    :: sample_state[1] == ABSENT || sample_state[1] == REGENERATE -> i = 1
    :: else -> goto remove
    fi;
    row = sample_row[i];
    weights_used = weights
  };
  if
  :: atomic { COMPLETE_HOLDS(i, row) -> complete(i, weights_used) }
  :: atomic { USE_FAULT; run LateCompletion(i, row, weights_used) }
  :: sample_row[i] != row -> skip
  fi;
  atomic { observed_marker = 0; i = 0; row = 0; weights_used = 0 };
  goto end_wait;

remove:
  atomic {
    if
#ifndef NO_MARKER_CHECK
    :: marker != observed_marker -> skip
    :: marker == observed_marker ->
#else
    :: true ->
#endif
       marker = 0
    fi;
    observed_marker = 0
  };
  goto end_wait
}

byte answered = 0;                /* take_ids whose answer has been sent, one bit each */

proctype Request(byte take) {
  byte row;
  byte takeable;
  byte stale;
  byte row_0;
  byte row_1;
  byte newest;

end_again:
  atomic {
    row = 0; takeable = 0; stale = 0; row_0 = 0; row_1 = 0; newest = 0;
end_ready:
    if
    :: take_written[take] -> goto answer
    :: !take_written[take] && (sample_state[0] == READY || sample_state[1] == READY) -> skip
    :: !take_written[take] && sample_state[0] != READY && sample_state[1] != READY && faults > 0 ->
         faults--                       /* no sample became ready in time: an empty take */
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
    :: sample_state[0] == READY && ready_weights[0] + BOUND >= newest ->
         takeable = takeable | BIT(0)
    :: else -> skip
    fi;
    if
    :: sample_state[1] == READY && ready_weights[1] + BOUND < newest -> stale = stale | BIT(1)
    :: sample_state[1] == READY && ready_weights[1] + BOUND >= newest ->
         takeable = takeable | BIT(1)
    :: else -> skip
    fi;
    newest = 0;
    if
    :: stale == 0 && takeable == 0 -> goto end_again
    :: stale != 0 -> skip
    :: stale == 0 && takeable == 3 -> takeable = 1  /* the request's max is 1 */
    :: stale == 0 && takeable != 0 -> skip
    fi
  };
  if
  :: stale != 0 ->
       if
       :: atomic { SET_BACK_HOLDS(row, stale, row_0, row_1) -> set_back(stale) }
       :: atomic { USE_FAULT; run LateSetBack(row, stale, row_0, row_1) }
       :: !SET_BACK_HOLDS(row, stale, row_0, row_1) -> skip
       fi
  :: stale == 0 ->
       if
       :: atomic { TAKE_HOLDS(take, row, takeable, row_0, row_1) -> put_take(take, takeable) }
       :: atomic { USE_FAULT; run LateTake(take, row, takeable, row_0, row_1) }
       :: !TAKE_HOLDS(take, row, takeable, row_0, row_1) -> skip
       fi
  fi;
  goto end_again;                                    /* after a lost answer, the row is read */

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
            USE_FAULT;                               /* the answer is lost */
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
       :: atomic {                                   /* the checkpoint: samples and take_id */
            assert((trained & set) == 0);
            trained = trained | set;
            set = 0;
            take = take + workers
          }
       :: atomic { USE_FAULT; set = 0 }              /* crashes before the checkpoint */
       fi
  od
}

/* Publishes new weights: the engines serve them before the trainer's row names them. */
proctype PublishWeights() {
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
    run PublishWeights()
  };
  timeout;
  assert(trained == 3)
}
