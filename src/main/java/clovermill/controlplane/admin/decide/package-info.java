/**
 * The admin requests and their responses. Entry type: {@link clovermill.controlplane.admin.decide.AdminService}. Pure:
 * no I/O, no clock, no thread.
 */
package clovermill.controlplane.admin.decide;
