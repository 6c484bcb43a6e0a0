package clovermill.controlplane.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class ReconnectBackoffTest {

    /** Centre-cache has 250 ms for drains, skip-depots 500 ms; a channel that is back is reconnected within them. */
    @Property
    void aChannelThatIsBackIsReconnectedWithinTheWindow(
            @ForAll @LongRange(min = 100_000, max = 2_000_000) long windowMicros,
            @ForAll @LongRange(min = 0, max = 20_000_000) long reachableMicros, @ForAll boolean silent) {
        ReconnectBackoff backoff = new ReconnectBackoff(windowMicros, 400_000);
        long attemptMicros = backoff.nextDelayMicros();
        while (attemptMicros < reachableMicros) {
            attemptMicros += (silent ? backoff.connectTimeoutMicros() : 0) + backoff.nextDelayMicros();
        }
        assertThat(attemptMicros - reachableMicros).isLessThan(windowMicros);
        backoff.reset();
        assertThat(backoff.nextDelayMicros()).isZero();
    }
}
