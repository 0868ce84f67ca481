/*
 * Expert map change of one group: in every step, all ranks use the same map.
 *
 * Bounds: RANKS participants, two coordinators with fencing tokens 1 and 2 that both stay active
 * for ever (a lapsed lease whose holder does not notice), one change for each coordinator, STEPS
 * steps, any gate step. An order that was sent may be delivered to each participant at any time,
 * never, or repeatedly, so loss, delay, duplication and reordering are all covered. A reply is lost
 * or takes effect with the delivery; a late reply would change nothing, because a coordinator keeps
 * the answers of its phase while it is paused, and a participant that has answered a query accepts
 * no order of an earlier coordinator. A participant stands for an agent and its engine together.
 *
 * Broken variants: NO_GATE (a rank at its gate does not wait for the decision), NO_FENCING (orders
 * with an old token are accepted), EARLY_COMMIT (commit after the first armed participant).
 */

#ifndef RANKS
#define RANKS 2
#endif
#ifndef STEPS
#define STEPS 3
#endif
#define COORDINATORS 2

#include "generated/map_participant.pml"
#include "generated/map_coordinator.pml"

/* Kinds of orders. */
#define PREPARE 0
#define ARM 1
#define COMMIT 2
#define ABORT 3
#define QUERY 4
#define KINDS 5

#ifdef NO_GATE
#define WAITS(p) false
#else
#define WAITS(p) (state[p] == map_participant_state_armed && gate[p] == next_step[p])
#endif

#ifdef EARLY_COMMIT
#define EARLY(k) (k == ARM)
#else
#define EARLY(k) false
#endif

/* Participants. */
byte state[RANKS] = map_participant_initial;
byte token[RANKS];
byte open_change[RANKS];
byte gate[RANKS];
byte ended[RANKS];
byte map_version[RANKS];

/* Ranks: the next step, and the map that was used in each step plus 1. */
byte next_step[RANKS];
byte used[STEPS * RANKS];

/* Orders in the network, by coordinator and kind: 0, or the change plus 1. */
byte sent[COORDINATORS * KINDS];
byte sent_gate[COORDINATORS];

/* Coordinators. */
byte coordinator_state[COORDINATORS] = map_coordinator_initial;
byte change[COORDINATORS];
byte answered[COORDINATORS];     /* bit mask of participants whose reply counted */
byte highest_open[COORDINATORS]; /* of the query: the highest open change */
bit committed_seen[COORDINATORS * 3]; /* of the query: change c is decided somewhere */

inline deliver(c, k, p) {
  d_step {
    accepted = false;
    if
#ifndef NO_FENCING
    :: c + 1 < token[p] -> skip
#endif
    :: else ->
      if
      :: c + 1 > token[p] -> token[p] = c + 1
      :: else -> skip
      fi;
      asked = sent[c * KINDS + k] - 1;
      settled = (k == QUERY) || (k == COMMIT && map_version[p] == asked);
      if
      :: settled -> accepted = true
      :: else ->
        /* A change that ended is not opened again, and an order for another change is refused,
         * except that an abort also ends earlier changes. */
        refused = (k == PREPARE && asked <= ended[p] && open_change[p] != asked) ||
          (open_change[p] != 0 && open_change[p] != asked && !(k == ABORT && asked >= open_change[p])) ||
          (k == ABORT && open_change[p] == 0 && asked == map_version[p] && asked != 0) ||
          (k == ARM && state[p] == map_participant_state_prepared && next_step[p] >= sent_gate[c]) ||
          (k == ARM && state[p] == map_participant_state_armed && gate[p] != sent_gate[c]);
        if
        :: refused -> skip
        :: else ->
          event = (k == PREPARE -> map_participant_event_prepare :
                  (k == ARM -> map_participant_event_arm :
                  (k == COMMIT -> map_participant_event_commit : map_participant_event_abort)));
          map_participant_step(state[p], event, action);
          accepted = (action != map_participant_ignored);
          if
          :: accepted && k == PREPARE -> open_change[p] = asked
          :: accepted && k == COMMIT -> open_change[p] = asked
          :: accepted && k == ARM -> gate[p] = sent_gate[c]
          :: accepted && k == ABORT ->
            open_change[p] = 0;
            gate[p] = 0;
            if
            :: asked > ended[p] -> ended[p] = asked
            :: else -> skip
            fi
          :: else -> skip
          fi
        fi
      fi
    fi;
    settled = false; refused = false; event = 0; action = 0
  }
}

/* A rank enters its next step when every rank has entered the one before. */
active [RANKS] proctype rank() {
  byte p = _pid;
  byte q, action;
  do
  :: atomic {
      next_step[p] < STEPS && !WAITS(p) &&
      next_step[p] <= next_step[(p + 1) % RANKS] &&
      next_step[p] <= next_step[(p + 2) % RANKS] ->
      d_step {
        if
        :: state[p] == map_participant_state_committed && gate[p] <= next_step[p] ->
          map_participant_step(state[p], map_participant_event_switched, action);
          map_version[p] = open_change[p];
          if
          :: open_change[p] > ended[p] -> ended[p] = open_change[p]
          :: else -> skip
          fi;
          open_change[p] = 0;
          gate[p] = 0
        :: else -> skip
        fi;
        used[next_step[p] * RANKS + p] = map_version[p] + 1;
        q = 0;
        do
        :: q < RANKS ->
          assert(used[next_step[p] * RANKS + q] == 0 ||
                 used[next_step[p] * RANKS + q] == map_version[p] + 1);
          q++
        :: else -> break
        od;
        q = 0; action = 0;
        next_step[p]++
      }
    }
  od
}

