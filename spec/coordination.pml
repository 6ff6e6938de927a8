/* One coordinator for a job: entries A and B, and the agents as one process X. Time is discrete, a tick is 100 ms.
 *
 * A admits job J at any tick; its run lasts until it is stopped. B may receive J again at any tick from R after the admission on, any number
 * of times, and admits it if the rules allow. Heartbeats are sent every 2 ticks, with any phase, and arrive in the same tick or the next one.
 * Asserted: J never runs for A and for B at once. CUTS, RESTARTS, PAUSES and CRASHES bound the number of faults: cut links (each direction
 * between A and B separately, A-X, B-X; each may heal later), restarts of B, pauses of A or B, crashes of A (with ARESTART it returns as
 * another incarnation).
 *
 * LATEFAULTS allows faults only after the admission of J, and with PROMPT messages to and from agents arrive in the same tick; both keep the
 * search small where there are two faults.
 *
 * The constants and rules are those first written down, in which the verifier finds double runs after one pause and after two other faults.
 * PROPOSED: F = 1.0 s; a list is fresh for 1.0 s; a former incarnation counts for 2.0 s; an entry counts as dead only when reports have
 * arrived without a gap; the list of an entry that has just restarted isn't fresh; a job waits 0.5 s at B while B has no fresh list of A and
 * A isn't dead. Seeing the restart is modelled coarsely: once B has heard the second incarnation of A, A's lists never count as fresh.
 *
 * Mutations: NOCONFIRM (A doesn't give J up), NOHOLD (B admits jobs at once after a start), SHORTJOIN (B joins for 1.2 s only), LATEREAD (a
 * request from an ended connection is submitted; its client resubmits at once), NOWITNESS (an entry silent for 1.2 s counts as dead),
 * DISCOVER (a started B doesn't know A until it hears of it), LATECHECK (rule 3 is checked after the messages of a tick only). The verifier
 * must find an error in each. REACH asserts that B never admits J after a crash of A; NEEDLESS asserts that A never gives J up; with
 * NORETURN B doesn't return after a crash.
 *
 * Not modelled: agents that reach different entries (a partition with agents on both sides), cuts of one direction between an entry and the
 * agents (agents know an entry to be running by an echo, so that either cut ends its runs), messages that arrive more than a tick late,
 * agents that pause or crash, admission by the evidence of the agents (fleet_evidence.pml), start orders in flight, jobs that A admits after a pause, B's own rule 3 (J never ends at B), drift of clocks.
 */

#ifndef CUTS
#define CUTS 0
#endif
#ifndef RESTARTS
#define RESTARTS 0
#endif
#ifndef PAUSES
#define PAUSES 0
#endif
#ifndef CRASHES
#define CRASHES 0
#endif

#ifdef PROPOSED
#define F 10
#define WAIT 5
#define FRESH 10
#define FORMERD 20
#define GAP
#endif

/* Constants of the protocol, in ticks. */
#ifndef R
#define R 13                /* a client resubmits this long after the connection broke */
#endif
#ifndef S
#define S 2                 /* a stop takes up to this long */
#endif
#ifndef G
#define G 9                 /* unconfirmed job */
#endif
#ifndef F
#define F 14                /* job in a confirmed list */
#endif
#ifndef D
#define D 20                /* B joins: A is alive */
#endif
#ifndef DEADD
#define DEADD 12            /* B joins: A is dead */
#endif
#ifndef FORMERD
#define FORMERD 12          /* B joins: former incarnation of A */
#endif
#ifndef W
#define W 20                /* B admits nothing after a start, a pause or a time without agents */
#endif
#ifndef FRESH
#define FRESH 12            /* age of a list that makes the wait unnecessary */
#endif
#ifndef WAIT
#define WAIT 0              /* a job waits this long at B while the list of A, which isn't dead, is older than FRESH */
#endif
#define AGENT_TIMEOUT 7     /* an agent stops the runs of an entry that it hasn't heard for so long */
#define WITNESS 4           /* an entry named by an agent within this time is alive */
#define PAUSE_LIMIT 7
#define NEVER 31
#define OLD 16              /* ages of lists above this one are not told apart */

#ifdef SHORTJOIN
#undef D
#define D 12
#endif

byte parity = 0, phaseB = 0, phaseX = 0;
byte cutsLeft = CUTS, restartsLeft = RESTARTS, pausesLeft = PAUSES, crashesLeft = CRASHES;
bool upAB = true, upBA = true, upAX = true, upBX = true;

