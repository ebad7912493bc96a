/**
 * The operator's settings: one TOML file that is validated before anything starts. An invalid file is reported in
 * one line that names the file, the line, the key and what was expected. The entry point is
 * {@link juniperusher.settings.OperatorSettings}.
 *
 * <p>This package must not depend on the fronts, on sockets or on the platform's configuration. Its classes are
 * loaded only if a settings file is given.
 */
package juniperusher.settings;
