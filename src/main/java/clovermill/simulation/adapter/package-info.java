/**
 * The simulator's side of a router: the text protocol of {@code sim} on standard input and output.
 *
 * <p>{@link clovermill.simulation.adapter.Adapter} is the entry: it reads batches of events and writes one reply for
 * each. {@code RouterHost} has the routers by instance number; {@code EventReader} and {@code EndpointLists} read
 * events and lists of endpoints from the {@code Fields} of a line, {@code ActionWriter} writes actions. Input that the
 * protocol does not allow is a {@link clovermill.simulation.adapter.MalformedInput}. It decides nothing: decisions are
 * those of {@link clovermill.routing.api.CacheRouter}.
 */
package clovermill.simulation.adapter;
