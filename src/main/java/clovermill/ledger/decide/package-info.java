/**
 * The decisions of the ledger, without I/O, clocks or threads: the tenant of a request, the ledger time, period
 * closing, totals, usage limits, and the reconciliation of independent instances.
 */
package clovermill.ledger.decide;
