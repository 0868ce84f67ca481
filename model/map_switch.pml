/*
 * Map change of a group whose engines take orders directly: in every pass, all ranks use the same
 * map. Follows crates/core/src/dispatch/map_switch.rs and the placer's checks before a hold.
 *
 * Bounds: RANKS ranks, two placers that believe to place the group at the same time, PASSES passes.
 * Each placer makes TASKS attempts, each either a change or the freeing of a held group. A placer
 * may stop between any two orders, for a while or for ever. An order that was given may be carried
 * out at each rank it was given to at any later time, any number of times, or never; so loss,
 * delay, repetition and answers that are lost are covered.
 *
 * Assumption: loading lasts longer than the passes between an estimate and the pass that is held.
 * When a placer has loaded its experts, the group has therefore begun each pass that was held and
 * released before, or waits for a pass that is still held. SHORT_LOADING drops the assumption.
 *
 * Broken variants: NO_HOLD (arms without a held pass), EARLY_RELEASE (releases after the first
 * armed rank), NO_VOID (undoes without a newer version), COMMON_HOLDER (frees a group without a
 * hold of its own), HOLD_OVER_HELD (does not look for passes that are held), RELEASE_AFTER_SILENCE
 * (releases a pass whose hold was not answered), DISARM_PREPARED (frees a group by disarming a
 * version that is only prepared).
 */

#ifndef RANKS
#define RANKS 2
#endif
#ifndef PASSES
#define PASSES 2
#endif
#ifndef TASKS
#define TASKS 2
#endif
#define PLACERS 2
/* Versions are unique to a placer: version v belongs to placer v % PLACERS. */
#define VERSIONS 4

/* Kinds of orders. */
#define PREPARE 0
#define ARM 1
#define DISARM 2
#define HOLD 3
#define RELEASE 4

/* Last pass that was begun, and the state of each rank; 0 stands for none. */
byte begun;
byte map_version[RANKS];
byte prepared[RANKS];
byte highest[RANKS];
byte armed[RANKS];
byte armed_pass[RANKS];
byte held[RANKS];

/* Orders that were given, as bit masks: of versions, of the passes that a version is armed for, and
 * of passes by rank. */
short sent_prepare;
short sent_disarm;
byte sent_arm[VERSIONS + 1];
byte sent_hold[RANKS];
byte sent_release[RANKS];

/* Highest pass that was ever held; serves the assumption only. */
byte highest_held;

#define BIT(n) (1 << (n))

/* Carries out an order at rank p. */
inline carry_out(kind, p, v, s) {
  d_step {
    if
    :: kind == PREPARE ->
      accepted = (prepared[p] == v || map_version[p] == v);
      if
      :: !accepted && armed[p] == 0 && v > highest[p] ->
        accepted = true;
        highest[p] = v;
        prepared[p] = v
      :: else -> skip
      fi
    :: kind == ARM ->
      accepted = (prepared[p] == v && s > begun);
      if
      :: accepted -> armed[p] = v; armed_pass[p] = s
      :: else -> skip
      fi
    :: kind == DISARM ->
      accepted = (map_version[p] != v);
      if
      :: accepted && armed[p] == v -> armed[p] = 0; armed_pass[p] = 0
      :: else -> skip
      fi
    :: kind == HOLD ->
      accepted = (s > begun && (held[p] == 0 || held[p] == s));
      if
      :: accepted ->
        held[p] = s;
        if
        :: s > highest_held -> highest_held = s
        :: else -> skip
        fi
      :: else -> skip
      fi
    :: kind == RELEASE ->
      accepted = true;
      if
      :: held[p] == s -> held[p] = 0
      :: else -> skip
      fi
    fi
  }
}

/* Forgets orders that cannot change anything any more. It serves the size of the search only. */
inline forget() {
  v = 1;
  do
  :: v <= VERSIONS ->
    useless = true;
    p = 0;
    do
    :: p < RANKS -> useless = useless && highest[p] >= v; p++
    :: else -> break
    od;
    if
    :: useless -> sent_prepare = sent_prepare & ~BIT(v)
    :: else -> skip
    fi;
    /* A superseded version is neither armed nor disarmed. */
    p = 0;
    do
    :: p < RANKS -> useless = useless && highest[p] > v && prepared[p] != v && armed[p] != v; p++
    :: else -> break
    od;
    if
    :: useless -> sent_disarm = sent_disarm & ~BIT(v); sent_arm[v] = 0
    :: else -> sent_arm[v] = sent_arm[v] & ~(BIT(begun + 1) - 1)
    fi;
    v++
  :: else -> break
  od;
  p = 0;
  do
  :: p < RANKS ->
    sent_hold[p] = sent_hold[p] & ~(BIT(begun + 1) - 1);
    sent_release[p] = sent_release[p] & ~(BIT(begun + 1) - 1);
    p++
  :: else -> break
  od;
  p = 0; v = 0; useless = false
}

