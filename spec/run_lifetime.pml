/* How long a run may outlast its coordinator. Time is discrete, a tick is 100 ms; lease times are in milliseconds of the server's clock.
 *
 * Entry A orders task J at the agent of server S1; entry C, which is always alive, has other runs there. When A is killed, the client of
 * J submits it again after R to entry B, which starts it at another server at once, as if it had never heard of the first run. Asserted: J
 * does not run at S1 from then on.
 *
 * The agent knows when A was last running, by the age of its messages, and starts J only within SILENCE after that. It asks the server to stop
 * J when A is silent for longer or has restarted; the stop may be carried out at any time or never. The lease of the server's runs ends them
 * all. Polls and starts extend it to an absolute time of the server's clock, which runs 2% slow, and may be carried out at any later time, or
 * never. So a call that is sent late by the agent, after a pause, is one more late call, and all lease times that were sent are kept as their
 * maximum. The rules that bound the life of a run:
 * 1. A poll does not extend the lease beyond LIMIT after the last time at which the coordinator of any of the agent's runs was running, and
 *    a start carries no later deadline.
 * 2. That time is frozen for a run when its coordinator falls silent or restarts.
 * 3. A run is not started while a lease time has been sent that is beyond its own limit: the lease never shortens.
 * 4. A new process of the agent extends no lease and starts no run until its server has shown that no run of its predecessor is left.
 *
 * FAILURES bounds the pauses and kills of the agent, PAUSES the pauses of A, ORDERS the orders of J. A killed entry may return at any time.
 *
 * Mutations: NOLIMIT, NOSTARTLIMIT (rule 1 without polls, without starts), NOFREEZE (rule 2, restarts), NOLEASECHECK (rule 3), PREDECESSOR
 * (rule 4), NORATE (the server's clock, not read for 20 s, counts as exact), LIMIT=14 (1.4 s). REACHDONE asserts that no run finishes,
 * REACHLAPSE that no lease ends the run of a killed coordinator, REACHORDER that a second process of the agent starts no run.
 * NOFAULTS: messages of A are at most 0.3 s old, a poll is answered at least every 0.3 s, a start is carried out within 0.2 s, and the server's
 * clock is exact; asserted: no lease expires under a run.
 *
 * Two cases that rules 1 to 4 don't cover. With R=10, B takes J over 1.0 s after the kill, because the connection of its client broke earlier
 * and the list of A, of up to 0.2 s before the kill, counts for 1.2 s only: it counts for 1.4 s, and for 1.6 s if A has restarted. With CUT, A
 * goes on, but B has lost it, and the client's connection breaks when J is ordered; the agent asks the server to stop J as unconfirmed. So the
 * agent applies REQUESTLIMIT as well: LIMIT also counts from the client's request.
 *
 * Not modelled: other knowledge that B has from the lists of A (coordination.pml), requests and confirmations as such, restarts of the server
 * (run.pml), leases that lapse under the runs of C, how long the server takes to kill a run.
 */

#ifndef FAILURES
#define FAILURES 1
#endif
#ifndef PAUSES
#define PAUSES 0
#endif
#ifndef ORDERS
#define ORDERS 1
#endif

/* In ticks. */
#ifndef R
#define R 13                /* a client resubmits this long after the connection broke */
#endif
#define SILENCE 7           /* coordinatorTimeout */
#define ORDER_AGE 3         /* maxOrderAge */
#define UNCONFIRMED 11      /* unconfirmedJobTimeout */
#ifndef LIMIT
#define LIMIT 12
#endif
#define HORIZON 20          /* after the kill of A */
#define OLD 15
#define NEVER 255

/* In milliseconds. */
#define LEASE 700           /* leaseDuration */
#define START 400           /* startValidity */
#define IDLE_ERROR 400      /* 2% of 20 s */

#ifdef NOFAULTS
#define RATE 100            /* of the server's clock, for each tick */
#else
#define RATE 98
#endif
#ifdef NORATE
#define MIN_RATE 100        /* as the agent assumes */
#else
#define MIN_RATE 98
#endif

/* Entry A. */
bool upA = true, pausedA = false;
bool newA = false;          /* returned as another incarnation */
byte killAge = NEVER;       /* ticks since the kill */
byte trueAge = 0;           /* ticks since A was running */
byte orderAge = NEVER;      /* ticks since the order in transit was sent */
byte ordersLeft = ORDERS, pausesLeft = PAUSES, failuresLeft = FAILURES;

