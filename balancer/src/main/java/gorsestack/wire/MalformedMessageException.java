package gorsestack.wire;

import java.io.IOException;

/** Thrown for bytes that are not a valid message. A client that sent them receives a response with this status. */
public final class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1L;
    /** Status code of the response. */
    public final int status;

    /**
     * Creates an exception for an invalid message.
     *
     * @param reason the text of the response's body and of the log
     */
    public MalformedMessageException(int status, String reason) {
        super(reason);
        this.status = status;
    }
}