/* Entry A. */
bool upA = true, pausedA = false;
bool newA = false;          /* second incarnation */
mtype = { NOTYET, RUNNING, GIVENUP };
mtype job = NOTYET;         /* J at A */
byte jobAge = 0;            /* ticks since the admission of J */
byte confirmed = NEVER;     /* age of the newest list with J that B has confirmed, by sending time */
byte reportA = 0;           /* ticks since the last report of an agent */
byte witnessB = 0;          /* ticks since the last report that named B */
byte heardB = 0;            /* ticks since B was heard; with NOWITNESS only */

/* Entry B. */
bool upB = true, pausedB = false;
byte pauseB = 0;            /* length of the pause */
bool listed = false;        /* J is in the newest list of A */
byte listSent = 0;          /* age of that list by sending time */
byte listReceived = 0;      /* ticks since it arrived */
bool seesNewA = false;      /* B has heard the second incarnation of A */
bool formerListed = false;  /* J was in the list of the first one */
byte formerReceived = 0;
byte reportB = 0, witnessA = 0;
byte witnessSelf = 0;       /* ticks since a report that named B itself */
byte hold = 0;              /* ticks for which B admits no job */
bool knowsA = true;
bool admittedB = false;

/* Agents. */
byte knownA = 0, knownB = 0;    /* ticks since the entry was known to be running */
bool knowsNewA = false;
bool runA = false, runB = false;
byte stopping = 0;          /* ticks left of the stop of A's run + 1, or 0 */

/* Messages that arrive in the next tick: 0 none. */
byte inAB = 0;              /* 1 + J listed + 2 * second incarnation */
byte inBA = 0;              /* 1 without a list with J, or 2 + age of that list */
bool inAX = false, inBX = false;
byte inXA = 0;              /* 1 + names B */
byte inXB = 0;              /* 1 + names A + 2 * names B */
bool listsB = false;        /* A has a list of B with J; with LATEREAD only */

#ifdef PROMPT
#define delays false        /* messages to and from the agents arrive in the same tick */
#else
#define delays true
#endif
#ifdef LATEFAULTS
#define begun (job != NOTYET)
#else
#define begun true
#endif
#define activeA (upA && !pausedA)
#define activeB (upB && !pausedB)
#define inList (job == RUNNING || (job == GIVENUP && runA))
#ifdef NOWITNESS
#define aliveB (heardB < 12)
#define deadA (listReceived >= 12)
#else
#define aliveB (witnessB <= WITNESS || reportA > WITNESS)
#define deadA (witnessA > WITNESS && reportB <= WITNESS)
#endif
#define mayGoOn (!aliveB || (confirmed == NEVER && jobAge < G) || (confirmed != NEVER && confirmed < F))
#define joined ((listed && ((deadA && listReceived < DEADD) || (!deadA && listReceived < D))) || (formerListed && formerReceived < FORMERD))
#ifdef PROPOSED
#define fresh (listSent <= FRESH && !seesNewA)
#else
#define fresh (listSent <= FRESH)
#endif
#define mayAdmit (hold == 0 || !knowsA || fresh)

inline older(timer, limit)
{
    if :: timer < limit -> timer++ :: else -> skip fi
}

inline receiveAB(message, age)
{
    if
    :: (message - 1) / 2 == 1 && !seesNewA -> seesNewA = true; formerListed = listed; formerReceived = listReceived
    :: else -> skip
    fi;
    listed = (message - 1) % 2; listSent = age; listReceived = 0; knowsA = true
}

inline receiveBA(message, age)
{
    heardB = 0;
    if
    :: message > 1 && job == RUNNING && !newA && message - 2 + age < confirmed -> confirmed = message - 2 + age
    :: else -> skip
    fi;
    listsB = admittedB
}

inline receiveXA(message)
{
#ifdef GAP
    if :: reportA > WITNESS -> witnessB = 0 :: else -> skip fi;
#endif
    reportA = 0;
    if :: message == 2 -> witnessB = 0 :: else -> skip fi
}

inline receiveXB(message)
{
#ifdef GAP
    if :: reportB > WITNESS -> witnessA = 0 :: else -> skip fi;
#endif
    reportB = 0;
    if :: (message - 1) % 2 == 1 -> witnessA = 0; knowsA = true :: else -> skip fi;
    if :: (message - 1) / 2 == 1 -> witnessSelf = 0 :: else -> skip fi
}

