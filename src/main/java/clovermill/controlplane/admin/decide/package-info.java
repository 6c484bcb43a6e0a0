/** What operators' calls are and how they are answered; no input or output. */
package clovermill.controlplane.admin.decide;
