/** What a new configuration changes, and when; no input or output. */
package clovermill.controlplane.reload.decide;