inline send_order(c, k, asked) {
  sent[c * KINDS + k] = asked + 1
}

inline enter_phase(c) {
  answered[c] = 0
}

/* Takes the reply of participant p to an order of kind k, if it belongs to the current phase. */
inline receive(c, p, k) {
  if
  :: k == QUERY && coordinator_state[c] != map_coordinator_state_querying -> skip
  :: k == PREPARE && coordinator_state[c] != map_coordinator_state_preparing -> skip
  :: k == ARM && coordinator_state[c] != map_coordinator_state_arming -> skip
  :: k == COMMIT && coordinator_state[c] != map_coordinator_state_committing -> skip
  :: k == ABORT && coordinator_state[c] != map_coordinator_state_aborting -> skip
  :: k != QUERY && asked != change[c] -> skip
  :: else ->
    if
    :: !accepted ->
      map_coordinator_step(coordinator_state[c], map_coordinator_event_refused, action);
      perform(c)
    :: else ->
      answered[c] = answered[c] | (1 << p);
      if
      :: k == QUERY ->
        if
        :: state[p] != map_participant_state_stepping && open_change[p] > highest_open[c] ->
          highest_open[c] = open_change[p]
        :: else -> skip
        fi;
        if
        :: state[p] == map_participant_state_committed ->
          committed_seen[c * 3 + open_change[p]] = 1
        :: else -> skip
        fi;
        committed_seen[c * 3 + map_version[p]] = 1
      :: else -> skip
      fi;
      complete = (answered[c] == (1 << RANKS) - 1) || EARLY(k);
      if
      :: complete && k == QUERY ->
        event = (highest_open[c] == 0 -> map_coordinator_event_none_open :
                (committed_seen[c * 3 + highest_open[c]] -> map_coordinator_event_some_committed :
                 map_coordinator_event_none_committed));
        change[c] = highest_open[c];
        map_coordinator_step(coordinator_state[c], event, action);
        perform(c)
      :: complete && k != QUERY ->
        map_coordinator_step(coordinator_state[c], map_coordinator_event_all_accepted, action);
        perform(c)
      :: else -> skip
      fi
    fi
  fi
}

inline perform(c) {
  if
  :: action == map_coordinator_action_send_query -> send_order(c, QUERY, 0); enter_phase(c)
  :: action == map_coordinator_action_send_prepare -> send_order(c, PREPARE, change[c]); enter_phase(c)
  :: action == map_coordinator_action_send_arm ->
    /* The gate is any step; participants refuse one that they have reached. */
    if
    :: sent_gate[c] = 1
    :: sent_gate[c] = 2
    :: STEPS > 3 -> sent_gate[c] = 3
    fi;
    send_order(c, ARM, change[c]);
    enter_phase(c)
  :: action == map_coordinator_action_send_commit -> send_order(c, COMMIT, change[c]); enter_phase(c)
  :: action == map_coordinator_action_send_abort -> send_order(c, ABORT, change[c]); enter_phase(c)
  :: else -> enter_phase(c)
  fi;
  action = 0
}

/* Delivers any order that was sent to any participant. */
active proctype network() {
  byte c, k, p, asked, event, action;
  bit accepted, settled, refused, complete;
  do
  :: atomic {
      if
      :: c = 0
      :: c = 1
      fi;
      if
      :: k = PREPARE
      :: k = ARM
      :: k = COMMIT
      :: k = ABORT
      :: k = QUERY
      fi;
      do
      :: p < RANKS - 1 -> p++
      :: break
      od;
      if
      :: sent[c * KINDS + k] != 0 ->
        deliver(c, k, p);
        if
        :: receive(c, p, k)
        :: skip /* The reply is lost. */
        fi
      :: else -> skip
      fi;
      c = 0; k = 0; p = 0; asked = 0; event = 0; action = 0; accepted = 0; complete = 0
    }
  od
}

/* What a coordinator does by itself. */
active [COORDINATORS] proctype coordinator() {
  byte c = _pid - 1 - RANKS;
  byte action;
  bit proposed;

  /* The successor starts at any time. */
  atomic {
    map_coordinator_step(coordinator_state[c], map_coordinator_event_retry, action);
    perform(c)
  };
  do
  :: atomic {
      coordinator_state[c] == map_coordinator_state_ready && !proposed ->
      proposed = 1;
      change[c] = c + 1;
      map_coordinator_step(coordinator_state[c], map_coordinator_event_propose, action);
      perform(c)
    }
  :: atomic {
      /* A deadline may end any phase that can be given up. */
      coordinator_state[c] == map_coordinator_state_preparing ||
      coordinator_state[c] == map_coordinator_state_arming ->
      map_coordinator_step(coordinator_state[c], map_coordinator_event_deadline, action);
      perform(c)
    }
  od
}
