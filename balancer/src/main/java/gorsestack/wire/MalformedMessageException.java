package gorsestack.wire;

import java.io.IOException;

/** Thrown for a message that is malformed or not accepted. A client that sent it receives a response with this status. */
public final class MalformedMessageException extends IOException {
    private static final long serialVersionUID = 1L;
    /** Status code of the response. */
    public final int status;

    /**
     * Creates an exception for a message that is malformed or not accepted.
     *
     * @param reason the text of the response's body and of the log
     */
    public MalformedMessageException(int status, String reason) {
        super(reason);
        this.status = status;
    }
}
