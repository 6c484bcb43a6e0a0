/**
 * Delivers closed periods, each exactly once: as files and over HTTP to a receiver that identifies a batch by
 * instance, epoch and number. Runs in its own process, beside the director.
 */
package clovermill.ledger.export;
