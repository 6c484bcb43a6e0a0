/**
 * Proof that a director keeps the rules while its wall clock is stepped and its system calls fail: the fault injection
 * library ({@code src/test/c/fault_injection.c}) is loaded into real {@code serve} processes, and fake caches and
 * clients check their behavior from outside.
 */
package clovermill.prove.faults;
