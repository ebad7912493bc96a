/**
 * The operator's own file: one TOML file, checked before anything starts. A mistake is one line that names
 * the file,
 * the line, the key and what was expected. The door is {@link juniperusher.settings.OperatorSettings}.
 *
 * <p>Must not know: fronts, sockets, the platform's configuration. It is loaded only where a file is given.
 */
package juniperusher.settings;
