/** Whose a request is: used by the ledger, by limits and by placement alike. Pure. */
package clovermill.config.tenants;
