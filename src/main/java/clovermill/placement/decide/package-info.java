/** What a policy says of places; pure. */
package clovermill.placement.decide;
