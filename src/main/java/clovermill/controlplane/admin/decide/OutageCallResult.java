package clovermill.controlplane.admin.decide;

/** The result of an operator's call that disables or enables a cache. */
public enum OutageCallResult {
    /** In force, and recorded for the other processes of this director and for later starts. */
    DONE,
    /** No endpoint has that id. */
    UNKNOWN_CACHE,
    /** It cannot be recorded now, so that the end of this process would undo it; the call may be repeated. */
    NOT_RECORDED
}
