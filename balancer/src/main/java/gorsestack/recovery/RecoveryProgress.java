package gorsestack.recovery;

import java.util.function.BiConsumer;

/**
 * Tracks the phases of recovery after a start, for the log, the status document and health checks; nothing waits for a phase. A phase ends
 * when its condition holds. COLD and WARMING also end at a deadline, so that neither waits forever for discovery or for calls. Used by the
 * recovery coordinator on the event loop's thread. Callers pass the current time; this class performs no I/O.
 */
public final class RecoveryProgress {
    /** Length in nanoseconds of the windows in which calls are counted. */
    private static final long WINDOW_NANOS = 1_000_000_000L;
    /**
     * Age in nanoseconds from which a window is evaluated. Shorter than the window, so that it is evaluated before a call starts the next
     * window.
     */
    private static final long MIN_EVALUATED_AGE_NANOS = WINDOW_NANOS * 9 / 10;
    /** Minimum number of calls in a window for the success rate to count. At 10 calls per second each window has enough. */
    private static final int MIN_CALLS = 5;
    /** Minimum fraction of successful calls in a window. In normal operation 1 in 100 calls fails. */
    private static final double MIN_SUCCESS_RATE = 0.99;

    private final long startedAt;
    private final long listTimeout;
    private final long warmingTimeout;
    private final BiConsumer<RecoveryPhase, String> onPhaseEntered;
    private RecoveryPhase phase = RecoveryPhase.COLD;
    private long phaseStartedAt;
    private boolean listReceived;
    private boolean acceptsClients;
    private long windowStart;
    private int calls;
    private int successfulCalls;

    /**
     * Starts in phase COLD.
     *
     * @param listTimeout time in nanoseconds after the start at which recovery continues with the restored list, as every endpoint update
     *     counts as delivered by then
     * @param warmingTimeout maximum time in nanoseconds in phase WARMING; the length of the upstreams' slow start, after which waiting
     *     longer has no benefit
     * @param onPhaseEntered receives each new phase and the reason for it
     */
    public RecoveryProgress(
            long now, long listTimeout, long warmingTimeout, BiConsumer<RecoveryPhase, String> onPhaseEntered) {
        startedAt = now;
        phaseStartedAt = now;
        this.listTimeout = listTimeout;
        this.warmingTimeout = warmingTimeout;
        this.onPhaseEntered = onPhaseEntered;
    }

    /** Returns the current phase. */
    public RecoveryPhase phase() {
        return phase;
    }

    /** Returns the time at which the current phase began. */
    public long phaseStartedAt() {
        return phaseStartedAt;
    }

    /** Returns the deadline of the current phase, at which {@link #check} is to be called; Long.MAX_VALUE if the phase has none. */
    public long deadline() {
        return switch (phase) {
            case COLD -> startedAt + listTimeout;
            case WARMING -> phaseStartedAt + warmingTimeout;
            default -> Long.MAX_VALUE;
        };
    }

    /** Records that discovery has delivered an endpoint list. */
    public void onListReceived(long now) {
        listReceived = true;
        check(now);
    }

    /** Records that clients are accepted from now on. */
    public void onAcceptingClients(long now) {
        acceptsClients = true;
        check(now);
    }

    /** Counts a call that has got its response, if the phase is WARMING. */
    public void onResponse(long now, boolean successful) {
        if (phase != RecoveryPhase.WARMING) {
            return;
        }
        if (now - windowStart >= WINDOW_NANOS) {
            windowStart = now;
            calls = 0;
            successfulCalls = 0;
        }
        calls++;
        successfulCalls += successful ? 1 : 0;
        check(now);
    }

    /** Enters each phase whose condition holds or whose predecessor's deadline has passed. */
    public void check(long now) {
        if (phase == RecoveryPhase.COLD && (listReceived || now >= deadline())) {
            String reason = listReceived
                    ? "endpoint list received from discovery"
                    : "using the restored endpoint list, none received from discovery in time";
            enter(now, RecoveryPhase.LISTED, reason);
        }
        if (phase == RecoveryPhase.LISTED && acceptsClients) {
            windowStart = now;
            enter(now, RecoveryPhase.WARMING, "accepting clients");
        }
        if (phase == RecoveryPhase.WARMING && enoughCallsSucceed(now)) {
            String reason = "served " + successfulCalls + " of " + calls + " calls successfully within a second";
            enter(now, RecoveryPhase.FULL, reason);
        } else if (phase == RecoveryPhase.WARMING && now >= deadline()) {
            enter(now, RecoveryPhase.FULL, "slow start of the upstreams is over");
        }
    }

    private boolean enoughCallsSucceed(long now) {
        return now - windowStart >= MIN_EVALUATED_AGE_NANOS
                && calls >= MIN_CALLS
                && successfulCalls >= MIN_SUCCESS_RATE * calls;
    }

    private void enter(long now, RecoveryPhase next, String reason) {
        phase = next;
        phaseStartedAt = now;
        onPhaseEntered.accept(next, reason);
    }
}
