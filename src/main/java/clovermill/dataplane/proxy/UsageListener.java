package clovermill.dataplane.proxy;

import clovermill.routing.api.Members;

/**
 * Hears what became of every request, and may turn one away before the module sees it. All calls come on the
 * loop's thread and must not block. A director without one pays nothing for it.
 */
public interface UsageListener {

    /** What {@link #turnsAway} says of a request that is to be served. */
    long TAKEN = -1;

    /** After how many milliseconds a request is to come back, or {@link #TAKEN}; refused at once otherwise. */
    long turnsAway(ClientRequest ask);

    /** A request has ended in whatever way; called exactly once for each that was read. */
    void ended(UsageRecord usage);

    /** Passes on what the list of members tells. */
    void members(Members news);
}
