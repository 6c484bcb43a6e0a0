package clovermill.controlplane.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

class ReconnectBackoffTest {

    /** Centre-cache has 250 ms for drains, skip-depots 500 ms; a channel that is back is dialled within them. */
    @Property
    void aChannelThatIsBackIsDialledWithinTheWindow(@ForAll @LongRange(min = 100_000, max = 2_000_000) long windowUs,
            @ForAll @LongRange(min = 0, max = 20_000_000) long backUs, @ForAll boolean silent) {
        ReconnectBackoff redial = new ReconnectBackoff(windowUs, 400_000);
        long dialledUs = redial.waitUs();
        while (dialledUs < backUs) {
            dialledUs += (silent ? redial.dialUs() : 0) + redial.waitUs();
        }
        assertThat(dialledUs - backUs).isLessThan(windowUs);
        redial.reached();
        assertThat(redial.waitUs()).isZero();
    }
}
