/*
 * Configuration: after a change was accepted, no decision that an entry makes as the holder of a
 * live lease uses an older revision at a target, and no entry goes back to a lower revision.
 *
 * Bounds: two entries, two changes in sequence. Without SEPARATE, both entries have links to one
 * agent, and a dispatch reaches it at any time after the lease was checked, so an entry that is
 * frozen in between is covered. With SEPARATE, each entry has an agent of its own in an availability
 * zone that is cut off from the other, and the check and the dispatch are one step: a freeze between
 * them in a cut-off availability zone is not covered, because no message can reach its agents.
 * Renewals take effect with or without an answer; answers arrive late; snapshots of peers carry any
 * revision that was ever in force. Time is abstract: the lease of a holder may end at any moment,
 * and the table may end it at any moment after that, because the holder counts from before its
 * request. A publication reaches the agents of the entry.
 *
 * Broken variants: NO_HEAD_CONDITION (a lease is taken whatever the head is), NO_AGENT_CHECK (the
 * agent accepts every revision), COUNT_FROM_ANSWER (the table may end a lease before its holder
 * does), NO_ORDER (an entry applies any revision that it receives), NO_PUBLISH (an entry reports a
 * revision before its agents have it), NO_EXECUTOR (a change is accepted although the entry that
 * executes it has not sent it to its agents).
 */

#include "generated/configuration_holder.pml"

#define ENTRIES 2
#define CHANGES 2
#define NONE 0
#define ACQUIRE 1
#define RENEW 2

/* Table. */
byte head;
bit table_live[ENTRIES];
byte table_applied[ENTRIES];

/* Greatest accepted revision, and greatest revision that each agent has seen. */
byte accepted;
byte agent_seen[ENTRIES];

/* Holders. */
byte state[ENTRIES] = configuration_holder_initial;
byte applied[ENTRIES];
byte published[ENTRIES];
bit over[ENTRIES];          /* the lease that the holder knows of is over */
byte grant[ENTRIES];        /* kind of a committed renewal whose answer is under way */
bit grant_over[ENTRIES];    /* its lease is over */

#ifdef NO_HEAD_CONDITION
#define HEAD_MATCHES(i) true
#else
#define HEAD_MATCHES(i) (published[i] == head)
#endif

/* The holder does not act under the lease that it knows of. */
#define KNOWN_OVER(i) (state[i] != configuration_holder_state_live || over[i])

#ifdef COUNT_FROM_ANSWER
#define MAY_END(i) true
#else
#define MAY_END(i) (KNOWN_OVER(i) && (grant[i] == NONE || grant_over[i]))
#endif

#ifdef NO_AGENT_CHECK
#define AGENT_ACCEPTS(revision) true
#else
#define AGENT_ACCEPTS(revision) (revision >= agent_seen[AGENT(i)])
#endif

#ifdef SEPARATE
#define AGENT(i) i
#define FREEZE false
#else
#define AGENT(i) 0
#define FREEZE true
#endif

/* The entry that executes a change has itself sent it to its agents. */
#ifdef NO_EXECUTOR
#define EXECUTOR_HAS(revision) true
#else
#define EXECUTOR_HAS(revision) (published[0] >= revision || published[1] >= revision)
#endif

inline apply(i, revision) {
  if
#ifndef NO_ORDER
  :: revision <= applied[i] -> skip
#endif
  :: else ->
    assert(revision >= applied[i]);
    applied[i] = revision
  fi
}

