package clovermill.controlplane.discovery;

import clovermill.routing.api.Member;
import java.net.InetSocketAddress;

/**
 * An endpoint as the command channel lists it.
 *
 * @param member its attributes for routing, zone and kind as indexes of the settings' lists; without a start time
 * @param startedUnixMs the writer's stamp of its last start, 0 for long ago
 */
public record ListedEndpoint(Member member, InetSocketAddress address, long startedUnixMs) {

    /** The endpoint's identifier. */
    String id() {
        return member.id();
    }
}
