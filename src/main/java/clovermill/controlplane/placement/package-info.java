/**
 * Restricts tenants' data to the locations in the replicated policy of the fleet, by limiting the endpoints that the
 * attempts and fills of a request may use.
 *
 * <p>Entry type: {@link clovermill.controlplane.placement.Placement}, which enforces the rules that
 * {@link clovermill.controlplane.placement.decide.PlacementRules} parses. The router receives the permitted endpoints
 * and does not depend on tenants. Source: docs/design/placement.md.
 */
package clovermill.controlplane.placement;
