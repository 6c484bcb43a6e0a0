/**
 * Durable files for the subsystems: an append-only segment of checked frames, files that are replaced whole, a
 * lock on a folder, and named crash points. Nothing here knows what is stored. {@link clovermill.storage.Volume}
 * is the one way to the disk, so that tests can put a full disk, a short write or a slow fsync in its place.
 * Everything blocks: it is for owned threads and commands, never for the loop.
 */
package clovermill.storage;
