package gorsestack.proxy;

import gorsestack.wire.ConnectionHandler;
import gorsestack.wire.FakeChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;

/** The balancer's end of a connection, with the test acting as the other end. */
final class FakeSocket extends FakeChannel {
    /** The largest part of a message that one read returns. */
    private static final int READ_BYTES = 16_000;

    private final DispatcherRig rig;
    /** The address to which the balancer connects; null for an accepted connection. */
    final InetSocketAddress remoteAddress;
    /** The text that the balancer has written and the test has not taken yet. */
    String output = "";

    boolean wasEstablished;
    /** Whether writes are accepted without ever being reported as sent. */
    boolean stalled;

    boolean readingSuspended;
    boolean discardsInput;
    long unsentBytes;
    /** Whether the peer reads nothing by itself: what is written waits until {@link #readByPeer}. */
    boolean peerStopped;

    /** The bytes that the system holds for a peer that reads nothing by itself; with 0 it takes just what the peer reads. */
    int systemBufferBytes;

    private long sentBytes;
    private long writtenBytes;
    /** The bytes that the system has taken and the peer has not read. */
    private long unreadBytes;
    /** For each write that is not sent to its end, the number of bytes written up to its end. */
    private final ArrayDeque<Long> writeEnds = new ArrayDeque<>();

    FakeSocket(DispatcherRig rig, ConnectionHandler handler, InetSocketAddress remoteAddress) {
        super(rig.eventLoop, handler, false);
        this.rig = rig;
        this.remoteAddress = remoteAddress;
    }

    @Override
    public void write(byte[] bytes) {
        if (open) {
            output += new String(bytes, StandardCharsets.ISO_8859_1);
            rig.recordUse(this);
            if (peerStopped) {
                unsentBytes += bytes.length;
                writtenBytes += bytes.length;
                writeEnds.add(writtenBytes);
                takeIntoSystemBuffer();
            } else if (!stalled) {
                eventLoop.execute(handler::sent);
            }
        }
    }

    @Override
    public long unsent() {
        return unsentBytes;
    }

    @Override
    public long sentBytes() {
        return sentBytes;
    }

    /** Has the system take this many of the bytes that wait, as the peer has read as many. */
    void readByPeer(long bytes) {
        if (systemBufferBytes == 0) {
            take(Math.min(bytes, unsentBytes));
        } else {
            unreadBytes -= Math.min(bytes, unreadBytes);
            takeIntoSystemBuffer();
        }
        rig.runPending();
    }

    /** Has the system take what it has room for, if a third of its buffer is free, as Linux does. */
    private void takeIntoSystemBuffer() {
        long room = systemBufferBytes - unreadBytes;
        if (systemBufferBytes > 0 && room >= systemBufferBytes / 3) {
            long taken = Math.min(room, unsentBytes);
            unreadBytes += taken;
            take(taken);
        }
    }

    private void take(long taken) {
        unsentBytes -= taken;
        sentBytes += taken;
        while (!writeEnds.isEmpty() && writeEnds.peek() <= sentBytes) {
            writeEnds.remove();
            eventLoop.execute(handler::sent);
        }
    }

    /** Returns how many bytes the peer can read at once. */
    long unread() {
        return unreadBytes;
    }

    @Override
    public void close() {
        queueDisconnect();
    }

    @Override
    public void finish() {
        queueDisconnect();
    }

    @Override
    public void discard() {
        discardsInput = true;
    }

    @Override
    public void finishUnlessInputArrived() {
        if (!hasUnhandledInput()) {
            queueDisconnect();
        }
    }

    @Override
    public void suspendReading(boolean suspended) {
        readingSuspended = suspended;
    }

    /** Returns whether this is a connection to an upstream, neither accepted from a client nor opened to discovery. */
    boolean toUpstream() {
        return remoteAddress != null && remoteAddress.getPort() < DispatcherRig.DISCOVERY.getPort();
    }

    /** Establishes the connection; the handler is notified when the event loop runs. */
    void queueConnect() {
        open = true;
        wasEstablished = true;
        eventLoop.execute(() -> handler.opened(this));
    }

    /** Establishes the connection and runs the event loop's pending tasks. */
    void connect() {
        queueConnect();
        rig.runPending();
    }

    /** Ends the connection; the handler is notified when the event loop runs. */
    void queueDisconnect() {
        open = false;
        eventLoop.execute(handler::closed);
    }

    /** Sends text to the balancer and runs the event loop's pending tasks. */
    void send(String text) {
        queueInput(text);
        rig.runPending();
    }

    /** Sends text to the balancer in parts of the size that one read of a socket returns. */
    void sendInReads(String text) {
        for (int begin = 0; begin < text.length(); begin += READ_BYTES) {
            send(text.substring(begin, Math.min(text.length(), begin + READ_BYTES)));
        }
    }

    /** Sends a complete 200 response to the balancer. */
    void sendOk(String body) {
        send(HttpMessages.ok(body));
    }

    /** Returns what the balancer has written since the last call. */
    String takeOutput() {
        String taken = output;
        output = "";
        return taken;
    }
}
