/* Admission by the evidence of the agents: entry A has restarted or is not heard, and entry B has just started. Time is discrete, a tick is
 * 100 ms. This model adds the rule of docs/design/admission-after-restart.md to coordination.pml, whose rules it leaves out.
 *
 * Job J is requested from A at tick 0, and its client's connection breaks at once, so B may receive J again from tick R on. A sends start
 * orders for J at any time, each of which arrives within ORDERAGE ticks or never, and may end at any time and return as another incarnation.
 * The agent X hears A at any tick or not, may end and return once, and reports to B at any tick. The server runs on; it ends a run when its
 * lease expires or at any time before (a stop, or the end of the running). B admits J if the latest report of X is at most REPORTAGE ticks old, X
 * has examined its server, does not name the first incarnation of A, and does not list J. Asserted: J never runs for A once B has admitted
 * it. Further agents behave like X, independently, and B needs the reports of all.
 *
 * Mutations: NOEXAMINE (reports of an agent that has not listed its server's runs count), NOLIST (B admits jobs that X lists), ANYNAME (the
 * first incarnation of A may be named), NOCONTACT (X accepts orders for jobs that were requested long before it heard A). The verifier must
 * find an error in each. REACH asserts that B never admits J.
 */

#define R 13                /* a client resubmits this long after its connection broke */
#define ORDERAGE 3
#define REPORTAGE 5         /* a report counts while it is younger than 0.6 s */
#define CONTACTAGE 7        /* maxJobAgeAtContact */
#define AGENT_TIMEOUT 7     /* an entry is named for this long after it was known to be running */
#define LEASE 7
#define RUNLIMIT 12         /* leases are not extended beyond this after A was known to be running */
#define NEVER 13
#define NONE 15
#define END 24              /* J is not admitted by evidence later: the limits of time have passed */

byte jobAge = 0;
bool upA = true, newA = false;      /* first and second incarnation of A */
byte orderAge = NONE;               /* order in flight */
bool orderToNew = false;            /* addressed to the second incarnation of X */

bool upX = true, newX = false, examined = true;
byte heard = 0;                     /* incarnation of A that X has heard last; 0 none */
byte knownA = NEVER;                /* ticks since A was known to be running */
byte contactAge = 0;                /* age of J when X heard A for the first time or again */
bool recorded = false;              /* X knows of the run */

bool running = false;
byte lease = 0;

byte reportAge = NONE;
bool reportExamined, reportNames, reportLists;
bool admitted = false;

#ifdef NOEXAMINE
#define hasExamined true
#else
#define hasExamined reportExamined
#endif
#ifdef ANYNAME
#define namesFormer false
#else
#define namesFormer reportNames
#endif
#ifdef NOLIST
#define listsJob false
#else
#define listsJob reportLists
#endif
#define mayRely (hasExamined && !namesFormer && !listsJob)
#define live (upX && heard == 1 && knownA <= AGENT_TIMEOUT)

inline hear(age)
{
    if
    :: heard == 1 && knownA <= AGENT_TIMEOUT -> skip
    :: else -> contactAge = jobAge
    fi;
    heard = 1;
    if :: age < knownA -> knownA = age :: else -> skip fi
}

inline startRun()
{
#ifndef NOCONTACT
    if
    :: contactAge <= CONTACTAGE ->
#endif
        running = true; recorded = true; lease = (RUNLIMIT - knownA < LEASE -> RUNLIMIT - knownA : LEASE)
#ifndef NOCONTACT
    :: else -> skip
    fi
#endif
}

active proctype Clock()
{
    if :: heard = 1; knownA = 0 :: skip fi;
    do
    :: atomic { jobAge < END -> 
        /* Processes end and return. */
        if :: upA -> upA = false :: !upA && !newA -> newA = true :: skip fi;
        if
        :: upX && !newX -> upX = false; recorded = false; examined = false; heard = 0; knownA = NEVER
        :: !upX -> upX = true; newX = true
        :: skip
        fi;
        /* A sends an order. */
        if :: upA && orderAge == NONE -> orderAge = 0; orderToNew = newX :: skip fi;
        /* X hears A. */
        if
        :: upX && upA && heard < 2 -> hear(0)
        :: upX && newA -> heard = 2; knownA = 0
        :: skip
        fi;
        /* The order arrives. */
        if
        :: upX && heard < 2 && orderAge <= ORDERAGE && orderToNew == newX -> hear(orderAge); startRun(); orderAge = NONE
        :: skip
        fi;
        /* X lists the runs of its server. */
        if
        :: upX && !examined -> examined = true; recorded = running
        :: skip
        fi;
        /* X renews the lease of the runs of a coordinator that it knows. */
        if
        :: upX && running && heard == 1 && recorded && knownA < RUNLIMIT ->
            lease = (RUNLIMIT - knownA < LEASE -> (RUNLIMIT - knownA > lease -> RUNLIMIT - knownA : lease) : LEASE)
        :: skip
        fi;
        /* The run ends. */
        if :: running -> running = false; recorded = false :: skip fi;
        assert(!(admitted && running));
        /* X reports to B. */
        if
        :: upX ->
            reportAge = 0; reportExamined = examined; reportNames = live; reportLists = recorded && !live
        :: skip
        fi;
        /* B receives J again. */
        if
        :: jobAge >= R && reportAge <= REPORTAGE && mayRely ->
#ifdef REACH
            assert(false);
#endif
            admitted = true; assert(!running)
        :: skip
        fi;
        /* Time. */
        jobAge++;
        if :: orderAge < ORDERAGE -> orderAge++ :: orderAge == ORDERAGE -> orderAge = NONE :: else -> skip fi;
        if :: knownA < NEVER -> knownA++ :: else -> skip fi;
        if :: reportAge < REPORTAGE -> reportAge++ :: reportAge == REPORTAGE -> reportAge = NONE :: else -> skip fi;
        if :: lease > 0 -> lease-- :: else -> skip fi;
        if :: lease == 0 && running -> running = false; recorded = false :: else -> skip fi
        }
    :: jobAge == END -> break
    od
}
