/**
 * Keeps tenants' data within chosen locations: which endpoints the attempts and fills of a request may use under the
 * replicated policy of the fleet.
 *
 * <p>Entry type: {@link clovermill.controlplane.placement.Placement}, which enforces the rules that
 * {@link clovermill.controlplane.placement.decide.PlacementRules} parses. The router gets the permitted endpoints and
 * knows no tenant. Source: docs/design/placement.md.
 */
package clovermill.controlplane.placement;
