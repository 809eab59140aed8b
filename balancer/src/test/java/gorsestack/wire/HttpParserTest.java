package gorsestack.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.decision.Settings;
import gorsestack.settings.Limits;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks that messages are parsed and formatted correctly wherever they are split, and that invalid ones are rejected. */
class HttpParserTest {
    private static final Limits LIMITS = Limits.of(
            new ObjectMapper().createObjectNode().put("sockets", 1024), new ObjectMapper().createObjectNode());

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Feeds the text in two pieces, or byte by byte if the cut is 0, and checks that the parser stops at the end of the message. */
    private static HttpParser parseInPieces(boolean request, String text, int cut) throws MalformedMessageException {
        HttpParser parser = request ? HttpParser.request(LIMITS) : HttpParser.response(LIMITS);
        byte[] input = bytes(text + "more");
        if (cut == 0) {
            for (int i = 0; i < text.length(); i++) {
                assertFalse(parser.done(), "done at byte " + i);
                assertEquals(i + 1, parser.feed(input, i, i + 1));
            }
        } else {
            assertEquals(cut, parser.feed(input, 0, cut));
            assertEquals(text.length(), parser.feed(input, cut, input.length));
        }
        assertTrue(parser.done());
        return parser;
    }

    @Test
    @SuppressWarnings("StringConcatToTextBlock") // line ends on the wire are CR LF
    void parsesRequestSplitAtAnyByte() throws MalformedMessageException {
        String head = "POST /publicar/x?a=b HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: 9b1f\r\n"
                + "x-time-left:480m\r\nIdempotency-Key:  k 1 \r\nConnection: X-Own\r\nX-Own: 1\r\n";
        String fixed = head + "Content-Length: 5\r\n\r\nhel\0o";
        String chunked = head + "Transfer-Encoding: chunked\r\n\r\n3;q=1\r\nhel\r\n02\r\n\0o\r\n0\r\nT: 1\r\n\r\n";
        for (String text : new String[] {fixed, chunked, "\r\n" + fixed}) {
            for (int cut = 0; cut < text.length(); cut++) {
                HttpParser parser = parseInPieces(true, text, cut);
                Request request = Request.of(parser.head(), parser.body(), null);
                assertEquals(
                        "9b1f publicar 480000000 null",
                        request.id() + " " + request.product() + " " + request.remainingNanos() + " "
                                + request.retrySafetyViolation(Settings.Repeat.DEDUPLICATED));
                assertEquals(
                        "POST /publicar/x?a=b HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: 9b1f\r\n"
                                + "Idempotency-Key:  k 1 \r\nX-Time-Left: 7000u\r\nContent-Length: 5\r\n\r\nhel\0o",
                        new String(request.forward(7_000_000), StandardCharsets.ISO_8859_1));
            }
        }
    }

    @Test
    void parsesResponseSplitAtAnyByte() throws MalformedMessageException {
        for (String text : new String[] {
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A: b\r\n\r\nabc",
            "HTTP/1.1 200 OK\r\nX-Load: \0\7\u00ff=\r\nContent-Length: 3\r\nX-A: b\r\n\r\nabc",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200\r\nX-A: b\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        }) {
            for (int cut = 0; cut < text.length(); cut++) {
                HttpParser parser = parseInPieces(false, text, cut);
                assertEquals("200", parser.head().start[1]);
                assertArrayEquals(bytes("abc"), parser.body());
                assertEquals(
                        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-A: b\r\n\r\nabc",
                        new String(
                                Response.of(parser.head(), parser.body(), null).bytes(false),
                                StandardCharsets.ISO_8859_1));
            }
        }
    }

    /** A response without a length ends with its connection, and a header field may be folded over several lines. */
    @Test
    void parsesFoldedLinesAndResponseThatEndsWithConnection() throws MalformedMessageException {
        byte[] message = bytes("HTTP/1.1 200 OK\r\nX-A: b\r\n\tc\r\n  d\r\nX-E: f\r\n\r\nabc");
        HttpParser parser = HttpParser.response(LIMITS);
        parser.feed(message, 0, message.length);
        assertFalse(parser.done());
        parser.end();
        assertTrue(parser.done());
        assertEquals(
                "b  \tc    d f abc",
                parser.head().field("x-a") + " " + parser.head().field("x-e") + " "
                        + new String(parser.body(), StandardCharsets.ISO_8859_1));
        HttpParser cut = HttpParser.response(LIMITS);
        byte[] half = bytes("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc");
        cut.feed(half, 0, half.length);
        cut.end();
        assertFalse(cut.done());
        assertEquals(
                "000000000000003",
                parseInPieces(true, "GET /a HTTP/1.1\r\nContent-Length: 000000000000003\r\n\r\nabc", 5)
                        .head()
                        .field("content-length"));
    }

