/**
 * The HTTP/1.1 service on which operators call a director: readiness, caches taken out of service, the policy.
 *
 * <p>Entry type: {@link clovermill.controlplane.admin.AdminServer}, one request a connection.
 * {@link clovermill.controlplane.admin.AdminRequestParser} parses the request,
 * {@link clovermill.controlplane.admin.decide.AdminService} decides the response. Calls: docs/operate/service.md.
 */
package clovermill.controlplane.admin;