inline startStop()
{
    if :: runA && stopping == 0 -> stopping = S + 1 :: else -> skip fi
}

inline receiveAX(age)
{
    knownA = age;
    if :: newA && !knowsNewA -> knowsNewA = true; startStop() :: else -> skip fi
}

/* B forgets everything that it knew. */
inline clearB()
{
    pausedB = false; pauseB = 0; listed = false; listSent = NEVER; listReceived = NEVER; seesNewA = false; formerListed = false;
    formerReceived = 0; reportB = NEVER; witnessA = NEVER; witnessSelf = 0; hold = 0; inBA = 0; inBX = false; inXB = 0; inAB = 0
}

/* Rule 3, before any message is processed: a confirmation that arrives too late doesn't prolong J. */
inline checkJob()
{
#ifndef NOCONFIRM
    if
    :: job == RUNNING && activeA && !mayGoOn ->
        job = GIVENUP; confirmed = NEVER;
#ifdef NEEDLESS
        assert(false)
#endif
    :: else -> skip
    fi
#else
    skip
#endif
}

inline advanceTime()
{
    parity = 1 - parity;
    if :: job != NOTYET -> older(jobAge, R + WAIT) :: else -> skip fi;
    if :: confirmed != NEVER && confirmed < F -> confirmed++ :: else -> skip fi;
    older(reportA, WITNESS + 1);
    older(witnessB, WITNESS + 1);
#ifdef NOWITNESS
    older(heardB, 12);
#endif
    older(reportB, WITNESS + 1);
    older(witnessA, WITNESS + 1);
    older(knownA, AGENT_TIMEOUT + 1);
    older(knownB, AGENT_TIMEOUT + 1);
    if
    :: upB ->
        older(listSent, OLD);
        older(listReceived, D);
        if :: formerListed -> older(formerReceived, FORMERD) :: else -> skip fi;
        if :: formerReceived == FORMERD -> formerListed = false; formerReceived = 0 :: else -> skip fi;
        older(witnessSelf, AGENT_TIMEOUT + 1);
        if :: hold > 0 -> hold-- :: else -> skip fi;
        if :: pausedB -> older(pauseB, PAUSE_LIMIT + 1) :: else -> skip fi
    :: else -> skip
    fi;
#ifndef LATECHECK
    checkJob();
#endif
    /* Messages of the last tick. */
    if :: inAB > 0 && upAB && activeB -> receiveAB(inAB, 1) :: else -> skip fi;
    if :: inBA > 0 && upBA && activeA -> receiveBA(inBA, 1) :: else -> skip fi;
    if :: inAX && upAX -> receiveAX(1) :: else -> skip fi;
    if :: inBX && upBX -> knownB = 1 :: else -> skip fi;
    if :: inXA > 0 && upAX && activeA -> receiveXA(inXA) :: else -> skip fi;
    if :: inXB > 0 && upBX && activeB -> receiveXB(inXB) :: else -> skip fi;
    inAB = 0; inBA = 0; inAX = false; inBX = false; inXA = 0; inXB = 0
}

