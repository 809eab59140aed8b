package gorsestack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.Outcome;
import gorsestack.settings.Limits;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Runs every sequence of five of the events on a connection that carries one attempt, and compares the outcome with a simple model. Guards
 * against attempts that end twice, that are sent although their call has ended, or that count as not executed although the request was
 * written: such a call would run twice. An injected fault lets a request be sent although its call has ended. With it, the check that a
 * request is not sent on connect is off; a separate predicate, {@code injectedFaultDetected}, reports a request that was sent although the
 * sequence began with the end of its call.
 */
class UpstreamConnectionStatesTest {
    private static final Limits LIMITS = TestLimits.forMembershipMode("subscribe");
    private static final String SENT_ALTHOUGH_UNWANTED = "the request was sent although it was no longer wanted";

    private enum Event {
        CONNECTED,
        RUN_PENDING,
        COMPLETE_RESPONSE,
        RESPONSE_WITHOUT_LENGTH,
        ORDERLY_END,
        RESET,
        CONNECT_TIMES_OUT,
        CANCEL,
        UPSTREAM_DRAINS,
        CALL_ENDS
    }

    /** Stands for the pool that owns the connection and for the attempt's listener; records the outcomes of the attempt. */
    private static final class AttemptRecorder implements UpstreamConnectionOwner, AttemptListener {
        final List<Outcome> outcomes = new ArrayList<>();
        boolean upstreamAcceptsNew = true;
        boolean callOpen = true;

        @Override
        public void becameIdle(UpstreamConnection connection) {}

        @Override
        public void closed(UpstreamConnection connection) {}

        @Override
        public void bytesReceived(UpstreamConnection connection, long readAt) {}

        @Override
        public void reusedConnectionLost() {}

        @Override
        public boolean mayContinueConnecting(UpstreamConnection connection) {
            return true;
        }

        @Override
        public void unexpectedBytes() {}

        @Override
        public boolean acceptsRequests(UpstreamConnection connection) {
            return upstreamAcceptsNew;
        }

        @Override
        public BufferBudget bufferBudget() {
            return new BufferBudget(LIMITS);
        }

        @Override
        public byte[] request() {
            return "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        }

        @Override
        public void ended(Outcome outcome, Response response) {
            outcomes.add(outcome);
        }

        @Override
        public void reported(String report) {}

        @Override
        public boolean mayBeSent() {
            return callOpen;
        }
    }

    /** Applies one sequence of events to one attempt. */
    private static final class SequenceRun {
        /** The injected fault: the end of the call is not noticed when its request is sent. */
        private final boolean ignoresCallEnd;

        private final ManualEventLoop eventLoop = new ManualEventLoop(1_000_000);
        private final RecordingNetwork network = new RecordingNetwork(eventLoop);
        private final AttemptRecorder recorder = new AttemptRecorder();
        private final UpstreamConnection connection =
                new UpstreamConnection(LIMITS, eventLoop, recorder, "u", new InetSocketAddress(1));
        private RecordingChannel channel;
        private boolean responseWithoutLength;
        private boolean responseComplete;
        private boolean requestWritten;
        private boolean mustNotBeSentAnyMore;

        SequenceRun(boolean ignoresCallEnd) {
            this.ignoresCallEnd = ignoresCallEnd;
        }

        /** Returns what is wrong after the sequence, or null if nothing is. */
        String run(List<Event> sequence) {
            connection.connect(network);
            connection.send(null, recorder);
            channel = network.last();
            for (Event event : sequence) {
                if (event == Event.CONNECTED && !channel.connected) {
                    if (connectsAndSendsAlthoughUnwanted()) {
                        return SENT_ALTHOUGH_UNWANTED;
                    }
                } else {
                    apply(event);
                }
            }
            eventLoop.runPending();
            String failure = failure();
            return failure == null && injectedFaultDetected(sequence) ? SENT_ALTHOUGH_UNWANTED : failure;
        }

        /** Establishes the connection; returns whether the request was sent although it must not be. */
        private boolean connectsAndSendsAlthoughUnwanted() {
            channel.connected = true;
            boolean mustNotSend = mustNotBeSentAnyMore && !ignoresCallEnd;
            eventLoop.execute(() -> connection.opened(channel));
            eventLoop.runPending();
            requestWritten |= hasOutput();
            return mustNotSend && hasOutput();
        }

        private boolean hasOutput() {
            return channel.output.length() > 0;
        }

        private boolean responseMayFollow() {
            return channel.connected && hasOutput() && !responseWithoutLength;
        }

        private void apply(Event event) {
            switch (event) {
                case CONNECTED -> {} // A connection is established only once.
                case RUN_PENDING -> eventLoop.runPending();
                case COMPLETE_RESPONSE -> readCompleteResponse();
                case RESPONSE_WITHOUT_LENGTH -> readResponseWithoutLength();
                case ORDERLY_END -> endInOrder();
                case RESET -> {
                    if (channel.connected) {
                        channel.disconnect();
                    }
                }
                case CONNECT_TIMES_OUT -> connection.connectTimedOut();
                case CANCEL -> cancel();
                case UPSTREAM_DRAINS -> {
                    recorder.upstreamAcceptsNew = false;
                    mustNotBeSentAnyMore = true;
                    connection.stopNewRequests();
                }
                case CALL_ENDS -> {
                    recorder.callOpen = ignoresCallEnd;
                    mustNotBeSentAnyMore = true;
                }
            }
        }

        private void readCompleteResponse() {
            if (responseMayFollow()) {
                responseComplete |= channel.open();
                channel.read("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
            }
        }

        private void readResponseWithoutLength() {
            if (responseMayFollow() && !responseComplete && channel.open()) {
                responseWithoutLength = true;
                channel.read("HTTP/1.1 200 OK\r\n\r\nx");
            }
        }

        private void endInOrder() {
            if (channel.connected && channel.open()) {
                responseComplete |= responseWithoutLength;
                eventLoop.execute(connection::ended);
                channel.disconnect();
            }
        }

        private void cancel() {
            if (recorder.outcomes.isEmpty()) {
                connection.giveUp();
                recorder.outcomes.add(Outcome.CANCELLED);
                mustNotBeSentAnyMore = true;
            }
        }

        private String failure() {
            if (recorder.outcomes.size() > 1) {
                return "the attempt ended more than once: " + recorder.outcomes;
            }
            Outcome outcome = recorder.outcomes.isEmpty() ? null : recorder.outcomes.get(0);
            if (outcome == Outcome.FULFILLED && !responseComplete) {
                return "fulfilled by an incomplete response";
            }
            boolean claimsNotExecuted = outcome != null && outcome != Outcome.CANCELLED && outcome.provesNotExecuted;
            return claimsNotExecuted && requestWritten && hasOutput()
                    ? outcome + " claims that nothing was executed, although the request was written"
                    : null;
        }

        private boolean injectedFaultDetected(List<Event> sequence) {
            return ignoresCallEnd && mustNotBeSentAnyMore && hasOutput() && sequence.get(0) == Event.CALL_ENDS;
        }
    }

    private static List<Event> firstFailure(int length, boolean ignoresCallEnd) {
        return EventSequences.firstFailure(
                List.of(Event.values()), length, sequence -> new SequenceRun(ignoresCallEnd).run(sequence));
    }

    @Test
    void endsOnceWithCorrectOutcomeForEverySequenceOfEvents() {
        assertEquals(List.of(), firstFailure(5, false));
        assertTrue(
                !firstFailure(3, true).isEmpty(), "an attempt that is sent after its call has ended must be detected");
    }
}
