package clovermill.controlplane.discovery;

import clovermill.routing.api.Member;
import java.net.InetSocketAddress;

/**
 * An endpoint as listed by the command channel.
 *
 * @param member its routing attributes, with zone and kind as indexes into the settings' lists; without a start time
 * @param startedUnixMs the publisher's timestamp of its last start, 0 for long ago
 */
public record ListedEndpoint(Member member, InetSocketAddress address, long startedUnixMs) {

    /** Returns the endpoint's id. */
    String id() {
        return member.id();
    }
}
