/**
 * How directors that share nothing keep the load of caches even though each sees little: what one of them may believe
 * of all that is out at a member ({@code decide}, without I/O, clock or threads), and an emulator of a fleet of any
 * size that runs the real module against emulated caches ({@code emulate}). The module asks {@code decide}; neither
 * chooses a member. See {@code docs/design/spread.md}.
 */
package clovermill.spread;
