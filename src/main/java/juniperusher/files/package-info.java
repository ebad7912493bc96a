/**
 * Files that several processes or several lives of one process read. The door is
 * {@link juniperusher.files.ReplacedFile}.
 *
 * <p>Must not know: what the files hold, sockets, relays, the wire.
 */
package juniperusher.files;
