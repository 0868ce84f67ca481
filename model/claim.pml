/*
 * Non-idempotent calls with one idempotency key: at most one run, and no run of an attempt for
 * which `not-run` was reported.
 *
 * Bounds: ATTEMPTS attempts of agents that all start at any time (repeats by the caller, retries
 * by entries, duplicates in other availability zones), one settlement by an entry for each of the
 * first SETTLED attempts. A table transaction takes effect and is answered, takes effect without
 * an answer, does not take effect, or takes effect late, after its writer has gone on. A process
 * that takes no further step has died; one that pauses between two steps was frozen. Retention and
 * the sweeper are left out: a record outlives every attempt by far.
 *
 * Broken variants: NO_CONDITION (a start record is written whatever is there), NO_CARRY (a start
 * record drops the list of excluded attempts), ABSENCE_AS_PROOF (a settlement whose insert lost
 * its answer takes an absent record for proof). With ONLY_RUNS, only the number of runs is checked.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef SETTLED
#define SETTLED 2
#endif

#include "generated/claim.pml"
#include "generated/claim_settlement.pml"

/* Kinds of records. */
#define ABSENT 0
#define STARTED 1
#define DONE 2
#define TOMBSTONE 3

/* Record at the key. */
byte kind = ABSENT;
byte owner;      /* nonce of the attempt that wrote the record */
byte excluded;   /* bit mask of the attempts that must never run */
byte version;

/* Writes of start records that may still take effect, by attempt: the expected version plus 1. */
byte late[ATTEMPTS];

/* Observations. */
byte runs;
bit ran[ATTEMPTS];
bit not_run[ATTEMPTS];

#ifdef NO_CONDITION
#define MATCHES(expected) true
#else
#define MATCHES(expected) (version == expected)
#endif

#ifdef NO_CARRY
#define CARRIED 0
#else
#define CARRIED excluded
#endif

inline report_not_run(n) {
  not_run[n] = 1;
#ifndef ONLY_RUNS
  assert(!ran[n])
#endif
}

inline run_call(n) {
  runs++;
  ran[n] = 1;
  assert(runs <= 1);
#ifndef ONLY_RUNS
  assert(!not_run[n])
#endif
}

inline write_record(new_kind, new_owner, new_excluded) {
  kind = new_kind;
  owner = new_owner;
  excluded = new_excluded;
  version++
}

/* What attempt n sees in the record. */
inline classify_for_attempt(n, event) {
  if
  :: kind != DONE && (excluded & (1 << n)) -> event = claim_event_found_excluded
  :: else ->
    event = (kind == ABSENT -> claim_event_found_absent :
            (kind == DONE -> claim_event_found_done :
            (kind == TOMBSTONE -> claim_event_found_tombstone :
            (owner == n + 1 -> claim_event_found_own : claim_event_found_start))))
  fi;
  known = version
}

inline classify_for_settlement(n, event) {
  if
  :: kind != DONE && (excluded & (1 << n)) -> event = claim_settlement_event_found_excluded
  :: else ->
    event = (kind == ABSENT -> claim_settlement_event_found_absent :
            (kind == DONE -> claim_settlement_event_found_done :
            (kind == TOMBSTONE -> claim_settlement_event_found_tombstone :
             claim_settlement_event_found_start)))
  fi;
  known = version
}