/* The agent's process. */
mtype = { ACTIVE, PAUSED, DOWN, NONE, QUEUED, BOOKED };
mtype agent = ACTIVE;
bool second = false;        /* second process */
bool echoed = true;         /* A has run since this process started, so its messages have a known age */
bool reconciled = true;
bool seesNewA = false;
mtype record = NONE;        /* of the run of J */
byte age = OLD;              /* ticks since A is known to have been running; the run is bounded by this time */
bool frozen = false;         /* the age is no longer updated */
bool stopSent = false;
short known = 0;            /* latest lease time sent by this process, less the server's time; 0 if past */

/* Server S1. */
short flight = 0;           /* latest lease time sent by any process */
short lease = 0;
short startDeadline = 0;    /* of a start request of J that may still be carried out; 0 if there is none */
bool running = false;
#ifdef NORATE
short clockError = IDLE_ERROR;  /* by which the agent's estimate of the server's clock is ahead */
#else
#define clockError 0
#endif
#ifdef NOFAULTS
bool polled = false;        /* in this tick */
byte sinceAnswer = 0;       /* ticks since the latest answered poll; the agent's estimate of the clock lags by 2% of it */
#define mayDelayPoll (sinceAnswer < 2)
#define mayDelayStart (startDeadline == 0 || startDeadline > START - 2 * RATE)
#define answerable (!running || (polled && lease == flight))
#define mayMissA (record == NONE || age < 3)
#else
#define sinceAnswer 0
#define mayDelayPoll true
#define mayDelayStart true
#define answerable true
#define mayMissA true
#endif

#define activeA (upA && !pausedA)
#define silenceLimit(age) (age < LIMIT -> MIN_RATE * (LIMIT - age) : 0)
#ifdef REQUESTLIMIT
/* In the run with CUT, the request is as old as the cut. */
#define requestAge (killAge == NEVER -> 0 : killAge)
#define limit(age) (silenceLimit(age) < silenceLimit(requestAge) -> silenceLimit(age) : silenceLimit(requestAge))
#else
#define limit(age) silenceLimit(age)
#endif
#ifdef NOLEASECHECK
#define leaseAllows true
#else
#define leaseAllows (known <= limit(age))
#endif

inline raise(value, to)
{
    if :: to > value -> value = to :: else -> skip fi
}

inline older(timer, maximum)
{
    if :: timer < maximum -> timer++ :: else -> skip fi
}

inline elapse(value)
{
    value = (value > RATE -> value - RATE : 0)
}

/* Sends a call that extends the lease for `duration`, at most to the limit of J if `limited`. */
inline extend(duration, limited)
{
    time = duration;
    if
    :: limited && record == BOOKED && limit(age) < time -> time = limit(age)
    :: else -> skip
    fi;
    raise(known, time);
    raise(flight, time + clockError - 2 * sinceAnswer)
}

inline loseCoordinator()
{
    if
    :: record == QUEUED -> record = NONE; age = OLD
    :: record == BOOKED -> stopSent = true; frozen = true
    :: else -> skip
    fi
}

inline hear(messageAge)
{
    if :: messageAge < age -> age = messageAge :: else -> skip fi
}

inline sendStart()
{
    time = START;
#ifndef NOSTARTLIMIT
    if :: limit(age) < time -> time = limit(age) :: else -> skip fi;
#endif
    raise(known, time);
    raise(startDeadline, time + clockError - 2 * sinceAnswer);
    raise(flight, time + clockError - 2 * sinceAnswer)
}

inline clearProcess()
{
    echoed = false; reconciled = false; age = OLD; seesNewA = false; record = NONE; frozen = false; stopSent = false; known = 0;
    orderAge = NEVER
}

