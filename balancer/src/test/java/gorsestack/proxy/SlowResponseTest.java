package gorsestack.proxy;

import static gorsestack.proxy.DispatcherRig.expectResponse;
import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that a response is not cut off, and not held back past its time, while its upstream still sends it. */
class SlowResponseTest {
    private static final int PIECES = 30;
    /** The client waits 2 s, from which the balancer subtracts its margins. */
    private static final int JUST_BEFORE_DEADLINE_MILLIS = 1_900;

    private static final int AFTER_DEADLINE_MILLIS = 200;

    /** How the length of a body is stated. */
    private enum Framing {
        LENGTH,
        CHUNKED,
        UNTIL_CLOSE;

        String head(int bodyBytes) {
            String field = switch (this) {
                case LENGTH -> "Content-Length: " + bodyBytes + "\r\n";
                case CHUNKED -> "Transfer-Encoding: chunked\r\n";
                case UNTIL_CLOSE -> "";
            };
            return "HTTP/1.1 200 OK\r\n" + field + "\r\n";
        }

        String piece(int bytes) {
            String content = "y".repeat(bytes);
            return this == CHUNKED ? Integer.toHexString(bytes) + "\r\n" + content + "\r\n" : content;
        }

        void end(FakeSocket upstream) {
            if (this == CHUNKED) {
                upstream.send("0\r\n\r\n");
            } else if (this == UNTIL_CLOSE) {
                upstream.handler().ended();
            }
        }
    }

    static Stream<Arguments> cases() {
        return Stream.of(Framing.values())
                .flatMap(framing -> Stream.of("read", "mark", "once")
                        .flatMap(product -> Stream.of(100, 4_000, 10_000)
                                .map(pieceBytes -> Arguments.of(framing, product, pieceBytes))));
    }

    private static long contentBytes(FakeSocket client) {
        return client.output.chars().filter(c -> c == 'y').count();
    }

    /** Guards against a sound response that is cut because its upstream pauses before or within the body. */
    @ParameterizedTest
    @MethodSource("cases")
    void keepsAResponseWhoseUpstreamPauses(Framing framing, String product, int pieceBytes) throws IOException {
        for (int pauseMillis : List.of(300, 600)) {
            DispatcherRig rig = DispatcherRig.withUpstreams(1);
            FakeSocket client = rig.client();
            client.send(request(product, "c1"));
            FakeSocket upstream = rig.lastUsed();
            upstream.send(framing.head(2 * pieceBytes));
            rig.advance(pauseMillis);
            upstream.send(framing.piece(pieceBytes));
            rig.advance(pauseMillis);
            assertTrue(upstream.open(), "cut after " + pauseMillis + " ms");
            upstream.send(framing.piece(pieceBytes));
            framing.end(upstream);
            rig.runPending();
            assertEquals(2L * pieceBytes, contentBytes(client), pauseMillis + " ms");
            expectResponse(200, client);
        }
    }

    /** Guards against a long response that is held back until its client no longer waits for its first byte. */
    @ParameterizedTest
    @MethodSource("cases")
    void passesOnTheBeginningOfALongResponseBeforeTheDeadline(Framing framing, String product, int pieceBytes)
            throws IOException {
        if (pieceBytes < 4_000) {
            return; // So little is not taken for the beginning of a long response unless its length says so.
        }
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request(product, "c1"));
        FakeSocket upstream = rig.lastUsed();
        upstream.send(framing.head(PIECES * pieceBytes));
        rig.advance(JUST_BEFORE_DEADLINE_MILLIS - 500);
        upstream.send(framing.piece(pieceBytes));
        rig.advance(500 + AFTER_DEADLINE_MILLIS);
        assertTrue(upstream.open());
        assertTrue(client.output.startsWith("HTTP/1.1 200 "), client.output);
        for (int i = 1; i < PIECES; i++) {
            rig.advance(1_000);
            upstream.send(framing.piece(pieceBytes));
        }
        framing.end(upstream);
        rig.runPending();
        assertEquals((long) PIECES * pieceBytes, contentBytes(client));
    }

    /** Guards against an incomplete response that is passed on although its upstream has stopped: its client would wait for its end. */
    @Test
    void answersInTimeIfAnUpstreamHasStoppedWithinAShortResponse() throws IOException {
        for (String stopped : new String[] {
            "HTTP/1.1 200 OK\r\nContent-Length: 6000\r\n\r\n" + "y".repeat(5_000),
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + "y".repeat(5_000),
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        }) {
            DispatcherRig rig = DispatcherRig.withUpstreams(1);
            FakeSocket client = rig.client();
            client.send(request("once", "c1"));
            FakeSocket upstream = rig.lastUsed();
            upstream.send(stopped);
            rig.advance(JUST_BEFORE_DEADLINE_MILLIS);
            assertEquals("", client.output);
            rig.advance(AFTER_DEADLINE_MILLIS);
            expectResponse(504, client);
            assertFalse(upstream.open());
        }
    }

    /** Guards against a response that is passed on while the process ends, and cut off by that. */
    @Test
    void passesOnNoBeginningOfALongResponseDuringShutdown() throws IOException {
        DispatcherRig rig = DispatcherRig.withUpstreams(1);
        FakeSocket client = rig.client();
        client.send(request("once", "c1"));
        rig.lastUsed().send(Framing.CHUNKED.head(100_000) + Framing.CHUNKED.piece(10_000));
        rig.dispatcher.shutDown(rig.now() + 1_000_000_000L, false);
        rig.advance(500);
        rig.lastUsed().send(Framing.CHUNKED.piece(10_000));
        rig.advance(500);
        expectResponse(504, client);
    }
}
