package gorsestack.proxy;

import static gorsestack.proxy.HttpMessages.request;
import static gorsestack.proxy.SocketStreams.send;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests a client that reads a large response slowly, on real sockets. Guards against a system that takes bytes so rarely, as its send buffer
 * has grown to some MB, that a steady reader is taken for one that has stopped and gets a part of its response.
 */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SlowReaderTest {
    private static final int BODY_BYTES = 8_000_000;
    /** The slowest rate at which a client reads, in bytes per millisecond. */
    private static final int BYTES_PER_MILLI = 64;
    /** The time between two looks at the connection: just under the time after which a client has stopped. */
    private static final int STEP_MILLIS = 4_700;

    /** The largest response that is buffered until it is complete. */
    private static final int WHOLE_BODY_BYTES = 256 << 10;

    private static final int HEAD_BYTES = 100;
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4 << 10;
    private static final int READ_BYTES = 16 << 10;
    /** The time without progress after which all buffers are full. */
    private static final int SETTLE_MILLIS = 20;

    @Test
    void keepsAClientThatReadsSteadily() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket client = rig.connectClient();
            HandlerSpy spy = rig.lastClientSpy();
            send(client, request("read", "slow"));
            sendResponse(rig.acceptRequest(0));
            int step = STEP_MILLIS * BYTES_PER_MILLI;
            settle(rig, spy);
            for (int received = 0; spy.channel.sentBytes() < BODY_BYTES; received += step) {
                read(rig, client.getInputStream(), step);
                settle(rig, spy);
                rig.advance(STEP_MILLIS);
                assertEquals(0, spy.closedCount, "disconnected after " + received + " bytes");
            }
        }
    }

    /** Guards against a response that occupies all of its memory until the system has taken its last byte. */
    @Test
    void freesTheMemoryOfWhatTheSystemHasTaken() throws Exception {
        try (SocketRig rig = new SocketRig(1)) {
            Socket slow = new Socket();
            slow.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
            Socket client = rig.connectClient(slow);
            HandlerSpy spy = rig.lastClientSpy();
            send(client, request("read", "slow"));
            sendResponse(rig.acceptRequest(0), WHOLE_BODY_BYTES);
            settle(rig, spy);
            read(rig, client.getInputStream(), WHOLE_BODY_BYTES / 4);
            settle(rig, spy);
            long sent = spy.channel.sentBytes();
            assertTrue(sent > WHOLE_BODY_BYTES / 4, sent + " bytes are taken");
            Map<String, Long> inUse = new HashMap<>();
            rig.dispatcher.bufferBudget().report(inUse::put);
            long held = inUse.get("responses");
            long wait = WHOLE_BODY_BYTES + HEAD_BYTES - sent;
            assertTrue(held <= wait + READ_BYTES, held + " bytes are held of " + wait + " that wait");
        }
    }

    private static void sendResponse(Socket upstream) {
        sendResponse(upstream, BODY_BYTES);
    }

    private static void sendResponse(Socket upstream, int bodyBytes) {
        Thread sender = new Thread(
                () -> {
                    try {
                        send(
                                upstream,
                                "HTTP/1.1 200 OK\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "y".repeat(bodyBytes));
                    } catch (IOException e) {
                        // The balancer has closed the connection; the test fails on the client's side.
                    }
                },
                "upstream");
        sender.setDaemon(true);
        sender.start();
    }

    /** Relays until the system takes no more: all buffers on the way to the client are full, or all has been sent. */
    private static void settle(SocketRig rig, HandlerSpy spy) throws InterruptedException {
        long sent;
        do {
            sent = spy.channel.sentBytes();
            for (int i = 0; i < SETTLE_MILLIS; i++) {
                rig.runPending();
                Thread.sleep(1);
            }
        } while (spy.channel.sentBytes() != sent);
    }

    /** Reads this many bytes at the client while the balancer relays. */
    private static void read(SocketRig rig, InputStream input, int count) throws Exception {
        byte[] buffer = new byte[READ_BYTES];
        int received = 0;
        while (received < count) {
            rig.runPending();
            int available = Math.min(input.available(), Math.min(READ_BYTES, count - received));
            received += input.readNBytes(buffer, 0, available);
        }
    }
}
