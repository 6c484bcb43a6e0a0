/**
 * Gossip between the directors of one fleet over UDP, where the deployment allows it. It has two uses: loans between
 * the directors' shares of limits on the whole fleet, which are never exceeded whatever the network does, and a
 * replicated map (of disabled caches, for example) whose entries reach all directors and are never lost or reverted
 * by a late message.
 *
 * <p>{@link clovermill.controlplane.gossip.GossipService} owns the socket and rejects requests beyond the limits;
 * {@link clovermill.controlplane.gossip.decide.GossipMember} decides, without I/O, which messages are sent to which
 * peers; {@code GossipCodec} defines the wire format and {@link clovermill.controlplane.gossip.GossipSettings} the
 * settings. Without settings gossip is disabled; the platform's {@code run} has none. Proof of the limits: {@code
 * docs/design/fleet-limits.md}.
 */
package clovermill.controlplane.gossip;
