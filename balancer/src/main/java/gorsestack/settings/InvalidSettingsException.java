package gorsestack.settings;

import java.io.IOException;

/** Thrown when a setting is missing, has the wrong type, or conflicts with another setting. */
public final class InvalidSettingsException extends IOException {
    private static final long serialVersionUID = 1L;

    private final String field;

    /**
     * @param field the path of the invalid field
     * @param message the message for the operator, which also names the field
     */
    InvalidSettingsException(String field, String message) {
        super(message);
        this.field = field;
    }

    /** Returns the path of the invalid field, for example {@code settings.rules.cold}. */
    public String field() {
        return field;
    }
}
