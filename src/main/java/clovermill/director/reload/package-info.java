/**
 * Applies a reloaded configuration to the parts of a running director. Entry type:
 * {@link clovermill.director.reload.SettingsReload}. Reading and checking the file is
 * {@code clovermill.controlplane.reload}.
 */
package clovermill.director.reload;
