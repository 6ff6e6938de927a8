/* A run of one task between its agent and a backend server that executes requests late, loses responses, and restarts with the same id.
 *
 * The coordinator starts the task on another server once the agent has reported that the run has ended or never started. At that point the
 * run must not be running and must not start later. Mutations: with -DNOSTOP the agent reports an unanswered start without stopping the
 * run; with -DNOTOKEN it reports after a restart of the server without first polling it with a higher fencing token. In both the verifier
 * must find a double run: the task starts elsewhere while the run is still running.
 */

#define MAX_STARTS 2

byte startsInflight;    /* start requests in flight, all with the first fencing token */
byte startsSent;        /* start requests sent */
bool stopInflight;      /* a stop request is in flight */
bool running;
bool runNumberUsed;     /* this incarnation of the server has used the run number */
bool stopExecuted;      /* this incarnation has executed a stop, so the run can no longer start */
bool listedAsEnded;     /* the server lists the run as ended */
bool restarted;         /* the server is in its second incarnation */
bool tokenRaised;       /* the server has seen the higher token */
bool startAnswered, stopAcked;  /* the agent has received the response to the start, to the stop */
bool restartNoticed;    /* the agent has noticed the second incarnation */
bool startedElsewhere;  /* the task may run on another server */

active proctype Server()
{
    do
    :: atomic { startsInflight > 0 && !tokenRaised && !stopExecuted && !runNumberUsed ->
           startsInflight--; running = true; runNumberUsed = true;
           if
           :: startAnswered = true
           :: skip /* the response is lost */
           fi }
    :: atomic { startsInflight > 0 && (tokenRaised || stopExecuted || runNumberUsed) ->
           startsInflight--;
           if
           :: running && !tokenRaised -> startAnswered = true /* a retransmission gets the same response */
           :: skip
           fi }
    :: atomic { stopInflight ->
           stopInflight = false; stopExecuted = true;
           if
           :: running -> running = false; listedAsEnded = true
           :: else
           fi;
           if
           :: stopAcked = true
           :: skip
           fi }
    :: atomic { running -> running = false; listedAsEnded = true }
    :: atomic { !restarted ->
           /* Requests in flight to the first incarnation are lost with its connections; later ones may reach the second. */
           restarted = true; running = false; runNumberUsed = false; stopExecuted = false; listedAsEnded = false; stopInflight = false;
           startsInflight = 0 }
    :: startedElsewhere && startsInflight == 0 && !running -> break
    od
}

active proctype Agent()
{
    byte state = 0; /* 0: start sent, 1: running, 2: start unanswered */
    startsSent = 1; startsInflight = 1;
    do
    :: atomic { state == 0 && startsSent < MAX_STARTS && !restartNoticed -> startsSent++; startsInflight++ }
    :: atomic { state == 0 && startAnswered -> state = 1 }
    :: atomic { state == 0 && !startAnswered -> state = 2 }
#ifdef NOSTOP
    :: atomic { state == 2 -> startedElsewhere = true; break }
#endif
    :: atomic { state == 2 && !stopInflight && !stopAcked -> stopInflight = true }
    /* A poll after the acknowledged stop, answered by the same incarnation, shows that the run is not running. */
    :: atomic { state == 2 && stopAcked && restarted == restartNoticed && !restarted && !running -> startedElsewhere = true; break }
    :: atomic { state == 1 && !restarted && listedAsEnded -> startedElsewhere = true; break }
    :: atomic { restarted && !restartNoticed ->
           restartNoticed = true;
#ifdef NOTOKEN
           startedElsewhere = true; break
#endif
       }
    /* The poll of the second incarnation carries the higher token; a run found there is stopped or runs to its end. */
    :: atomic { restartNoticed && !tokenRaised -> tokenRaised = true }
    :: atomic { restartNoticed && tokenRaised && !running -> startedElsewhere = true; break }
    od
}

active proctype Monitor()
{
    atomic { startedElsewhere && running -> assert(false) }
}
