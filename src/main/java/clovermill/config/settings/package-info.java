/**
 * The settings file of the optional subsystems and of logging: JSON, validated against a schema before any socket is
 * opened. The configuration that the platform supplies (BALANCER_CONFIG) is separate and read by {@code config}.
 */
package clovermill.config.settings;
