package clovermill.controlplane.gossip.decide;

/** The failure detector's state of a peer, by the number of gossip rounds since its last message. */
public enum PeerState {
    /** It has sent a message within the last two rounds. */
    ALIVE,
    /** It has sent nothing for two rounds. */
    SUSPECT,
    /** It has sent nothing for five rounds; no loan is requested from it. */
    UNREACHABLE;

    private static final int SUSPECT_ROUNDS = 2;
    private static final int UNREACHABLE_ROUNDS = 5;

    /** Returns the state of a peer that has sent nothing for {@code rounds} complete rounds. */
    static PeerState afterSilentRounds(long rounds) {
        if (rounds < SUSPECT_ROUNDS) {
            return ALIVE;
        }
        return rounds < UNREACHABLE_ROUNDS ? SUSPECT : UNREACHABLE;
    }
}
