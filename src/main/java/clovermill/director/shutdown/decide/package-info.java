/**
 * The phases of a graceful shutdown, derived from the longest deadline and the platform's kill. Entry type:
 * {@link clovermill.director.shutdown.decide.ShutdownSequence}. Pure: no I/O, no clock, no thread.
 */
package clovermill.director.shutdown.decide;
