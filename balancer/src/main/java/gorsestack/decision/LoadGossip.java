package gorsestack.decision;

/**
 * Encodes and decodes the message in which balancers pass on load reports. The message holds a version byte, then for
 * each upstream three bytes of its id's CRC32, and one byte each for its latency, the age of its report and its calls
 * in flight. The decoder accepts any bytes. Used by {@link LoadReports}; has no state, so any thread may use it.
 */
final class LoadGossip {
    /**
     * Maximum number of upstreams in a message. Twelve make 73 bytes, so two messages with the newest reports cost less
     * than one with all reports, and new reports spread faster.
     */
    static final int MAX_ENTRIES = 12;

    private static final byte VERSION = 1;
    private static final int ENTRY_BYTES = 6;
    private static final int MAX_MESSAGE_BYTES = 256;
    /** The unit of a report's age, in nanoseconds. */
    private static final long AGE_UNIT_NANOS = 50_000_000;
    /** Encoded age of this many units or more. The receiver ignores reports of this age. */
    private static final int MAX_AGE_UNITS = 255;

    private static final int MAX_BYTE = 255;
    /** Encoded latency ratio of 1. Latency ratios are encoded on a logarithmic scale. */
    private static final int ENCODED_RATIO_OF_ONE = 128;

    /** Steps of the encoded latency ratio by which it grows when the ratio grows by a factor of e. */
    private static final int LATENCY_STEPS_PER_E = 12;
    /** Lower bound of a latency ratio before its logarithm is taken. */
    private static final double MIN_LATENCY_RATIO = 1e-9;
    /** Steps of the encoded number of calls in flight, which is logarithmic as well, for each factor of e. */
    private static final int IN_FLIGHT_STEPS_PER_E = 24;

    /** Receives each decoded entry whose report is not too old. */
    interface Receiver {
        void onEntry(int idHash, double latencyRatio, double inFlight, long reportedAt);
    }

    private LoadGossip() {}

    /** Encodes the load reports of the first {@link #MAX_ENTRIES} of these upstreams. */
    static byte[] write(UpstreamState[] upstreams, long now) {
        int count = Math.min(MAX_ENTRIES, upstreams.length);
        byte[] message = new byte[1 + ENTRY_BYTES * count];
        message[0] = VERSION;
        int offset = 1;
        for (int i = 0; i < count; i++) {
            UpstreamState upstream = upstreams[i];
            message[offset++] = (byte) (upstream.idHash >> 16);
            message[offset++] = (byte) (upstream.idHash >> 8);
            message[offset++] = (byte) upstream.idHash;
            message[offset++] = encodeLatency(upstream.latencyRatio);
            message[offset++] = (byte) Math.min(MAX_AGE_UNITS, (now - upstream.reportedAt) / AGE_UNIT_NANOS);
            message[offset++] = (byte)
                    Math.min(MAX_BYTE, Math.round(IN_FLIGHT_STEPS_PER_E * StrictMath.log1p(upstream.reportedInFlight)));
        }
        return message;
    }

    private static byte encodeLatency(double ratio) {
        long steps = Math.round(
                ENCODED_RATIO_OF_ONE + LATENCY_STEPS_PER_E * StrictMath.log(Math.max(MIN_LATENCY_RATIO, ratio)));
        return (byte) Math.max(0, Math.min(MAX_BYTE, steps));
    }

    /** Decodes a message. A message of another version, a truncated one and one that is too long are ignored. */
    static void read(byte[] message, long now, Receiver receiver) {
        if (message == null
                || message.length < 1
                || message[0] != VERSION
                || message.length % ENTRY_BYTES != 1
                || message.length > MAX_MESSAGE_BYTES) {
            return;
        }
        for (int offset = 1; offset < message.length; offset += ENTRY_BYTES) {
            int age = message[offset + 4] & MAX_BYTE;
            if (age < MAX_AGE_UNITS) {
                receiver.onEntry(
                        (message[offset] & MAX_BYTE) << 16
                                | (message[offset + 1] & MAX_BYTE) << 8
                                | (message[offset + 2] & MAX_BYTE),
                        StrictMath.exp(((message[offset + 3] & MAX_BYTE) - ENCODED_RATIO_OF_ONE)
                                / (double) LATENCY_STEPS_PER_E),
                        StrictMath.expm1((message[offset + 5] & MAX_BYTE) / (double) IN_FLIGHT_STEPS_PER_E),
                        now - age * AGE_UNIT_NANOS);
            }
        }
    }
}
