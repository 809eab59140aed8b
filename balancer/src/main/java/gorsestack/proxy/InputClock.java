package gorsestack.proxy;

import gorsestack.wire.EventLoop;

/**
 * Holds the time of the input that the balancing policy is handling. All durations that the policy sets while it handles one input count
 * from this time. Shared by {@link CallDispatcher} and its collaborators. Owned by the event loop's thread.
 */
final class InputClock {
    private final EventLoop eventLoop;
    private long inputTime;

    InputClock(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /** Starts a new input and returns its time. */
    long tick() {
        inputTime = eventLoop.now();
        return inputTime;
    }

    /** Returns the time of the current input. */
    long inputTime() {
        return inputTime;
    }
}