active proctype Clock()
{
    short time = 0;
    do
    ::
        d_step {
            if :: killAge != NEVER -> killAge++ :: else -> skip fi;
            if :: activeA -> trueAge = 0 :: else -> older(trueAge, OLD) fi;
            if :: orderAge != NEVER && orderAge <= ORDER_AGE -> orderAge++ :: else -> orderAge = NEVER fi;
            older(age, OLD);
            elapse(known); elapse(flight); elapse(lease); elapse(startDeadline);
#ifdef NOFAULTS
            older(sinceAnswer, 3); polled = false;
#endif
            /* The lease has expired. */
            if
            :: lease == 0 && running ->
#ifdef NOFAULTS
                assert(false);
#endif
#ifdef REACHLAPSE
                assert(killAge == NEVER);
#endif
                running = false; startDeadline = 0
            :: else -> skip
            fi
        };
#ifndef NOFAULTS
        /* Faults. */
        atomic {
            if
#ifdef CUT
            :: killAge == NEVER && ordersLeft < ORDERS -> killAge = 0
#else
            :: killAge == NEVER && ordersLeft < ORDERS -> killAge = 0; upA = false; pausedA = false
#endif
            :: killAge != NEVER && killAge > 0 && !newA && !upA -> newA = true
            :: pausesLeft > 0 && activeA && ordersLeft < ORDERS -> pausesLeft--; pausedA = true
            :: pausedA -> pausedA = false
            :: skip
            fi
        };
        atomic {
            if
            :: failuresLeft > 0 && agent == ACTIVE -> failuresLeft--; agent = PAUSED
            :: agent == PAUSED -> agent = ACTIVE
            :: failuresLeft > 0 && !second -> failuresLeft--; agent = DOWN; second = true; clearProcess()
            :: agent == DOWN -> agent = ACTIVE
            :: skip
            fi
        };
#endif
        /* Orders and heartbeats of A. */
        atomic {
            if :: activeA && agent != DOWN && second -> echoed = true :: else -> skip fi;
            if
            :: activeA && ordersLeft > 0 && agent != DOWN && echoed && reconciled && record == NONE && orderAge == NEVER ->
                ordersLeft--; orderAge = 0
            :: skip
            fi;
            if
            :: mayMissA -> skip
            :: agent == ACTIVE && !seesNewA && echoed && record != NONE && !frozen -> d_step { hear(trueAge) }
            :: agent == ACTIVE && newA -> d_step {
                seesNewA = true; loseCoordinator();
#ifdef NOFREEZE
                if :: record == BOOKED -> frozen = false; age = 0 :: else -> skip fi
#endif
                }
            fi;
            if
            :: agent == ACTIVE && orderAge != NEVER && orderAge <= ORDER_AGE && !seesNewA && record == NONE ->
                d_step { age = orderAge; record = QUEUED; orderAge = NEVER }
            :: skip
            fi
        };
        /* Decisions of the agent. */
        atomic {
            d_step { if :: agent == ACTIVE && age > SILENCE -> loseCoordinator() :: else -> skip fi };
#ifdef CUT
            d_step { if :: agent == ACTIVE && killAge != NEVER && killAge >= UNCONFIRMED -> loseCoordinator() :: else -> skip fi };
#endif
            /* A poll. */
            if
#ifdef PREDECESSOR
            :: d_step { agent == ACTIVE && (reconciled || running) ->
#else
            :: d_step { agent == ACTIVE && reconciled ->
#endif
#ifdef NOLIMIT
                extend(LEASE, false)
#else
                extend(LEASE, true)
#endif
#ifdef NOFAULTS
                ; polled = true
#endif
                }
            :: mayDelayPoll -> skip
            fi;
            /* A start for C. */
            if
            :: d_step { agent == ACTIVE && reconciled ->
#ifdef NOSTARTLIMIT
                extend(START, false)
#else
                extend(START, true)
#endif
                }
            :: skip
            fi;
            /* A start of J. */
            if
            :: d_step { agent == ACTIVE && reconciled && record == QUEUED && age < SILENCE && leaseAllows ->
                record = BOOKED; sendStart();
#ifdef REACHORDER
                assert(!second);
#endif
                }
            /* The start is repeated. */
            :: d_step { agent == ACTIVE && reconciled && record == BOOKED && !frozen && age < SILENCE && startDeadline > 0 -> sendStart() }
            :: skip
            fi;
            time = 0
        };
        /* The server. */
        atomic {
            if
            :: startDeadline > 0 && !running -> d_step { raise(lease, startDeadline); running = true; startDeadline = 0 }
            :: stopSent -> d_step { running = false; startDeadline = 0 }
            :: running ->
#ifdef REACHDONE
                assert(false);
#endif
                break
            :: mayDelayStart -> skip
            fi;
            if
            :: running && flight > lease -> lease = flight
            :: mayDelayPoll || !running || flight <= lease -> skip
            fi;
            /* The lease that others had before the start of J is among the times in flight. */
            d_step { if :: !running -> lease = 0 :: else -> skip fi };
            /* The agent receives the answer to a poll. */
            if
            :: agent == ACTIVE && answerable -> d_step {
#ifdef NORATE
                clockError = 0;
#endif
#ifdef NOFAULTS
                sinceAnswer = 0;
#endif
                if
                :: reconciled && record == BOOKED && !running && startDeadline == 0 -> record = NONE; age = OLD; frozen = false; stopSent = false
                :: !reconciled && running -> stopSent = true
                /* The higher fencing token of the poll makes the server refuse the predecessor's start. */
                :: !reconciled && !running -> startDeadline = 0; reconciled = true; stopSent = false
                :: else -> skip
                fi }
            :: mayDelayPoll -> skip
            fi
        };
        d_step { assert(!(killAge != NEVER && killAge >= R && running)) };
        if :: killAge != NEVER && killAge >= HORIZON -> break :: else -> skip fi
    od
}
