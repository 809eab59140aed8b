package gorsestack.wire;

import gorsestack.decision.Outcome;
import gorsestack.settings.Limits;
import java.util.function.Consumer;

/**
 * Decides whether one upstream connection buffers a large response until it is complete, so that the call can still be retried, or relays
 * it as it arrives. Used by {@link UpstreamConnection} on the event loop's thread only.
 */
final class ResponseBuffering {
    /** Body bytes that must have arrived before a large response is relayed; with fewer, its declared length may not fit its body. */
    private static final int MIN_RELAYED_BYTES = 4 << 10;
    /** Body bytes from which a response without a declared length is taken for the beginning of a long one when its attempt times out. */
    private static final int MIN_LONG_BYTES = 4_000;
    /** Time since its last byte within which an upstream is taken to be still sending. */
    private static final long PROGRESS_NANOS = 1_000_000_000L;

    private final Limits limits;
    private final EventLoop eventLoop;
    private final UpstreamConnectionOwner owner;
    private final Consumer<AttemptListener> onSlowResponse;
    /** Whether a place in the budget is reserved. */
    private boolean active;
    /** Bytes of the response that are counted in the budget. */
    private int countedBytes;

    /**
     * Creates the state of a connection that buffers nothing.
     *
     * @param onSlowResponse called some time after a response began to be buffered, whether or not it is complete by then
     */
    ResponseBuffering(
            Limits limits,
            EventLoop eventLoop,
            UpstreamConnectionOwner owner,
            Consumer<AttemptListener> onSlowResponse) {
        this.limits = limits;
        this.eventLoop = eventLoop;
        this.owner = owner;
        this.onSlowResponse = onSlowResponse;
    }

    boolean active() {
        return active;
    }

    /**
     * Counts what has arrived of the response to this attempt, and returns whether it has to be relayed now: it is large, or the incomplete
     * responses of all calls occupy too much memory. The body of an error, which nobody reads, is not held.
     */
    boolean mustRelay(HttpParser parser, AttemptListener attempt) {
        boolean failed = parser.head() != null && AttemptOutcomes.ofResponse(parser.head()) != Outcome.FULFILLED;
        if (failed) {
            parser.streamTo((bytes, offset, length) -> {});
        }
        count(parser.heldBytes());
        if (failed) {
            return Math.max(parser.contentLength(), parser.bodyBytes())
                    > limits.buffer().bodyBytes(); // Its end is not waited for.
        }
        if (parser.bodyBytes() < MIN_RELAYED_BYTES) {
            return false;
        }
        return parser.large() ? !buffers(parser, attempt) : owner.bufferBudget().incompleteResponsesExceedLimit();
    }

    private void count(int bytes) {
        owner.bufferBudget().addIncompleteResponseBytes(bytes - countedBytes);
        countedBytes = bytes;
    }

    /**
     * Returns whether the response that has arrived so far is the beginning of a long one.
     *
     * @param silentNanos the time since its last byte
     */
    boolean beginsLongResponse(HttpParser parser, long silentNanos) {
        if (parser.head() == null) {
            return false;
        }
        boolean declaredLong = parser.contentLength() > limits.buffer().bodyBytes();
        boolean lengthUnknown = parser.contentLength() < 0;
        return declaredLong || (lengthUnknown && parser.bodyBytes() >= MIN_LONG_BYTES && silentNanos < PROGRESS_NANOS);
    }

    /** Returns whether the large response that is arriving for this attempt is buffered, and reserves or releases its place. */
    private boolean buffers(HttpParser parser, AttemptListener attempt) {
        if (Math.max(parser.contentLength(), parser.bodyBytes())
                > limits.buffer().bufferedResponseBytes()) {
            releasePlace();
        } else if (!active && owner.bufferBudget().reserveBufferedResponse()) {
            active = true;
            eventLoop.at(
                    eventLoop.now() + limits.upstream().bufferingTimeoutNanos(), () -> onSlowResponse.accept(attempt));
        }
        return active;
    }

    /** Releases what is reserved and counted, as the response is complete, is relayed or has ended. */
    void release() {
        count(0);
        releasePlace();
    }

    private void releasePlace() {
        if (active) {
            active = false;
            owner.bufferBudget().releaseBufferedResponse();
        }
    }
}