/* The group begins a pass unless a rank holds it. Ranks that are armed for it switch. */
active proctype group() {
  byte p, v;
  bit waits, useless;
  do
  :: d_step {
      begun < PASSES ->
      waits = false;
      p = 0;
      do
      :: p < RANKS -> waits = waits || held[p] == begun + 1; p++
      :: else -> break
      od;
      if
      :: waits -> skip
      :: else ->
        begun++;
        p = 0;
        do
        :: p < RANKS ->
          if
          :: armed[p] != 0 && armed_pass[p] == begun ->
            map_version[p] = armed[p];
            prepared[p] = 0;
            armed[p] = 0;
            armed_pass[p] = 0
          :: else -> skip
          fi;
          p++
        :: else -> break
        od;
        p = 1;
        do
        :: p < RANKS -> assert(map_version[p] == map_version[0]); p++
        :: else -> break
        od;
        forget()
      fi;
      p = 0;
      waits = false
    }
  od
}

/* Carries out an order that was given, without an answer. */
active proctype network() {
  byte p, v, s;
  bit accepted, useless;
  do
  :: atomic {
      do
      :: p < RANKS - 1 -> p++
      :: break
      od;
      v = 1;
      do
      :: v < VERSIONS -> v++
      :: break
      od;
      s = 1;
      do
      :: s < PASSES -> s++
      :: break
      od;
      if
      :: sent_prepare & BIT(v) -> carry_out(PREPARE, p, v, s)
      :: sent_disarm & BIT(v) -> carry_out(DISARM, p, v, s)
      :: sent_arm[v] & BIT(s) -> carry_out(ARM, p, v, s)
      :: sent_hold[p] & BIT(s) -> carry_out(HOLD, p, v, s)
      :: sent_release[p] & BIT(s) -> carry_out(RELEASE, p, v, s)
      :: else -> skip
      fi;
      d_step { forget(); s = 0; accepted = 0 }
    }
  od
}

/* Notes that an order is given, to rank p or to all. */
inline give(kind, p, v, s) {
  if
  :: kind == PREPARE -> sent_prepare = sent_prepare | BIT(v)
  :: kind == DISARM -> sent_disarm = sent_disarm | BIT(v)
  :: kind == ARM -> sent_arm[v] = sent_arm[v] | BIT(s)
  :: kind == HOLD -> sent_hold[p] = sent_hold[p] | BIT(s)
  :: kind == RELEASE -> sent_release[p] = sent_release[p] | BIT(s)
  fi
}

/* Outcomes of an order. */
#define ACCEPTED 0
#define REFUSED 1
#define UNANSWERED 2

/* Gives an order to one rank. An order without an answer is carried out by the network, or not. */
inline order_one(kind, p, v, s) {
  atomic {
    give(kind, p, v, s);
    if
    :: true ->
      carry_out(kind, p, v, s);
      outcome = (accepted -> ACCEPTED : REFUSED);
      accepted = 0
    :: true -> outcome = UNANSWERED
    fi
  }
}

/* Gives an order to all ranks; a refusal counts before a missing answer. Stops at the first rank
 * that does not accept it: the network carries out the orders to the others in any order. */
inline order_all(kind, v, s) {
  atomic { give(kind, 0, v, s); rank = 0; outcome = ACCEPTED };
  do
  :: rank < RANKS && outcome == ACCEPTED -> order_one(kind, rank, v, s); rank++
  :: else -> break
  od;
  rank = 0
}

/* Disarms all ranks; a refusal is as good as an acceptance. */
inline disarm_all(v) {
  atomic { give(DISARM, 0, v, 0); rank = 0; outcome = ACCEPTED };
  do
  :: rank < RANKS && outcome != UNANSWERED -> order_one(DISARM, rank, v, 0); rank++
  :: else -> break
  od;
  rank = 0
}

