/**
 * Files that are shared between processes or read again after a restart. The entry points are
 * {@link juniperusher.files.AtomicFile}, which one process replaces as a whole, and
 * {@link juniperusher.files.SharedFile}, which several processes change.
 *
 * <p>Must not depend on: the content of the files, sockets, relays, wire formats.
 */
package juniperusher.files;
