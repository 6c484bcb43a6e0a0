/**
 * How directors that share nothing keep the load of caches even, though each sees little: what one may believe of
 * all that is out at a member, and which part of an overload it takes away ({@code decide}: no I/O, clock or
 * threads). The module asks it and chooses among homes and copies as ever. {@link clovermill.emulator} shows what
 * comes of it in a fleet of any size. See {@code docs/design/spread.md}.
 */
package clovermill.spread;