/* Takes a version of placer c that was not used yet. */
inline take_version(c) {
  atomic {
    do
    :: next_version + PLACERS <= VERSIONS -> next_version = next_version + PLACERS
    :: break
    od;
    if
    :: next_version <= VERSIONS -> taken = next_version; next_version = next_version + PLACERS
    :: else -> taken = 0
    fi
  }
}

/* Undoes the change of version v, then releases the pass s at the ranks first and second. */
inline undo(c, v, s, first, second) {
  do
  :: true ->
    if
    :: v != 0 -> disarm_all(v)
    :: else -> outcome = ACCEPTED
    fi;
    if
    :: outcome == UNANSWERED -> break
    :: else -> skip
    fi;
#ifndef NO_VOID
    take_version(c);
    if
    :: taken == 0 -> break
    :: else -> skip
    fi;
    order_all(PREPARE, taken, 0);
#else
    outcome = ACCEPTED;
#endif
    if
    :: outcome == ACCEPTED ->
      order_one(RELEASE, first, 0, s);
      order_one(RELEASE, second, 0, s);
      break
    :: outcome == REFUSED -> skip
    :: outcome == UNANSWERED -> break
    fi
  od
}

active [PLACERS] proctype placer() {
  byte c = _pid % PLACERS;
  byte next_version = c + 1;
  byte taken, version, pass, holder, rank, outcome, tasks;
  bit accepted;

  do
  :: tasks < TASKS -> tasks++;
    if
    :: true -> /* Change. */
      take_version(c);
      version = taken;
      if
      :: version == 0 -> goto done
      :: else -> skip
      fi;
      order_all(PREPARE, version, 0);
      if
      :: outcome != ACCEPTED -> goto done
      :: else -> skip
      fi;
      /* Loads the experts, looks at the ranks at which passes are held and estimates the pass. */
      atomic {
#ifndef SHORT_LOADING
        begun >= highest_held || held[0] == begun + 1 || held[1] == begun + 1;
#endif
#ifndef HOLD_OVER_HELD
        if
        :: held[0] != 0 || held[1] != 0 -> goto done
        :: else -> skip
        fi;
#endif
        pass = begun + 1;
        do
        :: pass < PASSES -> pass++
        :: break
        od;
        if
        :: pass > PASSES -> goto done
        :: else -> skip
        fi
      };
#ifndef NO_HOLD
      order_one(HOLD, 0, 0, pass);
      if
      :: outcome == REFUSED -> goto done
      :: outcome == UNANSWERED ->
#ifdef RELEASE_AFTER_SILENCE
        order_one(RELEASE, 0, 0, pass);
#endif
        goto done
      :: else -> skip
      fi;
#endif
#ifdef EARLY_RELEASE
      order_one(ARM, 0, version, pass);
      order_one(RELEASE, 0, 0, pass);
#endif
      order_all(ARM, version, pass);
      if
      :: outcome == ACCEPTED -> order_one(RELEASE, 0, 0, pass)
      :: else -> undo(c, version, pass, 0, 0)
      fi
    :: true -> /* Freeing of a group that another placer has left held. */
      atomic {
        if
        :: held[0] == begun + 1 -> holder = 0
        :: held[1] == begun + 1 -> holder = 1
        :: else -> goto done
        fi;
        pass = begun + 1;
        /* The highest version that a rank has armed. One that is only prepared is not disarmed: the
         * order could come late, when its placer has armed it. */
        rank = 0;
        version = 0;
        do
        :: rank < RANKS ->
          version = (armed[rank] > version -> armed[rank] : version);
#ifdef DISARM_PREPARED
          version = (armed[rank] == 0 && prepared[rank] > version -> prepared[rank] : version);
#endif
          rank++
        :: else -> break
        od;
        rank = 0
      };
#ifndef COMMON_HOLDER
      order_one(HOLD, 1 - holder, 0, pass);
      if
      :: outcome != ACCEPTED -> goto done
      :: else -> skip
      fi;
#endif
      undo(c, version, pass, holder, 1 - holder)
    fi;
done:
    taken = 0; version = 0; pass = 0; holder = 0; rank = 0; outcome = 0
  :: else -> break
  od
}