    /** Random responses give the same result whether they are parsed at once or in small pieces. */
    @Test
    void parsesPiecesLikeCompleteMessage() throws MalformedMessageException {
        SplittableRandom random = new SplittableRandom(17);
        for (int i = 0; i < 2_000; i++) {
            StringBuilder text =
                    new StringBuilder("HTTP/1.1 100 Go on\r\n\r\n".repeat(random.nextInt(2)) + "HTTP/1.1 200 OK\r\n");
            for (int n = random.nextInt(3); n > 0; n--) {
                text.append("X-")
                        .append(n)
                        .append(random.nextBoolean() ? ": a\r\n\t b" : ":")
                        .append("\r\n");
            }
            byte[] body = new byte[random.nextInt(300)];
            random.nextBytes(body);
            String content = new String(body, StandardCharsets.ISO_8859_1);
            boolean chunked = random.nextBoolean();
            if (chunked) {
                text.append("Transfer-Encoding: Chunked\r\n\r\n");
                for (int position = 0; position < content.length(); ) {
                    int size = 1 + random.nextInt(content.length() - position);
                    text.append("0".repeat(random.nextInt(12)))
                            .append(Integer.toHexString(size))
                            .append(random.nextBoolean() ? ";a=\"b\"" : "")
                            .append("\r\n")
                            .append(content, position, position + size)
                            .append("\r\n");
                    position += size;
                }
                text.append(random.nextBoolean() ? "0\r\n\r\n" : "000;x\r\nT: 1\r\nU: 2\r\n\r\n");
            } else {
                text.append("Content-Length: ")
                        .append(content.length())
                        .append("\r\n\r\n")
                        .append(content);
            }
            byte[] message = bytes(text.toString());
            HttpParser atOnce = HttpParser.response(LIMITS);
            HttpParser pieces = HttpParser.response(LIMITS);
            assertEquals(message.length, atOnce.feed(message, 0, message.length));
            for (int position = 0; position < message.length; ) {
                int end = Math.min(message.length, position + 1 + random.nextInt(7));
                assertEquals(end, pieces.feed(message, position, end));
                position = end;
            }
            assertTrue(atOnce.done() && pieces.done(), text.toString());
            assertArrayEquals(body, atOnce.body());
            assertArrayEquals(body, pieces.body());
            assertEquals(atOnce.head().field("x-1"), pieces.head().field("x-1"));
        }
    }

    private static int rejectionStatus(boolean request, String text) {
        byte[] message = bytes(text);
        HttpParser parser = request ? HttpParser.request(LIMITS) : HttpParser.response(LIMITS);
        return assertThrows(
                        MalformedMessageException.class,
                        () -> {
                            parser.feed(message, 0, message.length);
                            Request.of(parser.head(), parser.body(), null);
                        },
                        text)
                .status;
    }

    /**
     * Guards against request smuggling: if two parsers see different ends of a message, one of them sees a second request that nobody sent.
     */
    @Test
    void rejectsAmbiguousInvalidAndOversizedMessages() {
        String get = "GET /a HTTP/1.1\r\nX-Correlation-Id: 1\r\n";
        for (String more : new String[] {
            "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
            "Content-Length: +1\r\n\r\n",
            "Content-Length:\r\n\r\n",
            "Transfer-Encoding: gzip\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
            "A : b\r\n\r\n",
            " folded\r\n\r\n",
            "nothing\r\n\r\n",
            "A: b\n\r\n",
            "A: b\r\n\n",
            "A: b\rC: d\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
            "X-Time-Left: 5\r\n\r\n",
            "X-Time-Left: -5m\r\n\r\n"
        }) {
            assertEquals(400, rejectionStatus(true, get + more), more);
        }
        assertEquals(400, rejectionStatus(true, "GET /a\r\n\r\n"));
        assertEquals(400, rejectionStatus(true, "\0\1\2\r\n\r\n"));
        assertEquals(400, rejectionStatus(true, "GET /a HTTP/1.1\r\n\r\n"), "without a correlation id");
        assertEquals(405, rejectionStatus(true, "HEAD /a HTTP/1.1\r\nX-Correlation-Id: 1\r\n\r\n"));
        assertEquals(413, rejectionStatus(true, get + "Content-Length: 37748737\r\n\r\n"));
        assertEquals(413, rejectionStatus(true, get + "Transfer-Encoding: chunked\r\n\r\n2400001\r\n"));
        assertEquals(431, rejectionStatus(true, get + "A: " + "x".repeat(20000)));
        assertEquals(502, rejectionStatus(false, "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n".repeat(1_000)));
        assertEquals(400, rejectionStatus(false, "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nx"));
        assertEquals(400, rejectionStatus(false, "HTTP/1.1 200 O\7K\r\nContent-Length: 0\r\n\r\n"));
        assertEquals(400, rejectionStatus(true, get.replace("X-C", "X-A: b\r\n\t\0\r\nX-C") + "\r\n"));
        assertEquals(400, rejectionStatus(false, "HTTP/1.1 abc OK\r\nContent-Length: 0\r\n\r\n"));
    }

    @Test
    void formatsAndParsesRemainingTimeInBothUnits() throws MalformedMessageException {
        assertEquals(1_500_000, DeadlineHeader.read("1500u"));
        assertEquals(480_250_000, DeadlineHeader.read("480.25m"));
        assertEquals(-1, DeadlineHeader.read(null));
        assertEquals("480250u", DeadlineHeader.write(480_250_999));
        assertEquals("0u", DeadlineHeader.write(-5));
    }
}
