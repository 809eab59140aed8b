package gorsestack.proxy;

import gorsestack.wire.ClientConnection;
import gorsestack.wire.EventLoop;
import gorsestack.wire.Request;
import java.util.ArrayList;
import java.util.List;

/**
 * One API call, from its request until it has its response or its client has disconnected, and its last attempt has finished.
 * {@link CallTable} holds the calls of the dispatcher. Owned by the event loop's thread; the sockets' thread reads {@link #hasEnded()}
 * through {@link SendGate}.
 */
final class ActiveCall {
    final String id;
    final ClientConnection client;
    final List<UpstreamAttempt> attempts = new ArrayList<>();

    /** Whether the id is recorded as that of a call that must not run again. */
    private final boolean claimed;

    private Request request;
    private int attemptsInFlight;
    private Runnable cancelDeadlineTimer = () -> {};
    /** Whether a timer watches that the body of the request is read on. */
    private boolean heldBackWatched;

    private volatile boolean ended;
    private long endedAt = Long.MAX_VALUE;
    private boolean clientDisconnected;

    ActiveCall(String id, ClientConnection client, Request request, boolean claimed) {
        this.id = id;
        this.client = client;
        this.request = request;
        this.claimed = claimed;
    }

    boolean claimed() {
        return claimed;
    }

    /** Returns whether an upstream may have begun the work, as far as is known so far. */
    boolean mayHaveExecuted() {
        return attempts.stream().anyMatch(UpstreamAttempt::mayHaveExecuted);
    }

    /** Sets the action that cancels the timer which responds at the call's deadline, and cancels an earlier timer. */
    void deadlineTimer(Runnable cancel) {
        cancelDeadlineTimer.run();
        cancelDeadlineTimer = cancel;
    }

    boolean heldBackWatched() {
        return heldBackWatched;
    }

    void heldBackWatched(boolean watched) {
        heldBackWatched = watched;
    }

    /** Returns the request; once the call has ended, without its body. */
    Request request() {
        return request;
    }

    /** Ends the call, as it has its final response or its client has disconnected, and cancels the timer of its deadline. */
    void end(EventLoop clock) {
        // The time is read after the flag is set, so that every request written later was checked against the flag.
        ended = true;
        endedAt = clock.now();
        // Attempts may be in flight for seconds after their call; without this, each would occupy the memory of a body.
        request = request.withoutBody();
        cancelDeadlineTimer.run();
    }

    /** Ends the call, as its client disconnected before the response. */
    void endDisconnected(EventLoop clock) {
        clientDisconnected = true;
        end(clock);
    }

    boolean hasEnded() {
        return ended;
    }

    /** Returns when the call ended; Long.MAX_VALUE while it is open. */
    long endedAt() {
        return endedAt;
    }

    boolean clientDisconnected() {
        return clientDisconnected;
    }

    void attemptStarted(UpstreamAttempt attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
    }

    void attemptFinished() {
        attemptsInFlight--;
    }

    /** Returns whether the call has ended and none of its attempts is in flight. */
    boolean isFinished() {
        return ended && attemptsInFlight == 0;
    }
}
