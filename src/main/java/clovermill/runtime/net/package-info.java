/**
 * Non-blocking sockets on one thread. {@link clovermill.runtime.net.EventLoop} is the entry type: it opens
 * {@link clovermill.runtime.net.Listener listeners}, dials {@link clovermill.runtime.net.Connection connections} and
 * opens {@link clovermill.runtime.net.Datagrams datagram sockets}, whose handlers it calls. A turn serves ready
 * sockets, posted tasks, unread bytes, {@link clovermill.runtime.net.Deadlines deadlines} and queued output, in that
 * order.
 *
 * <p>All calls are made on the loop's thread, except {@code EventLoop.post}. Each channel has one owner, which closes
 * it. {@link clovermill.runtime.net.Budget} limits the memory of bodies; {@link clovermill.runtime.net.Clock} supplies
 * the time.
 */
package clovermill.runtime.net;
