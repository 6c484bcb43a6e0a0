package clovermill.controlplane.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class ReconnectBackoffTest {

    /** Centre-cache has 250 ms for drains, skip-depots 500 ms; a channel that is back is reconnected within them. */
    @Property
    void aChannelThatIsBackIsReconnectedWithinTheWindow(
            @ForAll @LongRange(min = 100_000, max = 2_000_000) long windowUs,
            @ForAll @LongRange(min = 0, max = 20_000_000) long reachableUs, @ForAll boolean silent) {
        ReconnectBackoff backoff = new ReconnectBackoff(windowUs, 400_000);
        long attemptUs = backoff.nextDelayUs();
        while (attemptUs < reachableUs) {
            attemptUs += (silent ? backoff.connectTimeoutUs() : 0) + backoff.nextDelayUs();
        }
        assertThat(attemptUs - reachableUs).isLessThan(windowUs);
        backoff.reset();
        assertThat(backoff.nextDelayUs()).isZero();
    }
}
