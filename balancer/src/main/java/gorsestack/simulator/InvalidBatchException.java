package gorsestack.simulator;

import java.io.IOException;

/** Thrown when a batch does not conform to the simulator's wire format. */
final class InvalidBatchException extends IOException {
    private static final long serialVersionUID = 1L;

    InvalidBatchException(String message) {
        super(message);
    }
}
