package clovermill.controlplane.admin.decide;

/** The result of an operator's request to disable or enable a cache. */
public enum OutageCallResult {
    /** The change is in force, and recorded for the other processes of this director and for later starts. */
    DONE,
    /** No cache is known by that id. */
    UNKNOWN_CACHE,
    /** The change cannot be recorded now, so it would be lost at the end of this process; the call may be repeated. */
    NOT_RECORDED
}
