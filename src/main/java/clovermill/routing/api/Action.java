package clovermill.routing.api;

/** Something that the host is to do. */
public sealed interface Action permits Send, SendVia, Cancel, Refuse, Fail, SetTimer, Probe, CloseIdle,
        Tell, Watch, FetchMembers, Log {}
