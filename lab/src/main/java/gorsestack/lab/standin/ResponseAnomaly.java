package gorsestack.lab.standin;

import java.util.Locale;

/** The unusual ways in which an upstream may respond, and which an HTTP client has to handle. */
public enum ResponseAnomaly {
    /** The response has no length; it ends with the connection. */
    NO_LENGTH,
    /** A part of the response is sent, and then the connection is reset. */
    CUT,
    /** The same response is sent a second time, shortly after the first. */
    TWICE,
    /** The connection is closed right after the response, without a header that announces it. */
    CLOSES_IDLE;

    /** Returns the anomaly that a kind of fault in a scenario causes. The kind is the name of the anomaly in lower case. */
    public static ResponseAnomaly of(String faultKind) {
        return valueOf(faultKind.toUpperCase(Locale.ROOT));
    }
}
