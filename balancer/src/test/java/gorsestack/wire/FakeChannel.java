package gorsestack.wire;

import java.nio.charset.StandardCharsets;

/**
 * A channel without a socket. Its input is queued on the event loop as that of a socket would be, so that bytes can have been read that the
 * handler has not received yet. Output is dropped unless a subclass records it.
 */
public class FakeChannel implements Channel {
    protected final EventLoop eventLoop;
    protected final ConnectionHandler handler;
    protected boolean open;
    private int readCount;
    private int deliveredCount;

    public FakeChannel(EventLoop eventLoop, ConnectionHandler handler, boolean open) {
        this.eventLoop = eventLoop;
        this.handler = handler;
        this.open = open;
    }

    public ConnectionHandler handler() {
        return handler;
    }

    /** Reads these bytes from the socket; the handler receives them when the event loop runs. */
    public void queueInput(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        readCount++;
        eventLoop.execute(() -> {
            deliveredCount++;
            handler.received(bytes, eventLoop.now());
        });
    }

    /** Returns the number of reads that the handler has received. */
    protected int deliveredCount() {
        return deliveredCount;
    }

    /** Returns the number of reads, whether or not the handler has received them. */
    protected int readCount() {
        return readCount;
    }

    @Override
    public boolean hasUnhandledInput() {
        return readCount != deliveredCount;
    }

    @Override
    public boolean open() {
        return open;
    }

    @Override
    public void write(byte[] bytes) {}

    @Override
    public long unsent() {
        return 0;
    }

    @Override
    public long sentBytes() {
        return 0;
    }

    @Override
    public void close() {
        open = false;
    }

    @Override
    public void finish() {}

    @Override
    public void discard() {}

    @Override
    public void finishUnlessInputArrived() {}

    @Override
    public void suspendReading(boolean suspended) {}
}
