/**
 * Files that are shared between processes or read again after a restart. The entry point is
 * {@link juniperusher.files.AtomicFile}.
 *
 * <p>Must not depend on: the content of the files, sockets, relays, wire formats.
 */
package juniperusher.files;
