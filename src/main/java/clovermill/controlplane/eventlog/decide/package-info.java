/**
 * What the event log decides, without I/O: the log itself, how a director follows a replica of it, what a replica sends
 * to whom, when what a director holds is proven, and how a client appends once. Clock and randomness are passed in;
 * time is microseconds of the owner's clock. The invariants stand in {@code docs/design/event-log.md}.
 */
package clovermill.controlplane.eventlog.decide;
