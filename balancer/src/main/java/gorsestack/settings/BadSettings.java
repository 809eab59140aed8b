package gorsestack.settings;

import java.io.IOException;

/** Settings that make no sense; the message says what. */
public final class BadSettings extends IOException {
    private static final long serialVersionUID = 1L;

    BadSettings(String message) {
        super(message);
    }
}
