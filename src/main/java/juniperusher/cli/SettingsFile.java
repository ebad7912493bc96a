package juniperusher.cli;

import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Path;
import juniperusher.settings.OperatorSettings;
import juniperusher.settings.TomlReader;

/**
 * Reads the operator's settings for a command and reports an invalid file as an invalid argument. This class, and with
 * it the TOML parser and the schema validator, is loaded only if a file is given.
 */
final class SettingsFile {
    private SettingsFile() {}

    static OperatorSettings read(String file) throws IOException {
        try {
            return OperatorSettings.read(Path.of(file));
        } catch (TomlReader.InvalidTomlException e) {
            throw new ParameterException(e.getMessage());
        }
    }
}