active proctype Clock()
{
    if :: phaseB = 0 :: phaseB = 1 fi;
    if :: phaseX = 0 :: phaseX = 1 fi;
    do
    :: /* Faults. */
        do
        :: atomic { cutsLeft > 0 && upAB && begun -> cutsLeft--; upAB = false }
        :: atomic { cutsLeft > 0 && upBA && begun -> cutsLeft--; upBA = false }
        :: atomic { cutsLeft > 0 && upAX && begun -> cutsLeft--; upAX = false }
        :: atomic { cutsLeft > 0 && upBX && begun -> cutsLeft--; upBX = false }
        :: !upAB -> upAB = true
        :: !upBA -> upBA = true
        :: !upAX -> upAX = true
        :: !upBX -> upBX = true
        :: atomic { pausesLeft > 0 && activeA && job != NOTYET -> pausesLeft--; pausedA = true }
        :: pausedA -> pausedA = false      /* rule 3 is checked before the first message, below */
        :: atomic { pausesLeft > 0 && activeB && begun && !admittedB -> pausesLeft--; pausedB = true }
        :: d_step { pausedB -> pausedB = false; if :: pauseB > PAUSE_LIMIT -> hold = W :: else -> skip fi; pauseB = 0 }
        :: d_step { restartsLeft > 0 && upB && begun && !admittedB -> restartsLeft--; upB = false; clearB() }
#ifndef NORETURN
        :: atomic { !upB -> upB = true; hold = W;
#ifdef DISCOVER
            knowsA = false;
#endif
            if :: phaseB = 0 :: phaseB = 1 fi }
#endif
        :: d_step { crashesLeft > 0 && upA && job != NOTYET -> crashesLeft--; upA = false; pausedA = false; job = GIVENUP; confirmed = NEVER;
            inXA = 0; inBA = 0 }
#ifdef ARESTART
        :: d_step { !upA && !newA -> upA = true; newA = true }
#endif
        :: break
        od;
        atomic {
            advanceTime();
            /* Heartbeats. */
            if
            :: parity == 0 && activeA ->
                if
                :: upAB && activeB -> d_step { receiveAB(1 + inList * (1 - newA) + 2 * newA, 0) }
                :: upAB && activeB -> inAB = 1 + inList * (1 - newA) + 2 * newA
                :: else -> skip
                fi;
                if
                :: upAX -> d_step { receiveAX(0) }
                :: upAX && delays -> inAX = true
                :: !upAX -> skip
                fi
            :: else -> skip
            fi
        };
        atomic {
            if
            :: parity == phaseB && activeB ->
                if
                :: upBA && activeA -> d_step { receiveBA((listed -> 2 + listSent : 1), 0) }
                :: upBA && activeA -> inBA = (listed -> 2 + listSent : 1)
                :: else -> skip
                fi;
                if
                :: upBX -> knownB = 0
                :: upBX && delays -> inBX = true
                :: !upBX -> skip
                fi
            :: else -> skip
            fi
        };
        atomic {
            if
            :: parity == phaseX ->
                if
                :: upAX && activeA -> d_step { receiveXA(1 + (knownB <= AGENT_TIMEOUT)) }
                :: upAX && activeA && delays -> inXA = 1 + (knownB <= AGENT_TIMEOUT)
                :: else -> skip
                fi;
                if
                :: upBX && activeB -> d_step { receiveXB(1 + (knownA <= AGENT_TIMEOUT) + 2 * (knownB <= AGENT_TIMEOUT)) }
                :: upBX && activeB && delays -> inXB = 1 + (knownA <= AGENT_TIMEOUT) + 2 * (knownB <= AGENT_TIMEOUT)
                :: else -> skip
                fi
            :: else -> skip
            fi
        };
        atomic {
            /* A admits J, or gives it up by rule 3. */
            if
            :: atomic { job == NOTYET && activeA && upAX && knownA <= AGENT_TIMEOUT && !listsB -> job = RUNNING; jobAge = 0 }
            :: job == NOTYET -> skip
            :: job != NOTYET -> checkJob()
            fi;

            /* The agents start and stop A's run. */
            d_step {
                if
                :: job == RUNNING && activeA && upAX && knownA <= AGENT_TIMEOUT -> runA = true; stopping = 0
                :: else ->
                    if
                    :: knownA > AGENT_TIMEOUT || (job == GIVENUP && activeA && upAX && !newA) -> startStop()
                    :: else -> skip
                    fi
                fi;
                if
                :: stopping > 0 -> stopping--; if :: stopping == 0 -> runA = false :: else -> skip fi
                :: else -> skip
                fi
            };
            if
            :: atomic { stopping > 0 -> runA = false; stopping = 0 }    /* faster than the limit */
            :: skip
            fi
        };
        atomic {
            /* B admits J. */
            d_step {
                if :: upB && witnessSelf > AGENT_TIMEOUT -> hold = W :: else -> skip fi;
#ifdef NOHOLD
                hold = 0;
#endif
            };
            if
            :: atomic { activeB && !admittedB && !joined && mayAdmit &&
#ifndef LATEREAD
                job != NOTYET && jobAge >= R && (jobAge >= R + WAIT || fresh || deadA)
#else
                true
#endif
                -> admittedB = true
#ifdef REACH
                ; assert(upA || runA)
#endif
                }
            :: skip
            fi;
            d_step {
                if :: admittedB && upB && upBX && knownB <= AGENT_TIMEOUT -> runB = true :: else -> skip fi;
                assert(!(runA && runB))
            };
        };
#ifndef REACH
        /* J runs no more for A. */
        if :: job == GIVENUP && !runA -> break :: else -> skip fi
#endif
    od
}
