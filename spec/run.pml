/* One task between its agent and a backend server that answers late, loses answers and restarts under its id.
 *
 * The coordinator starts the task elsewhere once the agent has reported that the run is over or never began. The run must then
 * neither be running nor begin later. Mutations: NOBAR reports a start that got no answer without stopping it; NOTOKEN settles a
 * restart of the server without a listing under a raised token.
 */

#define MAX_ORDERS 2

byte inflightOld;      /* starts under way that carry the first token */
byte orders;           /* starts sent */
bool stopInflight;
bool running;
bool began;            /* the run number has been used in this life */
bool barred;           /* a stop has been carried out in this life */
bool endListed;
bool restarted;        /* the server's second life */
bool tokenRaised;      /* the server has seen the raised token */
bool answered, stopAcked;
bool agentKnowsRestart;
bool elsewhere;        /* the task has been started on another server */

active proctype Server()
{
    do
    :: atomic { inflightOld > 0 && !tokenRaised && !barred && !began ->
           inflightOld--; running = true; began = true;
           if
           :: answered = true
           :: skip /* the answer is lost */
           fi }
    :: atomic { inflightOld > 0 && (tokenRaised || barred || began) ->
           inflightOld--;
           if
           :: running && !tokenRaised -> answered = true /* a repeat is answered like the first */
           :: skip
           fi }
    :: atomic { stopInflight ->
           stopInflight = false; barred = true;
           if
           :: running -> running = false; endListed = true
           :: else
           fi;
           if
           :: stopAcked = true
           :: skip
           fi }
    :: atomic { running -> running = false; endListed = true }
    :: atomic { !restarted ->
           /* What had been sent to the former life goes with its connections; a later order may reach the next one. */
           restarted = true; running = false; began = false; barred = false; endListed = false; stopInflight = false;
           inflightOld = 0 }
    :: elsewhere && inflightOld == 0 && !running -> break
    od
}

active proctype Agent()
{
    byte state = 0; /* 0: started, 1: running, 2: doubtful */
    orders = 1; inflightOld = 1;
    do
    :: atomic { state == 0 && orders < MAX_ORDERS && !agentKnowsRestart -> orders++; inflightOld++ }
    :: atomic { state == 0 && answered -> state = 1 }
    :: atomic { state == 0 && !answered -> state = 2 }
#ifdef NOBAR
    :: atomic { state == 2 -> elsewhere = true; break }
#endif
    :: atomic { state == 2 && !stopInflight && !stopAcked -> stopInflight = true }
    /* A look that was sent after the acknowledgement, to the same life. */
    :: atomic { state == 2 && stopAcked && restarted == agentKnowsRestart && !restarted && !running -> elsewhere = true; break }
    :: atomic { state == 1 && !restarted && endListed -> elsewhere = true; break }
    :: atomic { restarted && !agentKnowsRestart ->
           agentKnowsRestart = true;
#ifdef NOTOKEN
           elsewhere = true; break
#endif
       }
    /* The listing of the new life carries the raised token; what runs there is stopped or goes on to its end. */
    :: atomic { agentKnowsRestart && !tokenRaised -> tokenRaised = true }
    :: atomic { agentKnowsRestart && tokenRaised && !running -> elsewhere = true; break }
    od
}

active proctype Monitor()
{
    atomic { elsewhere && running -> assert(false) }
}
