package clovermill.routing.api;

/** Something that has happened. */
public sealed interface Event permits Request, Started, Outcome, ClientGone, Members, Operated, Purge,
        Retuned, Timer, Probed, PeerMessage {}
