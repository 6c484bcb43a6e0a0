/**
 * The placement rules of one policy. Entry type:
 * {@link clovermill.controlplane.placement.decide.PlacementRules}. Pure: no I/O, no clock, no thread.
 */
package clovermill.controlplane.placement.decide;
