/**
 * Tasks with a thread of their own, which communicate by messages. {@link clovermill.runtime.task.TaskThread} is the
 * entry type: it runs one {@link clovermill.runtime.task.Task} with its bounded {@link clovermill.runtime.task.Mailbox}
 * and its datagram socket.
 *
 * <p>Clock, randomness and links are passed to a task, so that the same task runs on a thread in service and on the
 * simulated scheduler of {@code clovermill.simulation.emulator.world} in tests. A task calls the event loop through
 * {@code EventLoop.post} only.
 */
package clovermill.runtime.task;
