package gorsestack.settings;

/**
 * Holds the limits on buffered data. The totals are fractions of the heap size in the deployment file. Immutable.
 *
 * @param headBytes the largest message head
 * @param bodyBytes the largest body that is buffered; larger ones are streamed
 * @param streamedBodyBytes the largest body that is streamed; bodies reach 32 MB
 * @param relayBytes the body bytes that may wait to be written for one message
 * @param totalRelayBytes the body bytes that may wait to be written for all messages together: a seventh of the heap
 * @param totalRequestBytes the bytes that all requests of clients together may occupy, as far as they have arrived and until they have
 *     their response: under a quarter of the heap
 * @param smallRequestBytes the size up to which a request is accepted even if the total is exceeded: with as many such requests as
 *     clients may have connections, a twentieth of the heap
 * @param totalResponseBytes the bytes that may wait to be sent to all clients together, those of relayed bodies included: under a
 *     quarter of the heap
 * @param unroutedBodyBytes the body bytes that are read before an upstream has been found, so that a disconnect of the client is
 *     detected; some milliseconds of reading, and a third of what the bodies of all such messages together may hold
 * @param bufferedResponseBytes the largest response that is buffered until it is complete
 * @param maxBufferedResponses the number of responses that may be buffered at the same time; together with the copies that are being
 *     written, they take a sixth of the heap
 * @param totalIncompleteResponseBytes the bytes of incomplete responses that may be buffered for all calls together; past that, responses
 *     are relayed before they are complete: a ninth of the heap
 * @param readAheadBytes the bytes that may have been read from one connection before the event loop handles them. Without a limit, 60 MB
 *     that arrive at full speed would exceed the heap.
 * @param totalReadAheadBytes the same for all connections together: a tenth of the heap
 * @param sendBufferBytes the system's send buffer of a connection. The system takes more only once a third of it is free, so that
 *     with a larger one a slow reader would seem to have stopped.
 * @param receiveBufferBytes the system's receive buffer of a client's connection: bounds what the client may have sent without this side
 *     reading it
 * @param discardBytes the bytes that are read and dropped while waiting for the other side to close; some milliseconds of reading
 * @param discoveryLineBytes the longest line that is accepted from discovery
 */
public record BufferLimits(
        int headBytes,
        int bodyBytes,
        long streamedBodyBytes,
        int relayBytes,
        int totalRelayBytes,
        int totalRequestBytes,
        int smallRequestBytes,
        int totalResponseBytes,
        int unroutedBodyBytes,
        int bufferedResponseBytes,
        int maxBufferedResponses,
        int totalIncompleteResponseBytes,
        int readAheadBytes,
        long totalReadAheadBytes,
        int sendBufferBytes,
        int receiveBufferBytes,
        int discardBytes,
        int discoveryLineBytes) {

    private static final int KIB = 1 << 10;
    private static final int MIB = 1 << 20;

    /** Returns the limits, which are the same in every deployment. */
    static BufferLimits standard() {
        int headBytes = 16 * KIB;
        int bodyBytes = 64 * KIB;
        long streamedBodyBytes = 36L * MIB;
        int relayBytes = 64 * KIB;
        int totalRelayBytes = 6 * MIB;
        int totalRequestBytes = 8 * MIB;
        int smallRequestBytes = 4 * KIB;
        int totalResponseBytes = 8 * MIB;
        int unroutedBodyBytes = MIB;
        int bufferedResponseBytes = 256 * KIB;
        int maxBufferedResponses = 8;
        int totalIncompleteResponseBytes = 4 * MIB;
        int readAheadBytes = 48 * KIB;
        long totalReadAheadBytes = 4L * MIB;
        int sendBufferBytes = 128 * KIB;
        int receiveBufferBytes = MIB;
        int discardBytes = 8 * MIB;
        int discoveryLineBytes = 4 * MIB;
        return new BufferLimits(
                headBytes,
                bodyBytes,
                streamedBodyBytes,
                relayBytes,
                totalRelayBytes,
                totalRequestBytes,
                smallRequestBytes,
                totalResponseBytes,
                unroutedBodyBytes,
                bufferedResponseBytes,
                maxBufferedResponses,
                totalIncompleteResponseBytes,
                readAheadBytes,
                totalReadAheadBytes,
                sendBufferBytes,
                receiveBufferBytes,
                discardBytes,
                discoveryLineBytes);
    }
}
