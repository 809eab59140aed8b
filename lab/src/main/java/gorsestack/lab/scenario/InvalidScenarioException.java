package gorsestack.lab.scenario;

/**
 * Thrown for a scenario file that is not valid TOML or has invalid values. The message is one line that names the file, the line and, for an
 * invalid value, the key.
 */
public final class InvalidScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidScenarioException(String message) {
        super(message);
    }
}
