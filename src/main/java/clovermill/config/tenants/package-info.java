/**
 * Which tenant a request belongs to; used by the ledger, by limits and by placement alike. Entry type:
 * {@link clovermill.config.tenants.TenantRules}. Pure: no I/O, no clock, no thread.
 */
package clovermill.config.tenants;
