package gorsestack.lab.verify;

/**
 * A client's call, including all its tries. {@link Calls} builds it from the records of a run for the metrics and the charts.
 *
 * @param number the number of the call within the run
 * @param intended when the client intended to make the call, in nanoseconds from the start of the measured load
 * @param ended when the final try ended, in the same unit
 * @param outcome how the final try ended
 * @param value the value that was earned: less than possible if the call was served after its latency objective, and 0 if it was not served
 * @param possibleValue the value of the call if it is served within its latency objective
 */
public record Call(
        int number,
        String product,
        String zone,
        String tenant,
        long intended,
        long ended,
        Outcome outcome,
        double value,
        double possibleValue) {

    /** The outcome of the final try of a call. */
    public enum Outcome {
        /** The client received the correct response within the time budget of the final try. */
        SERVED("served"),
        /** The balancer rejected the call with a status that invites a retry. */
        RATE_LIMITED("rate-limited"),
        /** The call ended in any other way. */
        ERRORED("errored"),
        /** The client gave up and disconnected; such a call counts neither as served nor as failed. */
        ABANDONED("left");

        private final String label;

        Outcome(String label) {
            this.label = label;
        }

        /** Returns the name of the outcome that reports show. */
        public String label() {
            return label;
        }
    }

    /** Returns whether the client received the correct response in time. */
    public boolean served() {
        return outcome == Outcome.SERVED;
    }

    /** Returns whether the call counts for served fractions, which requires that its client waited for the response. */
    public boolean counts() {
        return outcome != Outcome.ABANDONED;
    }

    /** Returns the second of the run in which the client intended to make the call. */
    public long second() {
        return intended / RunMetrics.SECOND;
    }
}