active [ENTRIES] proctype holder() {
  byte i = _pid;
  byte action, revision;
  do
  :: atomic { /* Reads the head from the table. */
      revision = head;
      configuration_holder_step(state[i], configuration_holder_event_revision_read, action);
      if
      :: action == configuration_holder_action_apply -> apply(i, revision)
      :: else -> skip
      fi;
      revision = 0; action = 0
    }
  :: atomic { /* A peer sends a snapshot of any revision so far, late ones included. */
      revision = 0;
      do
      :: revision < head -> revision++
      :: break
      od;
      configuration_holder_step(state[i], configuration_holder_event_snapshot_received, action);
      if
      :: action == configuration_holder_action_apply -> apply(i, revision)
      :: else -> skip
      fi;
      revision = 0; action = 0
    }
  :: atomic { /* Sends the revision to the agent. */
      published[i] < applied[i] ->
      published[i] = applied[i];
#ifndef NO_PUBLISH
      if
      :: applied[i] > agent_seen[AGENT(i)] -> agent_seen[AGENT(i)] = applied[i]
      :: else -> skip
      fi
#endif
    }
  :: atomic { /* A lease that is not held is taken at the head revision. */
      state[i] != configuration_holder_state_live && grant[i] == NONE &&
      !table_live[i] && HEAD_MATCHES(i) ->
      table_live[i] = 1;
      table_applied[i] = published[i];
      if
      :: grant[i] = ACQUIRE; grant_over[i] = 0
      :: over[i] = 1 /* The answer is lost. */
      fi
    }
  :: atomic { /* A lease that is held is renewed. */
      state[i] == configuration_holder_state_live && !over[i] && grant[i] == NONE &&
      table_live[i] ->
      table_applied[i] = published[i];
      if
      :: grant[i] = RENEW; grant_over[i] = 0
      :: skip /* The answer is lost. */
      fi
    }
  :: atomic { /* The answer of a renewal arrives. */
      grant[i] != NONE ->
      if
      :: state[i] == configuration_holder_state_live && over[i] ->
        configuration_holder_step(state[i], configuration_holder_event_expired, action)
      :: else -> skip
      fi;
      if
      :: grant_over[i] ->
        configuration_holder_step(state[i], configuration_holder_event_renewal_failed, action)
      :: !grant_over[i] && grant[i] == ACQUIRE ->
        configuration_holder_step(state[i], configuration_holder_event_acquired, action)
      :: !grant_over[i] && grant[i] == RENEW ->
        configuration_holder_step(state[i], configuration_holder_event_renewed, action)
      fi;
      if
      :: action == configuration_holder_action_enter_live ||
         action == configuration_holder_action_extend -> over[i] = 0
      :: else -> skip
      fi;
      grant[i] = NONE; grant_over[i] = 0; action = 0
    }
  :: atomic { /* The timer of the lease fires, at once or late. */
      state[i] == configuration_holder_state_live && over[i] ->
      configuration_holder_step(state[i], configuration_holder_event_expired, action);
      action = 0
    }
  od
}

/* Time: ends leases. */
active [ENTRIES] proctype clock() {
  byte i = _pid - ENTRIES;
  do
  :: atomic { state[i] == configuration_holder_state_live && !over[i] -> over[i] = 1 }
  :: atomic { /* A renewed lease ends after the one before. */
      grant[i] != NONE && !grant_over[i] && KNOWN_OVER(i) -> grant_over[i] = 1
    }
  :: atomic {
      table_live[i] && MAY_END(i) ->
      table_live[i] = 0
    }
  od
}

/* A dispatch arrives at the agent. */
inline arrive() {
  if
  :: AGENT_ACCEPTS(revision) ->
    assert(!live || revision >= accepted);
    if
    :: revision > agent_seen[AGENT(i)] -> agent_seen[AGENT(i)] = revision
    :: else -> skip
    fi
  :: else -> skip
  fi;
  revision = 0;
  live = 0
}

/* Decisions of an entry and their dispatches. */
active [ENTRIES] proctype decision() {
  byte i = _pid - 2 * ENTRIES;
  byte revision;
  bit live;
again:
  do
  :: atomic {
      revision = applied[i];
      live = (state[i] == configuration_holder_state_live && !over[i]);
      if
      :: FREEZE -> goto frozen
      :: !FREEZE -> skip
      fi;
      arrive()
    }
  od;
frozen:
  atomic { arrive(); goto again }
}
/* An operator makes changes one after the other. */
active proctype operator() {
  do
  :: atomic { head < CHANGES && accepted == head -> head++ }
  :: atomic {
      accepted < head && EXECUTOR_HAS(head) &&
      (!table_live[0] || table_applied[0] >= head) &&
      (!table_live[1] || table_applied[1] >= head) ->
      accepted = head
    }
  od
}
