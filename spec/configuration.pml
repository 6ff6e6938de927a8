/* Configuration changes: two operators who write concurrently through two entries, a store with compare-and-swap whose responses can be
 * lost, watchers, a restart of an entry, and a store restored from a backup.
 *
 * Asserted: no process returns to a lower revision; a change that was reported as accepted is part of the final configuration; one that
 * was reported as refused is not.
 * With -DNOID the outcome after a lost response is inferred from the revision instead of the id of the change; the verifier must then
 * find an error.
 */

#define NONE 255

byte storeRevision = 0;
byte storeChange = NONE;    /* id of the change that created the revision */
bool inHistory[2];          /* ids that the stored value lists as recent changes */
byte responsesToLose = 1;   /* responses of the store that may still be lost */
bool restored = false;

byte entryRevision[2];
bool entryHas[2 * 2];       /* entryHas[e * 2 + c]: the revision that entry e uses contains change c */
bool reportedAccepted[2];
bool reportedRefused[2];
byte operatorsDone = 0;     /* operators that have an outcome */
byte faultsDone = 0;        /* how many of the processes Restore and Restart have finished */
byte watchersDone = 0;      /* watchers that have finished */

inline adopt(e)
{
    if
    :: storeRevision > entryRevision[e] ->
        entryRevision[e] = storeRevision;
        entryHas[e * 2] = inHistory[0];
        entryHas[e * 2 + 1] = inHistory[1]
    :: else -> skip
    fi
}

/* Operator `me` applies change `me` through entry `me`. */
proctype Operator(byte me)
{
    byte base = NONE;
    byte tries = 0;
    atomic { adopt(me); base = entryRevision[me] }
    do
    :: atomic {
        /* Checks first whether this change, or another one, has been applied already. */
        if
#ifdef NOID
        :: storeRevision == base + 1 && tries > 0 -> reportedAccepted[me] = true; break
        :: storeRevision != base && !(storeRevision == base + 1 && tries > 0) -> reportedRefused[me] = true; break
#else
        :: inHistory[me] -> reportedAccepted[me] = true; break
        :: !inHistory[me] && storeRevision != base -> reportedRefused[me] = true; break
#endif
        :: storeRevision == base && !inHistory[me] -> skip
        fi
       };
       atomic {
        if
        :: storeRevision == base ->
            storeRevision = base + 1; storeChange = me; inHistory[me] = true;
            if
            :: responsesToLose > 0 -> responsesToLose--; tries++
            :: reportedAccepted[me] = true; adopt(me); break
            fi
        :: storeRevision != base -> tries++
        fi
       }
    od;
    operatorsDone++
}

/* Each entry watches the store and also takes newer revisions from the other entry. */
proctype Watcher(byte e)
{
    byte before;
    byte other = 1 - e;
    do
    :: atomic { storeRevision > entryRevision[e] -> before = entryRevision[e]; adopt(e); assert(entryRevision[e] >= before) }
    :: atomic { entryRevision[other] > entryRevision[e] ->
        entryRevision[e] = entryRevision[other];
        entryHas[e * 2] = entryHas[other * 2];
        entryHas[e * 2 + 1] = entryHas[other * 2 + 1] }
    :: atomic { storeRevision < entryRevision[e] && restored ->
        /* The store was restored from a backup: write the newer revision back. */
        storeRevision = entryRevision[e];
        inHistory[0] = entryHas[e * 2];
        inHistory[1] = entryHas[e * 2 + 1] }
    :: operatorsDone == 2 && storeRevision == entryRevision[e] && entryRevision[other] == entryRevision[e] && faultsDone == 2 ->
        watchersDone++; break
    od
}

/* May restore the store to its empty initial state, once both operators have finished and entry 0 has the latest revision. */
proctype Restore()
{
    if
    :: atomic { operatorsDone == 2 && entryRevision[0] == storeRevision ->
        storeRevision = 0; inHistory[0] = false; inHistory[1] = false; restored = true }
    :: operatorsDone == 2 -> skip
    fi;
    faultsDone++
}

/* May restart entry 1, which loses its revision and later takes a newer one from the other entry or the store. It restarts only while the
 * other entry has a revision at least as new, so that no revision is lost. */
proctype Restart()
{
    if
    :: atomic { entryRevision[1] <= entryRevision[0] -> entryRevision[1] = 0; entryHas[2] = false; entryHas[3] = false }
    :: skip
    fi;
    faultsDone++
}

/* Checks the reported outcomes against the final configuration. */
proctype Final()
{
    watchersDone == 2;
    assert(!reportedAccepted[0] || entryHas[0]);
    assert(!reportedAccepted[1] || entryHas[1]);
    assert(!reportedRefused[0] || !entryHas[0]);
    assert(!reportedRefused[1] || !entryHas[1])
}

init
{
    atomic {
        run Operator(0);
        run Operator(1);
        run Watcher(0);
        run Watcher(1);
        run Restore();
        run Restart();
        run Final()
    }
}
