/**
 * The mapping of requests to tenants; used by the ledger, the limits and placement. Entry type:
 * {@link clovermill.config.tenants.TenantRules}. Pure: no I/O, no clock, no thread.
 */
package clovermill.config.tenants;