/* Attempt of an agent with nonce n. */
active [ATTEMPTS] proctype attempt() {
  byte n = _pid;
  byte state = claim_initial;
  byte event, action;
  byte known;      /* version of the record that was last seen; 0 if absent */
  byte own;        /* version of the own start record */
  bit released;

  atomic { claim_step(state, claim_event_start, action) };
  do
  :: atomic {
      action == claim_action_insert || action == claim_action_replace ->
      if
      :: action == claim_action_insert -> known = 0
      :: else -> skip
      fi;
      if
      :: MATCHES(known) ->
        write_record(STARTED, n + 1, CARRIED);
        own = version;
        if
        :: event = claim_event_inserted
        :: event = claim_event_answer_lost
        fi
      :: event = claim_event_table_down
      :: event = claim_event_answer_lost; late[n] = known + 1
      :: !MATCHES(known) ->
        classify_for_attempt(n, event);
        own = (event == claim_event_found_own -> version : own)
      fi;
      claim_step(state, event, action)
    }
  :: atomic {
      action == claim_action_read ->
      if
      :: true -> classify_for_attempt(n, event);
        own = (event == claim_event_found_own -> version : own)
      :: event = claim_event_answer_lost
      :: event = claim_event_table_down
      :: event = claim_event_too_late
      fi;
      claim_step(state, event, action)
    }
  :: atomic {
      action == claim_action_check_deadline ->
      if
      :: true -> claim_step(state, claim_event_in_time, action)
      :: true -> claim_step(state, claim_event_too_late, action)
      fi
    }
  :: atomic {
      action == claim_action_forward ->
      if
      :: run_call(n);
        if
        :: event = claim_event_answered
        :: event = claim_event_no_answer
        fi
      :: event = claim_event_no_answer
      :: event = claim_event_not_sent
      fi;
      claim_step(state, event, action)
    }
  :: atomic {
      action == claim_action_store ->
      if
      :: version == own ->
        write_record(DONE, n + 1, excluded);
        if
        :: event = claim_event_stored
        :: event = claim_event_store_failed
        fi
      :: event = claim_event_store_failed
      fi;
      claim_step(state, event, action);
      break
    }
  :: atomic {
      action == claim_action_withdraw_late || action == claim_action_withdraw_unsent ->
      if
      :: version == own -> write_record(TOMBSTONE, n + 1, excluded | (1 << n))
      :: skip
      fi;
      report_not_run(n);
      break
    }
  :: atomic {
      action == claim_action_refuse_in_use || action == claim_action_refuse_tombstone ||
      action == claim_action_refuse_table_down ->
      report_not_run(n);
      released = (action == claim_action_refuse_table_down);
      break
    }
  :: atomic {
      action == claim_action_replay || action == claim_action_report_unknown ||
      action == claim_action_report_answer ->
      break
    }
  od;
  /* An attempt that gave up reading back releases its record if a lost write took effect. */
  atomic {
    released && kind == STARTED && owner == n + 1 ->
    write_record(TOMBSTONE, n + 1, excluded | (1 << n))
  }
}

/* Lets a late write take effect. */
active proctype late_writes() {
  byte n;
  do
  :: atomic {
      do
      :: n < ATTEMPTS - 1 -> n++
      :: break
      od;
      if
      :: late[n] != 0 ->
        if
        :: MATCHES(late[n] - 1) -> write_record(STARTED, n + 1, CARRIED)
        :: else -> skip
        fi;
        late[n] = 0
      :: else -> skip
      fi;
      n = 0
    }
  od
}

/* Settlement by the entry that lost the reply of attempt n. */
active [SETTLED] proctype settlement() {
  byte n = _pid - ATTEMPTS - 1;
  byte state = claim_settlement_initial;
  byte event, action, known;

  atomic { claim_settlement_step(state, claim_settlement_event_start, action) };
  do
  :: atomic {
      action == claim_settlement_action_insert || action == claim_settlement_action_extend ->
      if
      :: action == claim_settlement_action_insert -> known = 0
      :: else -> skip
      fi;
      if
      :: version == known ->
        write_record(TOMBSTONE, 0, excluded | (1 << n));
        if
        :: event = claim_settlement_event_inserted
        :: event = claim_settlement_event_answer_lost
        fi
      :: event = claim_settlement_event_table_down
      :: event = claim_settlement_event_answer_lost
      :: version != known -> classify_for_settlement(n, event)
      fi;
      claim_settlement_step(state, event, action)
    }
  :: atomic {
      action == claim_settlement_action_read ->
      if
      :: true -> classify_for_settlement(n, event)
      :: event = claim_settlement_event_answer_lost
      :: event = claim_settlement_event_table_down
      :: event = claim_settlement_event_too_late
      fi;
#ifdef ABSENCE_AS_PROOF
      if
      :: event == claim_settlement_event_found_absent -> report_not_run(n); break
      :: else -> skip
      fi;
#endif
      claim_settlement_step(state, event, action)
    }
  :: atomic {
      action == claim_settlement_action_wait ->
      if
      :: true -> claim_settlement_step(state, claim_settlement_event_poll, action)
      :: true -> claim_settlement_step(state, claim_settlement_event_too_late, action)
      fi
    }
  :: atomic {
      action == claim_settlement_action_report_not_run -> report_not_run(n); break
    }
  :: atomic {
      action == claim_settlement_action_report_unknown || action == claim_settlement_action_replay ->
      break
    }
  od
}
