/** What a policy says of places; pure. */
package clovermill.controlplane.placement.decide;
