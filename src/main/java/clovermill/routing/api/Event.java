package clovermill.routing.api;

/** An event that the host reports to the router. */
public sealed interface Event
        permits Request, ResponseStarted, AttemptEnded, RequestCancelled, MembersChanged, DisabledMembersChanged, Purge,
        SettingsChanged, TimerExpired, ProbeEnded, PeerMessage {}
