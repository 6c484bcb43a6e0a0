package clovermill.prove.scale;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;

/**
 * The location and the addresses of each director. Every director has a loopback address of its own and a second one
 * that belongs to the link emulator; others know only the second one.
 */
record Topology(int directors, int fleetPort, int accordPort) {

    /** The control-plane part that a datagram belongs to. */
    enum Part { FLEET, ACCORD }

    static final int REGIONS = 6;
    static final int ZONES = 12;
    private static final long IN_ZONE_US = 2_000;
    private static final long IN_REGION_US = 10_000;
    private static final long BETWEEN_REGIONS_US = 80_000;
    private static final int LOOPBACK = 127;
    private static final int OWN_NET = 20;
    private static final int LINK_NET = 21;
    /** Addresses per value of the third octet, so that none ends in 0 or 255. */
    private static final int ADDRESSES_PER_OCTET = 250;

    static int region(int director) {
        return director % REGIONS;
    }

    static int zone(int director) {
        return director / REGIONS % ZONES;
    }

    /** Returns the delay of a datagram from one director to another. */
    static long delayUs(int from, int to) {
        if (region(from) != region(to)) {
            return BETWEEN_REGIONS_US;
        }
        return zone(from) == zone(to) ? IN_ZONE_US : IN_REGION_US;
    }

    /** Returns the address to which a director's own socket is bound. */
    InetSocketAddress real(int director, Part part) {
        return address(OWN_NET, director, part);
    }

    /** Returns the address to which others send datagrams for a director. */
    InetSocketAddress link(int director, Part part) {
        return address(LINK_NET, director, part);
    }

    /** Returns the director whose own socket has an address, or -1. */
    int directorAt(InetAddress address) {
        byte[] octets = address.getAddress();
        int director = (octets[2] & 0xff) * ADDRESSES_PER_OCTET + (octets[3] & 0xff) - 1;
        return octets[1] == OWN_NET && director >= 0 && director < directors ? director : -1;
    }

    /** Returns the addresses for one director's settings: its own socket, and the links to all others. */
    List<String> addresses(int self, Part part) {
        List<String> all = new ArrayList<>();
        for (int i = 0; i < directors; i++) {
            InetSocketAddress each = i == self ? real(i, part) : link(i, part);
            all.add(each.getAddress().getHostAddress() + ":" + each.getPort());
        }
        return all;
    }

    private InetSocketAddress address(int net, int director, Part part) {
        byte[] octets = {LOOPBACK, (byte) net, (byte) (director / ADDRESSES_PER_OCTET),
            (byte) (director % ADDRESSES_PER_OCTET + 1)};
        try {
            return new InetSocketAddress(InetAddress.getByAddress(octets), part == Part.FLEET ? fleetPort : accordPort);
        } catch (UnknownHostException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
