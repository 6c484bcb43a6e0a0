/**
 * The HTTP/1.1 admin service of a director: readiness, disabling and enabling of caches, the policy.
 *
 * <p>Entry type: {@link clovermill.controlplane.admin.AdminServer}, with one request per connection.
 * {@link clovermill.controlplane.admin.AdminRequestParser} parses the request, and
 * {@link clovermill.controlplane.admin.decide.AdminService} handles it. The calls: docs/operate/service.md.
 */
package clovermill.controlplane.admin;
