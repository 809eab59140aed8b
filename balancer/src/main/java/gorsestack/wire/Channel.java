package gorsestack.wire;

/** What a link may do to its connection. */
public interface Channel {

    void write(byte[] bytes);

    /** Bytes written and not gone out yet. */
    long unsent();

    void close();

    void closeWhenSent();

    /** Stops reading, or goes on. */
    void hold(boolean stop);
}
