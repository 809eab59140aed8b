package gorsestack.decision;

/**
 * What is known about the process at the address of one upstream: whether it is the one that the endpoint list names, or may be another
 * one. The list tells seconds later that an upstream has ended and that another one has its address. Belongs to {@link UpstreamIdentities};
 * used on the policy's thread.
 *
 * <table>
 *   <caption>Transitions</caption>
 *   <tr><th>state</th><th>listed anew</th><th>contact lost</th><th>known process responds</th><th>list confirmed later</th></tr>
 *   <tr><td>LISTED</td><td>LISTED</td><td>IN_DOUBT</td><td>LISTED</td><td>LISTED</td></tr>
 *   <tr><td>IN_DOUBT</td><td>LISTED</td><td>IN_DOUBT</td><td>CONFIRMED</td><td>LISTED</td></tr>
 *   <tr><td>CONFIRMED</td><td>LISTED</td><td>IN_DOUBT</td><td>CONFIRMED</td><td>CONFIRMED</td></tr>
 * </table>
 */
final class UpstreamIdentity {
    /** What is known about the process. */
    enum State {
        /** The list names the upstream, and nothing has spoken against it since. */
        LISTED,
        /** Contact was lost, and the list has not told since what became of the upstream: another process may be at its address. */
        IN_DOUBT,
        /** Contact was lost, and the same process has responded after that. */
        CONFIRMED
    }

    private State state = State.LISTED;
    /** The latest time at which the process that the list names is known to have run. */
    private long knownUntil;
    /** The time of the latest loss of contact. */
    private long contactLostAt;

    State state() {
        return state;
    }

    /** Returns whether nothing speaks against the process being the one that the list names. */
    boolean isKnown() {
        return state != State.IN_DOUBT;
    }

    /** Handles that the list names the upstream for the first time, again, or with a new start. */
    void onListed(long now) {
        state = State.LISTED;
        knownUntil = now;
    }

    /** Handles that the upstream has ended a connection, or has refused one. */
    void onContactLost(long now) {
        state = State.IN_DOUBT;
        contactLostAt = now;
    }

    /** Handles bytes on a connection. One that was established after the process was last known to run may lead to another process. */
    void onBytes(long connectedAt, long now) {
        if (state == State.IN_DOUBT && connectedAt <= knownUntil) {
            state = State.CONFIRMED;
        }
        if (isKnown()) {
            knownUntil = now;
        }
    }

    /** Handles that discovery has confirmed the list at a time: after {@code settlingTime} it would not name an upstream that has ended. */
    void onListConfirmed(long confirmedAt, long settlingTime) {
        if (state == State.IN_DOUBT && confirmedAt - contactLostAt >= settlingTime) {
            state = State.LISTED;
            knownUntil = contactLostAt;
        }
    }
}
