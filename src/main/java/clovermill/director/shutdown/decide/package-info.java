/** What the end of a director follows. Pure: no I/O, no clock, no thread. */
package clovermill.director.shutdown.decide;
