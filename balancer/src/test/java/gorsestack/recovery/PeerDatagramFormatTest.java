package gorsestack.recovery;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gorsestack.decision.LearnedLocality;
import gorsestack.testing.Fixture;
import java.io.IOException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes of the wire format between balancers, which would separate two versions during an upgrade. Compares a datagram of
 * each kind, as hexadecimal text, with a fixture.
 */
class PeerDatagramFormatTest {
    private static final Fixture FIXTURE = new Fixture("peer-datagrams.txt");
    private static final long INCARNATION = 1_764_000_000_123L;
    private static final long UPTIME_MS = 98_765;
    private static final long UPTIME = UPTIME_MS * 1_000_000;
    private static final long NOW = 1_764_000_000_000_000_000L;
    /** Names of the kinds in the fixture. */
    private static final Map<PeerMessage.Kind, String> LABELS = Map.of(
            PeerMessage.Kind.HELLO, "HELLO",
            PeerMessage.Kind.LOAD_REPORT, "NEWS",
            PeerMessage.Kind.STATE_REQUEST, "ASK",
            PeerMessage.Kind.STATE_RESPONSE, "TELL",
            PeerMessage.Kind.REPLICATE_ORDERS, "KEEP",
            PeerMessage.Kind.REPLICATED_ORDERS, "KEPT");

    private static final byte[] LOAD_REPORT = {1, 10, 20, 30, -128, 2, 3};
    private static final PeerMessage.StateResponse RESPONSE = new PeerMessage.StateResponse(
            17,
            41,
            List.of(
                    new PeerMessage.LocalityState(5, LearnedLocality.ofRow(4, 0.25, 0.5, 33)),
                    new PeerMessage.LocalityState(-6, LearnedLocality.ofRow(0, 1, 2, 999_999))));

    /** Returns orders with two long names, so that they need two datagrams. */
    private static Map<String, PersistentState.MaintenanceOrder> orders() {
        Map<String, PersistentState.MaintenanceOrder> orders = new TreeMap<>();
        orders.put("s1", new PersistentState.MaintenanceOrder(PersistentState.NOT_ENDED, NOW - 3));
        orders.put("s/2 é", new PersistentState.MaintenanceOrder(NOW - 1_000, NOW - 2_000));
        orders.put("x".repeat(120), new PersistentState.MaintenanceOrder(PersistentState.NOT_ENDED, NOW));
        orders.put("y".repeat(100), new PersistentState.MaintenanceOrder(PersistentState.NOT_ENDED, NOW));
        return orders;
    }

    private static String line(PeerMessage.Kind kind, byte[] datagram) {
        return LABELS.get(kind) + " " + HexFormat.of().formatHex(datagram) + "\n";
    }

    private static String datagrams() {
        StringBuilder text = new StringBuilder();
        text.append(line(PeerMessage.Kind.HELLO, PeerMessageCodec.hello(INCARNATION, UPTIME)));
        text.append(line(
                PeerMessage.Kind.LOAD_REPORT,
                PeerMessageCodec.loadReport(INCARNATION, UPTIME, LOAD_REPORT).orElseThrow()));
        text.append(line(PeerMessage.Kind.STATE_REQUEST, PeerMessageCodec.stateRequest(INCARNATION, UPTIME)));
        text.append(
                line(PeerMessage.Kind.STATE_RESPONSE, PeerMessageCodec.stateResponse(INCARNATION, UPTIME, RESPONSE)));
        for (PeerMessage.Kind kind : List.of(PeerMessage.Kind.REPLICATE_ORDERS, PeerMessage.Kind.REPLICATED_ORDERS)) {
            PeerMessageCodec.orders(kind, INCARNATION, UPTIME, orders(), NOW)
                    .forEach(datagram -> text.append(line(kind, datagram)));
        }
        return text.toString();
    }

    private static List<PeerMessage> read(PeerMessage.Kind kind) throws IOException {
        return FIXTURE.text()
                .lines()
                .map(line -> line.split(" "))
                .filter(fields -> fields[0].equals(LABELS.get(kind)))
                .map(fields -> PeerMessageCodec.decode(HexFormat.of().parseHex(fields[1]))
                        .orElseThrow())
                .toList();
    }

    @Test
    void writesDatagramsOfFixture() throws IOException {
        FIXTURE.assertSame(datagrams());
    }

    @Test
    void readsHeaderOfEachKindFromFixture() throws IOException {
        for (PeerMessage.Kind kind : PeerMessage.Kind.values()) {
            for (PeerMessage message : read(kind)) {
                assertEquals(kind, message.kind());
                assertEquals(INCARNATION, message.incarnation());
                assertEquals(UPTIME, message.uptime());
            }
        }
        assertEquals(1, read(PeerMessage.Kind.HELLO).size());
        assertEquals(1, read(PeerMessage.Kind.STATE_REQUEST).size());
    }

    @Test
    void readsLoadReportAndStateResponseFromFixture() throws IOException {
        assertArrayEquals(
                LOAD_REPORT,
                PeerMessageCodec.loadReport(read(PeerMessage.Kind.LOAD_REPORT).get(0)));
        PeerMessage.StateResponse response = PeerMessageCodec.stateResponse(
                        read(PeerMessage.Kind.STATE_RESPONSE).get(0))
                .orElseThrow();
        assertEquals(RESPONSE.rememberedIncarnation(), response.rememberedIncarnation());
        assertEquals(RESPONSE.endpointIndex(), response.endpointIndex());
        assertEquals(rows(RESPONSE), rows(response));
    }

    private static List<String> rows(PeerMessage.StateResponse response) {
        return response.learned().stream()
                .map(row -> row.zoneHash() + " " + Arrays.toString(row.learned().toRow()))
                .toList();
    }

    @Test
    void readsOrdersFromFixture() throws IOException {
        for (PeerMessage.Kind kind : List.of(PeerMessage.Kind.REPLICATE_ORDERS, PeerMessage.Kind.REPLICATED_ORDERS)) {
            Map<String, PersistentState.MaintenanceOrder> all = new TreeMap<>();
            read(kind)
                    .forEach(message ->
                            all.putAll(PeerMessageCodec.orders(message, NOW).orElseThrow()));
            assertEquals(2, read(kind).size());
            assertEquals(orders(), all);
        }
    }
}
