/**
 * The usage ledger: a durable record of every response, totals per tenant and period, corrections, and usage limits
 * based on the totals. {@link clovermill.ledger.Ledger} is the part in the running director; commands read the same
 * folder through {@link clovermill.ledger.LogReader}. The decisions (tenants, periods, totals, usage limits,
 * reconciliation) are in {@code decide}, without I/O; {@code totals} keeps totals in an embedded store and {@code
 * export} delivers closed periods exactly once. docs/design/ledger.md describes the file formats.
 */
package clovermill.ledger;
