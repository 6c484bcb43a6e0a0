/**
 * The place where operators call: HTTP/1.1 with one call per connection, on the loop like all else. What a call
 * is answered is decided by {@link clovermill.controlplane.admin.decide.AdminService}; this package reads and writes.
 */
package clovermill.controlplane.admin;
