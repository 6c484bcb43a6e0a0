/**
 * The proof that a director keeps the rules while its wall clock is stepped and its system calls fail: a library of
 * our own ({@code src/test/c/fault_injection.c}) is loaded into real {@code serve} processes, and stand-in caches and
 * clients judge from outside what they see.
 */
package clovermill.prove.faults;
