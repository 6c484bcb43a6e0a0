/**
 * The settings file of our own: JSON, checked against a schema before anything listens. What the platform tells a
 * director (BALANCER_CONFIG) is read by {@code config} and stays apart from it.
 */
package clovermill.config.settings;
