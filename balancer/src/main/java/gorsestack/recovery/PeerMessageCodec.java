package gorsestack.recovery;

import gorsestack.decision.LearnedLocality;
import gorsestack.recovery.PeerMessage.Kind;
import gorsestack.recovery.PeerMessage.LocalityState;
import gorsestack.recovery.PeerMessage.StateResponse;
import gorsestack.recovery.PersistentState.MaintenanceOrder;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Encodes and decodes messages between balancers. A message holds the protocol version, its kind, the incarnation and the uptime of the
 * sender, then the payload of its kind, in at most 256 bytes. Numbers are big-endian. Times are sent as ages, since clocks of different
 * hosts are not comparable. A datagram may contain any bytes; a malformed one decodes to an empty result. Used by {@link PeerRecovery};
 * stateless.
 */
final class PeerMessageCodec {
    /** First byte of a message. A load report without a header, as earlier versions send it, begins with 1. */
    static final byte VERSION = 2;

    /** Maximum length of a datagram in bytes. */
    static final int MAX_BYTES = 256;

    private static final int HEADER_BYTES = 14;
    private static final int STATE_RESPONSE_FIXED_BYTES = 16;
    private static final int LOCALITY_BYTES = 20;
    /** Bytes of an order besides the name: length of the name, age of the order and age of its end. */
    private static final int ORDER_FIXED_BYTES = 17;
    /**
     * Maximum length of a replicated upstream name in bytes, which is sent as one signed byte. An order with a longer name is not
     * replicated.
     */
    private static final int MAX_NAME_BYTES = 120;

    private static final long NANOS_PER_MS = 1_000_000;
    /** Maximum uptime that can be sent, in milliseconds. A longer uptime is sent as this value. */
    private static final long MAX_UPTIME_MS = Integer.MAX_VALUE;
    /** Maximum valid age of an order or of its end, in nanoseconds. A larger age is malformed. */
    private static final long MAX_AGE_NANOS = 366L * 86_400 * 1_000_000_000L;
    /** Maximum valid incarnation. Neither a clock in milliseconds nor a count of starts exceeds it within a thousand years. */
    private static final long MAX_INCARNATION = 1L << 46;
    /** Value on the wire for the age of the end of a maintenance order that has not ended. */
    private static final long NOT_ENDED = -1;

    private PeerMessageCodec() {}

    /** Decodes the header of a datagram; returns empty if the header is malformed. */
    static Optional<PeerMessage> decode(byte[] datagram) {
        if (datagram.length < HEADER_BYTES || datagram.length > MAX_BYTES || datagram[0] != VERSION) {
            return Optional.empty();
        }
        ByteBuffer in = ByteBuffer.wrap(datagram, 2, datagram.length - 2);
        long incarnation = in.getLong();
        long uptimeMs = in.getInt();
        if (incarnation <= 0 || incarnation > MAX_INCARNATION || uptimeMs < 0) {
            return Optional.empty();
        }
        return Kind.ofWireCode(datagram[1])
                .map(kind -> new PeerMessage(kind, incarnation, uptimeMs * NANOS_PER_MS, in.slice()));
    }

    private static ByteBuffer header(Kind kind, long incarnation, long uptime) {
        return ByteBuffer.allocate(MAX_BYTES)
                .put(VERSION)
                .put(kind.wireCode())
                .putLong(incarnation)
                .putInt((int) Math.max(0, Math.min(MAX_UPTIME_MS, uptime / NANOS_PER_MS)));
    }

    private static byte[] toBytes(ByteBuffer out) {
        byte[] datagram = new byte[out.position()];
        out.flip().get(datagram);
        return datagram;
    }

    /** Encodes a {@link Kind#HELLO} message. */
    static byte[] hello(long incarnation, long uptime) {
        return toBytes(header(Kind.HELLO, incarnation, uptime));
    }

    /** Encodes a {@link Kind#STATE_REQUEST} message. */
    static byte[] stateRequest(long incarnation, long uptime) {
        return toBytes(header(Kind.STATE_REQUEST, incarnation, uptime));
    }

    /** Encodes a load report; returns empty if the report does not fit into a datagram. */
    static Optional<byte[]> loadReport(long incarnation, long uptime, byte[] report) {
        return report.length + HEADER_BYTES > MAX_BYTES
                ? Optional.empty()
                : Optional.of(
                        toBytes(header(Kind.LOAD_REPORT, incarnation, uptime).put(report)));
    }

    /** Returns the load report that a {@link Kind#LOAD_REPORT} message carries. */
    static byte[] loadReport(PeerMessage message) {
        byte[] report = new byte[message.payload().remaining()];
        message.payload().duplicate().get(report);
        return report;
    }

