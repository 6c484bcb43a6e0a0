/**
 * The totals of one instance's ledger in an embedded store (the MVStore of H2), derived from the log alone: a rebuild
 * gives identical totals. Only one process uses a store at a time.
 */
package clovermill.ledger.totals;
