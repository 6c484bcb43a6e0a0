package clovermill.controlplane.handover;

/** Whether another process of this director runs. */
public enum OtherProcess {
    /** None does. */
    NONE,
    /** One that started before this one, or that is not ready. */
    PRESENT,
    /** One that started later and is ready: new connections are for it. */
    SUCCESSOR
}
