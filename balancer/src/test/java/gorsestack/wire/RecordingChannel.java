package gorsestack.wire;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** A channel that records its output and counts writes after its end, which are a fault of the code under test. */
final class RecordingChannel extends FakeChannel {
    /** The address to which the connection was opened; null for an accepted connection. */
    final InetSocketAddress remoteAddress;

    final StringBuilder output = new StringBuilder();
    boolean connected;
    /** Whether the peer has begun its response. */
    boolean responseStarted;
    /** Whether the output was shut down gracefully. */
    boolean outputShut;

    int writesAfterEnd;
    private boolean closedLocally;

    RecordingChannel(EventLoop eventLoop, ConnectionHandler handler, InetSocketAddress remoteAddress) {
        super(eventLoop, handler, true);
        this.remoteAddress = remoteAddress;
    }

    /** Returns whether anything that the peer sends is still read. */
    boolean readable() {
        return open && !outputShut;
    }

    /** Reads text from the peer, if the connection is still read. */
    void read(String text) {
        if (readable()) {
            queueInput(text);
        }
    }

    /** Establishes the connection and notifies the handler at once. */
    void connect() {
        connected = true;
        handler.opened(this);
    }

    /** Hands text from the peer to the handler at once. */
    void deliver(String text) {
        handler.received(text.getBytes(StandardCharsets.US_ASCII), eventLoop.now());
    }

    /** Ends the connection from the other side; the handler is notified after it has received what was read before. */
    void disconnect() {
        if (open) {
            open = false;
            eventLoop.execute(handler::closed);
        }
    }

    @Override
    public void write(byte[] bytes) {
        if (outputShut || closedLocally) {
            writesAfterEnd++;
        } else if (open) {
            output.append(new String(bytes, StandardCharsets.ISO_8859_1));
            eventLoop.execute(handler::sent);
        }
    }

    @Override
    public void close() {
        closedLocally = true;
        disconnect();
    }

    @Override
    public void finish() {
        outputShut = true;
        eventLoop.execute(handler::closed);
    }

    @Override
    public void finishUnlessInputArrived() {
        int delivered = deliveredCount();
        eventLoop.execute(() -> {
            if (readCount() == delivered && readable()) {
                finish();
            }
        });
    }
}
