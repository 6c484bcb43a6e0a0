package clovermill.controlplane.handover;

/** The state of another process of this director, as this process sees it. */
public enum OtherProcess {
    /** No other process runs. */
    NONE,
    /** Another process runs that started before this one or is not ready. */
    PRESENT,
    /** Another process runs that started later and is ready: it accepts the new connections. */
    SUCCESSOR
}
