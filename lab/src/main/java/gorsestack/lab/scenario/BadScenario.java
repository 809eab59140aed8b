package gorsestack.lab.scenario;

/** A scenario that makes no sense; the message names file, line and key. */
public final class BadScenario extends Exception {
    private static final long serialVersionUID = 1L;

    BadScenario(String message) {
        super(message);
    }
}
