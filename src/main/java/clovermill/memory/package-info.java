/**
 * What one director remembers, in plain structures that decide nothing: a ring of members, means, counts that fade,
 * the purges of late. No I/O, no clock, no thread: the owner passes the time in microseconds. What is decided by them
 * stands in {@link clovermill.module.RequestRouter}.
 */
package clovermill.memory;
