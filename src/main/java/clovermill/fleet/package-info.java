/**
 * Directors of one fleet that tell one another over UDP, where the deployment allows it: limits on the whole fleet,
 * as leased slices that hold whatever becomes of the links, and verdicts (a cache taken out, a key revoked), which
 * reach all of them and are never lost or turned back. {@link clovermill.fleet.decide.FleetMember} is one director's
 * part and does no I/O. Off without settings; the platform's {@code run} has none. See {@code
 * docs/design/fleet-limits.md}.
 */
package clovermill.fleet;
