package gorsestack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.settings.Limits;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/**
 * Feeds valid and malformed bytes to each parser, in pieces that are split at random. Guards against results that depend on how the network
 * segments the bytes.
 */
class SegmentationTest {
    private static final Limits LIMITS = TestLimits.defaults();
    /** A strong reference, so that the logger keeps its level: thousands of malformed lists are logged in these tests. */
    private static final Logger DISCOVERY_LOG = Logger.getLogger("gorsestack.discovery");

    static {
        DISCOVERY_LOG.setLevel(Level.OFF);
    }

    /** Runs tasks at once; its clock never reaches the time of a timer. */
    private static final EventLoop FROZEN_EVENT_LOOP = new EventLoop() {
        @Override
        public long now() {
            return 1;
        }

        @Override
        public Runnable at(long time, Runnable task) {
            return () -> {};
        }

        @Override
        public void execute(Runnable task) {
            task.run();
        }
    };

    private static final List<String> REQUESTS = List.of(
            "GET /read/x HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left: 100m\r\n\r\n",
            "POST /once HTTP/1.1\r\nX-Correlation-Id: b\r\nContent-Length: 5\r\n\r\nhello",
            "POST /once HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nTrailer: t\r\n\r\n",
            "POST /once HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello",
            "GET /read HTTP/1.1\r\nFolded: a\r\n b\r\n\r\n",
            "\r\nGET / HTTP/1.0\r\n\r\nGET / HTTP/1.0\r\n\r\n");
    private static final List<String> RESPONSES = List.of(
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
            "HTTP/1.1 200 OK\r\n\r\nto the end",
            "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "HTTP/1.1 204 None\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nagain");

    /** Returns the bytes of the text with up to three of them replaced, removed, doubled or preceded by another byte. */
    private static byte[] corrupted(String text, SplittableRandom random) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        Set<Integer> positions = new HashSet<>();
        for (int i = random.nextInt(4); i > 0; i--) {
            positions.add(random.nextInt(bytes.length));
        }
        for (int i = 0; i < bytes.length; i++) {
            int change = positions.contains(i) ? random.nextInt(4) : 4;
            if (change == 0) {
                out.write(random.nextInt(256));
            } else if (change == 2) {
                out.write(bytes[i]);
                out.write(bytes[i]);
            } else if (change == 3) {
                out.write("\r\n:0 \0".charAt(random.nextInt(6)));
                out.write(bytes[i]);
            } else if (change == 4) {
                out.write(bytes[i]);
            }
        }
        return out.toByteArray();
    }

    /** Splits bytes at up to the given number of places: 0 gives one piece, a negative number single bytes. */
    private static List<byte[]> split(byte[] bytes, int cuts, SplittableRandom random) {
        Set<Integer> positions = new HashSet<>();
        for (int i = 0; i < (cuts < 0 ? bytes.length : cuts); i++) {
            positions.add(cuts < 0 ? i : random.nextInt(bytes.length + 1));
        }
        List<byte[]> pieces = new ArrayList<>();
        int start = 0;
        for (int i = 1; i <= bytes.length; i++) {
            if (i == bytes.length || positions.contains(i)) {
                pieces.add(Arrays.copyOfRange(bytes, start, i));
                start = i;
            }
        }
        return pieces;
    }

    private static String parsed(HttpParser parser, List<byte[]> pieces) {
        int consumed = 0;
        try {
            for (byte[] piece : pieces) {
                if (parser.done()) {
                    break;
                }
                consumed += parser.feed(piece, 0, piece.length);
            }
            parser.end();
        } catch (MalformedMessageException e) {
            return e.status + " " + e.getMessage();
        }
        return parser.done() + " " + consumed + " "
                + (parser.head() == null ? "" : Arrays.toString(parser.head().start)) + " "
                + new String(parser.body(), StandardCharsets.ISO_8859_1);
    }

    /** Verifies that the split changes no result, and returns the number of different kinds of results. */
    private static int verifySameResultForEverySplit(List<String> corpus, Supplier<HttpParser> make) {
        Set<String> kinds = new HashSet<>();
        for (int seed = 0; seed < 4_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            byte[] bytes = corrupted(corpus.get(seed % corpus.size()), random);
            String unsplit = parsed(make.get(), split(bytes, 0, random));
            kinds.add(unsplit.substring(0, 4));
            for (int cuts : new int[] {1, 2, 5, -1}) {
                assertEquals(
                        unsplit,
                        parsed(make.get(), split(bytes, cuts, random)),
                        "seed " + seed + ", " + cuts + " cuts");
            }
        }
        return kinds.size();
    }

    @Test
    void parsesRequestIdenticallyForEverySplit() {
        assertTrue(
                verifySameResultForEverySplit(REQUESTS, () -> HttpParser.request(LIMITS)) >= 3,
                "there are valid, malformed and incomplete messages");
    }

    @Test
    void parsesResponseIdenticallyForEverySplit() {
        assertTrue(
                verifySameResultForEverySplit(RESPONSES, () -> HttpParser.response(LIMITS)) >= 3,
                "there are valid, malformed and incomplete messages");
    }

    /** The lists are indented over several lines, with braces and line breaks in strings; corrupted ones follow. */
    @Test
    void parsesWatchIdenticallyForEverySplit() {
        String entry = "{\"name\":\"s{1}\",\"address\":\"127.0.1.1:80\",\"zone\":\"a\\\"\",\"status\":\"in_service\"}";
        String list = "\n{\n  \"index\": 43,\n  \"snapshot\": true,\n  \"endpoints\": [\n    " + entry + "\n  ]\n}\n\n";
        String one = "{\"index\":44,\"snapshot\":false,\"endpoints\":[" + entry + "]}\n";
        String body = list + one;
        String chunked = WatchMessages.RESPONSE_HEAD + WatchMessages.chunk(list) + WatchMessages.chunk(one);
        assertEquals("[43, 44]", receivedIndexes(List.of(chunked.getBytes(StandardCharsets.ISO_8859_1))));
        assertEquals(
                "[43, 44]",
                receivedIndexes(List.of(("HTTP/1.1 200 OK\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1))));
        for (int seed = 0; seed < 1_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            byte[] bytes = corrupted(chunked, random);
            String unsplit = receivedIndexes(split(bytes, 0, random));
            for (int cuts : new int[] {1, 3, -1}) {
                assertEquals(unsplit, receivedIndexes(split(bytes, cuts, random)), "seed " + seed);
            }
        }
    }

    /** Returns the indexes of the lists received, up to the end of the bytes or of the watch. */
    private static String receivedIndexes(List<byte[]> pieces) {
        List<Long> indexes = new ArrayList<>();
        ConnectionHandler[] watch = new ConnectionHandler[1];
        Network network = new StubNetwork() {
            @Override
            public void connect(InetSocketAddress address, ConnectionHandler handler) {
                watch[0] = handler;
            }
        };
        new DiscoveryWatch(network, FROZEN_EVENT_LOOP, LIMITS, new InetSocketAddress(1), 0, recordIndexes(indexes))
                .watch();
        watch[0].opened(new FakeChannel(FROZEN_EVENT_LOOP, watch[0], true));
        for (byte[] piece : pieces) {
            watch[0].received(piece, 1);
        }
        return indexes.toString();
    }

    private static DiscoveryWatch.Listener recordIndexes(List<Long> indexes) {
        return new DiscoveryWatch.Listener() {
            @Override
            public void watchEvent(WatchEvent event) {
                indexes.add(event.index());
            }

            @Override
            public void watchFailed() {}

            @Override
            public double jitter() {
                return 0;
            }
        };
    }
}
