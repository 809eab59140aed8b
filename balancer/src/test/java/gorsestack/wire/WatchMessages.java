package gorsestack.wire;

/** Builds the messages that discovery sends on a watch of the endpoint list. */
public final class WatchMessages {
    /** The head of the response to a watch; the response does not end before the watch does. */
    public static final String RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private WatchMessages() {}

    /** Returns one chunk with this content. */
    public static String chunk(String content) {
        return Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
    }
}
