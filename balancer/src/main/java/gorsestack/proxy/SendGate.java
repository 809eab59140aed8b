package gorsestack.proxy;

import gorsestack.wire.EventLoop;

/**
 * Decides whether an attempt's request may still be written. Base class of {@link UpstreamAttempt}. The sockets' thread reads nothing else
 * of a call: every field of this class, and every field of the call that it reads, is final or volatile, and the channel of the client's
 * connection is set before its first call. Only the event loop's thread writes them.
 */
abstract class SendGate {
    /** The state of an attempt; a transition is only possible to a later constant. */
    enum State {
        /** The request waits for its connection, or is not completely written yet. */
        CONNECTING,
        /** The whole request has been written. */
        SENT,
        /** The attempt has an outcome; bytes that the connection receives later are discarded. */
        FINISHED
    }

    /**
     * The longest time for which a client whose connection is not read is taken to be there. An attempt must not begin 0.1 s after its
     * client has disconnected.
     */
    private static final long UNSEEN_NANOS = 70_000_000;

    final ActiveCall call;
    final EventLoop clock;
    private volatile State state = State.CONNECTING;
    private volatile long deadline;
    private final long sendBy;

    /** @param sendBy the latest time at which the upstream recognises the request as a duplicate; Long.MAX_VALUE without a limit */
    SendGate(ActiveCall call, EventLoop clock, long deadline, long sendBy) {
        this.call = call;
        this.clock = clock;
        this.deadline = deadline;
        this.sendBy = sendBy;
    }

    /** Returns whether the request may still be sent. Called on the event loop's thread, and on the sockets' just before the first byte. */
    public boolean mayBeSent() {
        long now = clock.now();
        return state != State.FINISHED
                && !call.hasEnded()
                && call.client.mayBeConnected()
                && !clientUnseen()
                && now < deadline
                && now < sendBy;
    }

    /** Returns whether the client may have disconnected without this being seen, as its large upload is not read on. */
    final boolean clientUnseen() {
        long unseenSince = call.client.unseenSince();
        return unseenSince != Long.MAX_VALUE && clock.now() - unseenSince > UNSEEN_NANOS;
    }

    final State state() {
        return state;
    }

    final void state(State next) {
        state = next;
    }

    final boolean isFinished() {
        return state == State.FINISHED;
    }

    /** Returns when the attempt times out. */
    final long deadline() {
        return deadline;
    }

    final void deadline(long newDeadline) {
        deadline = newDeadline;
    }

    final long sendBy() {
        return sendBy;
    }
}
