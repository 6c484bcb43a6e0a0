package clovermill.routing.api;

/** An action that the router requests from its host. */
public sealed interface Action permits Send, SendVia, Cancel, Reject, Fail, SetTimer, Probe, CloseIdle,
        SendPeerMessage, WatchMembers, FetchMembers, Log {}
