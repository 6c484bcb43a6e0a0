/**
 * Parts that own their sockets and their state and talk by messages: one thread and one bounded mailbox each. Clock,
 * randomness and links are handed in, so that the same part runs on a thread in service and on the simulated scheduler
 * of {@code clovermill.simulation.emulator.world} under test. The loop is met by {@code EventLoop.post} only.
 */
package clovermill.runtime.task;
