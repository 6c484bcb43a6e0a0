/**
 * The measurements behind {@code docs/CAPACITY.md}, the model that compares them with the target size, and the
 * generator of the page's tables.
 */
package clovermill.prove.capacity;
