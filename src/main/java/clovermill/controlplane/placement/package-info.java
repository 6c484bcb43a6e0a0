/**
 * Keeps tenants' data within chosen sites: which members a request's attempts and fills may meet, by the one policy of
 * the fleet. The module is given the members allowed and knows no tenant; see {@code docs/design/placement.md}.
 */
package clovermill.controlplane.placement;
