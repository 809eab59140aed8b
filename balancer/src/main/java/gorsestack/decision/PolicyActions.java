package gorsestack.decision;

/**
 * The actions that {@link BalancingPolicy} requires of its adapter. The proxy and the simulator implement them. They are called on the
 * policy's thread, and each takes effect at once. Times are in nanoseconds.
 */
public interface PolicyActions {

    /** Sends the call's next attempt, which times out after {@code timeout}; a call's attempts are numbered from 0. */
    void startAttempt(String apiCall, String upstream, long timeout);

    /** Cancels an attempt that is in flight. */
    void cancelAttempt(String apiCall, int attempt);

    /** Ends the call: the client receives the response to this attempt. */
    void fulfilled(String apiCall, int attempt);

    /** Ends the call with a rate-limit response: a retry is harmless and is advised after {@code retryAfter}; 0 gives no advice. */
    void rateLimited(String apiCall, long retryAfter);

    /** Ends the call with an error, which leaves open whether the call has taken effect. */
    void errored(String apiCall);

    /** Schedules a call of {@link BalancingPolicy#onTimer} with this token at the time {@code dueAt}. */
    void scheduleTimer(long token, long dueAt);

    /** Sends a message of at most 256 bytes, which may be lost, to the balancer with this index. */
    void sendToPeer(int peer, byte[] message);

    /** Closes the idle connections to an upstream. */
    void closeIdleConnections(String upstream);

    /** Starts a watch of the endpoint list; its updates, or its failure, go to {@link BalancingPolicy#onEndpointUpdate}. */
    void watchEndpoints();
}
