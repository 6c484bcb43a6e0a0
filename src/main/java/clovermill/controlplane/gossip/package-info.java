/**
 * Gossip between the directors of one fleet over UDP, where the deployment allows it. Two things travel by it: loans
 * between the directors' shares of limits on the whole fleet, whose bound does not depend on the links, and a
 * replicated map (a cache taken out, a credential revoked) whose entries reach all directors and are never lost or
 * reverted by a late message.
 *
 * <p>Where to look first: {@link clovermill.controlplane.gossip.GossipService} owns the socket and refuses requests
 * beyond the limits; {@link clovermill.controlplane.gossip.decide.GossipMember} decides what is sent to whom, without
 * I/O; {@code GossipCodec} has the wire format byte by byte and {@link clovermill.controlplane.gossip.GossipSettings}
 * the settings. Off without settings; the platform's {@code run} has none. Why the limits hold: {@code
 * docs/design/fleet-limits.md}.
 */
package clovermill.controlplane.gossip;
