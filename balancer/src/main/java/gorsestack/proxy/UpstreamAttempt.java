package gorsestack.proxy;

import gorsestack.decision.Endpoint;
import gorsestack.decision.Outcome;
import gorsestack.wire.AttemptListener;
import gorsestack.wire.EventLoop;
import gorsestack.wire.Response;
import gorsestack.wire.UpstreamConnection;

/**
 * One attempt of a call at one upstream: its state, its timeout and its outcome. Created by {@link AttemptRunner}. Owned by the event
 * loop's thread; the sockets' thread reads only {@link SendGate}.
 */
final class UpstreamAttempt extends SendGate implements AttemptListener {
    /** The longest timeout of a request whose body is complete; an attempt with more time has no deadline yet. */
    private static final long LONGEST_TIMEOUT_NANOS = Integer.MAX_VALUE * 1_000_000L;

    /** The time before its deadline at which the beginning of a long response is passed on. */
    private static final long RELAY_MARGIN_NANOS = 25_000_000;

    /** Receives the events of attempts, on the event loop's thread. */
    interface Listener {
        /** Handles the end of an attempt, which has its outcome; called once. */
        void onFinished(UpstreamAttempt attempt);

        /** Handles that the whole request was written, with its first byte at {@code firstByteAt}. */
        void onSent(UpstreamAttempt attempt, long firstByteAt);

        void onLoadReport(UpstreamAttempt attempt, String report);

        /** Handles that the request was not written, as it was no longer allowed just before the write. */
        void onWithheld(UpstreamAttempt attempt);

        /** Returns whether the beginning of a long response may be passed on just before its attempt times out. */
        default boolean relaysUnfinishedResponses() {
            return true;
        }

        /** Returns for how long the client of the call waits, in nanoseconds. */
        long clientTimeout(ActiveCall call);
    }

    /** The number of the attempt within its call, from 0. */
    final int number;

    final String upstream;
    /** The upstream's entry in the endpoint list when the attempt was started, which later changes do not alter; null if it had none. */
    final Endpoint sentTo;

    private final Listener listener;
    private long startedAt;
    private UpstreamConnection connection;
    private Runnable cancelTimeout;
    private Outcome outcome;
    private Response response;

    UpstreamAttempt(
            ActiveCall call,
            String upstream,
            Endpoint sentTo,
            long startedAt,
            long deadline,
            long sendBy,
            EventLoop clock,
            Listener listener) {
        super(call, clock, deadline, sendBy);
        this.number = call.attempts.size();
        this.upstream = upstream;
        this.sentTo = sentTo;
        this.startedAt = startedAt;
        this.listener = listener;
    }

    /** Gives the request to a connection, which writes it once it is established. */
    void sendOn(UpstreamConnection target) {
        connection = target;
        target.send(call.request().upload(), this);
    }

    /** Schedules the end of the attempt at its deadline; just before, the beginning of a long response is passed on. */
    void scheduleTimeout() {
        cancelTimeout = clock.at(deadline() - RELAY_MARGIN_NANOS, () -> {
            if (connection != null && listener.relaysUnfinishedResponses()) {
                connection.relayBeforeTimeout();
            }
            if (!isFinished()) {
                cancelTimeout = clock.at(deadline(), this::timeOut);
            }
        });
    }

    private void timeOut() {
        closeConnection();
        ended(Outcome.TIMED_OUT, null);
    }

    /** Restarts the attempt's time, as the request's body is complete, and schedules its timeout. */
    void restartTimeout(long now, long newDeadline) {
        startedAt = now;
        deadline(newDeadline);
        if (!isFinished()) {
            scheduleTimeout();
        }
    }

    /**
     * Gives up the connection of an attempt that is abandoned, so that late bytes reach no later call. A connection that is still being
     * established may be kept for another attempt.
     */
    void closeConnection() {
        if (!isFinished() && connection != null) {
            connection.giveUp();
        }
    }

    /** Returns whether the request was given to a connection and cannot have been written yet. */
    boolean waitsToBeWritten() {
        return !isFinished() && connection != null && !connection.requestWritten();
    }

    /** Returns whether the connection to which the request was given is not established yet. */
    boolean waitsForConnection() {
        return !isFinished() && connection != null && connection.connecting();
    }

    /** Gives up the connection of an attempt whose request is not known to be sent, and ends the attempt. */
    void withdraw() {
        Outcome withdrawn = connection.withdrawnOutcome();
        closeConnection();
        ended(withdrawn, null);
    }

    /** Returns when the attempt was started or, if later, the body of its request became complete. */
    long startedAt() {
        return startedAt;
    }

    /** Returns the outcome; null until the attempt has finished. */
    Outcome outcome() {
        return outcome;
    }

    /** Returns the upstream's response; null unless the attempt was fulfilled. */
    Response response() {
        return response;
    }

    /** Returns whether the upstream may have begun the work, as far as is known so far. */
    boolean mayHaveExecuted() {
        return outcome == null || !outcome.provesNotExecuted;
    }

    /** Returns whether the request has no deadline yet, because its large body is incomplete. */
    boolean bodyIncomplete() {
        return deadline() - startedAt > LONGEST_TIMEOUT_NANOS;
    }

    @Override
    public void ended(Outcome finalOutcome, Response upstreamResponse) {
        if (!isFinished()) {
            state(State.FINISHED);
            outcome = finalOutcome;
            response = upstreamResponse;
            listener.onFinished(this);
        }
    }

    /** Cancels the timer that ends the attempt at its deadline, if there is one. */
    void cancelTimeout() {
        if (cancelTimeout != null) {
            cancelTimeout.run();
        }
    }

    @Override
    public void written(long firstByteAt) {
        if (!isFinished()) {
            state(State.SENT);
        }
        listener.onSent(this, firstByteAt);
    }

    @Override
    public void reported(String report) {
        listener.onLoadReport(this, report);
    }

    /**
     * Returns the request's bytes with the remaining time, which is computed when they are written. Without this, an upstream whose
     * connection is established late would work for a client that no longer waits. While the body is incomplete, it is the time that the
     * client stated.
     */
    @Override
    public byte[] request() {
        return call.request().forward(bodyIncomplete() ? listener.clientTimeout(call) : deadline() - clock.now());
    }

    @Override
    public void notSent() {
        listener.onWithheld(this);
    }
}
