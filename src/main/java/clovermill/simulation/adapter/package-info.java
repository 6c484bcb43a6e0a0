/**
 * Connects routers to the simulator by the text protocol of {@code sim} on standard input and output.
 *
 * <p>{@link clovermill.simulation.adapter.Adapter} is the entry point: it reads batches of events and writes one reply
 * for each. {@code RouterHost} manages the routers by instance number; {@code EventReader} and {@code EndpointLists}
 * parse events and endpoint lists from the {@code Fields} of a line, {@code ActionWriter} formats actions. Input that
 * violates the protocol is reported as a {@link clovermill.simulation.adapter.MalformedInput}. All decisions are made
 * by the {@link clovermill.routing.api.CacheRouter}.
 */
package clovermill.simulation.adapter;
