package gorsestack.simhost;

import java.io.IOException;

/** A line that the wire's page does not allow. */
final class WireException extends IOException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
