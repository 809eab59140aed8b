package gorsestack.lab.scenario;

/** Thrown for a scenario file that cannot be read or has invalid values. The message is one line that names the file, line and key. */
public final class InvalidScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidScenarioException(String message) {
        super(message);
    }
}