    /** Encodes a state response. Localities that do not fit into the datagram are omitted. */
    static byte[] stateResponse(long incarnation, long uptime, StateResponse response) {
        ByteBuffer out = header(Kind.STATE_RESPONSE, incarnation, uptime)
                .putLong(response.rememberedIncarnation())
                .putLong(response.endpointIndex());
        for (LocalityState locality : response.learned()) {
            if (out.remaining() >= LOCALITY_BYTES) {
                LearnedLocality learned = locality.learned();
                out.putInt(locality.zoneHash())
                        .putFloat((float) learned.concurrencyLimit())
                        .putFloat((float) learned.latencyRatio())
                        .putFloat((float) learned.baselineLatencyRatio())
                        .putFloat((float) learned.responseRate());
            }
        }
        return toBytes(out);
    }

    /** Decodes the payload of a {@link Kind#STATE_RESPONSE} message; returns empty if it is malformed. */
    static Optional<StateResponse> stateResponse(PeerMessage message) {
        ByteBuffer in = message.payload().duplicate();
        int localityBytes = in.remaining() - STATE_RESPONSE_FIXED_BYTES;
        if (localityBytes < 0 || localityBytes % LOCALITY_BYTES != 0) {
            return Optional.empty();
        }
        long remembered = in.getLong();
        long index = in.getLong();
        if (remembered < 0 || remembered >= MAX_INCARNATION || index < 0) {
            return Optional.empty();
        }
        List<LocalityState> localities = new ArrayList<>();
        while (in.hasRemaining()) {
            int zoneHash = in.getInt();
            LearnedLocality learned = LearnedLocality.ofRow(in.getFloat(), in.getFloat(), in.getFloat(), in.getFloat());
            if (!learned.isWellFormed()) {
                return Optional.empty();
            }
            localities.add(new LocalityState(zoneHash, learned));
        }
        return Optional.of(new StateResponse(remembered, index, localities));
    }

    /**
     * Encodes maintenance orders in as many datagrams as are needed, except orders whose upstream name is too long. Each datagram can be
     * decoded without the others.
     */
    static List<byte[]> orders(
            Kind kind, long incarnation, long uptime, Map<String, MaintenanceOrder> orders, long now) {
        List<byte[]> datagrams = new ArrayList<>();
        ByteBuffer out = null;
        for (Map.Entry<String, MaintenanceOrder> order : orders.entrySet()) {
            byte[] name = order.getKey().getBytes(StandardCharsets.UTF_8);
            if (name.length > MAX_NAME_BYTES) {
                continue;
            }
            if (out != null && out.remaining() < name.length + ORDER_FIXED_BYTES) {
                datagrams.add(toBytes(out));
                out = null;
            }
            out = out != null ? out : header(kind, incarnation, uptime);
            long endedAt = order.getValue().endedAt();
            out.put((byte) name.length)
                    .put(name)
                    .putLong(Math.max(0, now - order.getValue().orderedAt()))
                    .putLong(endedAt == PersistentState.NOT_ENDED ? NOT_ENDED : Math.max(0, now - endedAt));
        }
        if (out != null) {
            datagrams.add(toBytes(out));
        }
        return datagrams;
    }

    /** Decodes maintenance orders by upstream, with times on this host's clock; returns empty if the payload is malformed. */
    static Optional<Map<String, MaintenanceOrder>> orders(PeerMessage message, long now) {
        ByteBuffer in = message.payload().duplicate();
        Map<String, MaintenanceOrder> orders = new TreeMap<>();
        try {
            while (in.hasRemaining()) {
                byte[] name = new byte[in.get()];
                in.get(name);
                long orderAge = in.getLong();
                long endAge = in.getLong();
                if (name.length == 0 || !isAge(orderAge) || !(endAge == NOT_ENDED || isAge(endAge))) {
                    return Optional.empty();
                }
                long endedAt = endAge == NOT_ENDED ? PersistentState.NOT_ENDED : now - endAge;
                orders.put(decodeUtf8(name), new MaintenanceOrder(endedAt, now - orderAge));
            }
        } catch (BufferUnderflowException | NegativeArraySizeException | CharacterCodingException e) {
            return Optional.empty();
        }
        return Optional.of(orders);
    }

    private static boolean isAge(long nanos) {
        return nanos >= 0 && nanos <= MAX_AGE_NANOS;
    }

    private static String decodeUtf8(byte[] bytes) throws CharacterCodingException {
        return StandardCharsets.UTF_8
                .newDecoder()
                .decode(ByteBuffer.wrap(bytes))
                .toString();
    }
}
