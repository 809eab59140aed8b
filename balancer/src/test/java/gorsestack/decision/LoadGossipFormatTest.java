package gorsestack.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gorsestack.testing.Fixture;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compares the load gossip message, as one hexadecimal line, and its decoded entries with the stored fixtures. */
class LoadGossipFormatTest {
    private static final Fixture DATAGRAM = new Fixture("load-gossip.txt");
    private static final Fixture DECODED = new Fixture("load-gossip-read.txt");
    private static final long NOW = 1_764_000_000_000_000_000L;
    private static final int UPSTREAMS = 14;

    /** Returns more upstreams than one message can contain; the report of the third is too old to be decoded. */
    private static UpstreamState[] upstreams() {
        UpstreamTable table = new UpstreamTable();
        UpstreamState[] upstreams = new UpstreamState[UPSTREAMS];
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams[i] = table.findOrAdd("s-" + i);
            upstreams[i].latencyRatio = i * i / 10.0;
            upstreams[i].reportedAt = i == 2 ? NOW - 20_000_000_000L : NOW - i * 130_000_000L;
            upstreams[i].reportedInFlight = i * 1.5;
        }
        return upstreams;
    }

    @Test
    void encodesMessageOfFixture() throws IOException {
        byte[] message = LoadGossip.write(upstreams(), NOW);
        DATAGRAM.assertSame(HexFormat.of().formatHex(message) + "\n");
    }

    @Test
    void decodesMessageOfFixture() throws IOException {
        List<String> received = new ArrayList<>();
        byte[] message = HexFormat.of().parseHex(new String(DATAGRAM.input(), StandardCharsets.US_ASCII).strip());
        LoadGossip.read(
                message,
                NOW,
                (idHash, latencyRatio, inFlight, reportedAt) ->
                        received.add(String.format("%06x %s %s %d\n", idHash, latencyRatio, inFlight, reportedAt)));
        assertEquals(LoadGossip.MAX_ENTRIES - 1, received.size());
        DECODED.assertSame(String.join("", received));
    }
}
