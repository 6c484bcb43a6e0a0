/**
 * Gossip between the directors of one fleet over UDP, where the deployment allows it: limits on the whole fleet, as
 * leased shares whose bound does not depend on the links, and a replicated map (a cache taken out, a credential
 * revoked) whose entries reach all of them and are never lost or reverted by a late message. {@link
 * clovermill.fleet.decide.GossipMember} is one director's member and does no I/O. Off without settings; the platform's
 * {@code run} has none. See {@code docs/design/fleet-limits.md}.
 */
package clovermill.fleet;
