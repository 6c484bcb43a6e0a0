/**
 * Durable files: append-only segments of frames with checksums, files that are replaced atomically, a lock on a
 * folder, and named crash points. This package does not know what is stored. {@link clovermill.storage.Volume} is the
 * only access to the disk, so that tests can substitute a full disk, a short write or a slow fsync. All operations
 * block: they are for dedicated threads and commands, never for the event loop.
 */
package clovermill.storage;
