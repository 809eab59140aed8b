package gorsestack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.invariant.CloseReason;
import gorsestack.settings.Limits;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Runs every sequence of five of the events on a client connection and compares the responses with a simple model of those that are owed.
 * Guards against responses that are missing, sent without a request or written after the end, as happens when a request arrives while the
 * connection is being closed. An injected fault drops the connection where it should be closed only if idle. With it, a run also fails if
 * the connection was dropped while nothing was owed.
 */
class ClientConnectionStatesTest {
    private static final Limits LIMITS = TestLimits.forMembershipMode("subscribe");
    private static final String REQUEST = "GET /read HTTP/1.1\r\nX-Correlation-Id: c\r\nX-Time-Left: 900m\r\n\r\n";
    private static final String FIRST_PART = REQUEST.substring(0, 20);
    private static final String SECOND_PART = REQUEST.substring(20);
    private static final String WRITTEN_AFTER_END = "bytes were written after the end of the connection";

    private enum Event {
        COMPLETE_REQUEST,
        PART_OF_REQUEST,
        RUN_PENDING,
        RESPOND,
        CLOSE_IF_IDLE,
        START_CLOSING,
        CLIENT_DISCONNECTS,
        TIME_PASSES
    }

    /** Accepts calls and records the events of the connection. */
    private static final class RecordingHandler extends StubRequestHandler {
        int calls;
        int callsOfDisconnectedClients;
        int closedConnections;
        boolean closing;
        boolean callInFlight;

        RecordingHandler() {
            super(LIMITS);
        }

        @Override
        public void call(ClientConnection from, Request request, long arrivedAt) {
            calls++;
            callInFlight = true;
        }

        @Override
        public void clientDisconnected(ClientConnection from) {
            callsOfDisconnectedClients += callInFlight ? 1 : 0;
            callInFlight = false;
        }

        @Override
        public void closed(ClientConnection from) {
            closedConnections++;
        }

        @Override
        public boolean closing() {
            return closing;
        }
    }

    /** Applies one sequence of events to one connection. */
    private static final class SequenceRun {
        /** The injected fault: the connection is dropped without regard to what was read. */
        private final boolean dropsWhenIdle;

        private final ManualEventLoop eventLoop = new ManualEventLoop(1_000_000);
        private final RecordingHandler handler = new RecordingHandler();
        private final ClientConnection connection = new ClientConnection(LIMITS, eventLoop, handler);
        private final RecordingChannel channel = new RecordingChannel(eventLoop, connection, null);
        private int responses;
        private int completeRequests;
        private boolean requestIncomplete;

        SequenceRun(boolean dropsWhenIdle) {
            this.dropsWhenIdle = dropsWhenIdle;
        }

        /** Returns what is wrong after the sequence, or null if nothing is. */
        String run(List<Event> sequence) {
            connection.opened(channel);
            for (Event event : sequence) {
                apply(event);
                if (channel.writesAfterEnd > 0) {
                    return WRITTEN_AFTER_END;
                }
            }
            boolean endedEarly = !channel.open() && handler.closedConnections > 0;
            respondToPipelinedCalls(sequence.size());
            if (channel.writesAfterEnd > 0) {
                return WRITTEN_AFTER_END;
            }
            return failure(sequence.contains(Event.CLIENT_DISCONNECTS), endedEarly);
        }

        private void apply(Event event) {
            switch (event) {
                case COMPLETE_REQUEST -> readCompleteRequest();
                case PART_OF_REQUEST -> readPartOfRequest();
                case RUN_PENDING -> eventLoop.runPending();
                case RESPOND -> {
                    if (handler.callInFlight) {
                        respond();
                    }
                }
                case CLOSE_IF_IDLE -> {
                    if (dropsWhenIdle) {
                        connection.drop(CloseReason.SHUTDOWN);
                    } else {
                        connection.closeIfIdle();
                    }
                }
                case START_CLOSING -> handler.closing = true;
                case CLIENT_DISCONNECTS -> channel.disconnect();
                case TIME_PASSES -> eventLoop.advance(2_600);
            }
        }

        private void readCompleteRequest() {
            if (!requestIncomplete) {
                completeRequests += channel.readable() ? 1 : 0;
                channel.read(REQUEST);
            }
        }

        private void readPartOfRequest() {
            if (channel.readable()) {
                completeRequests += requestIncomplete ? 1 : 0;
                channel.read(requestIncomplete ? SECOND_PART : FIRST_PART);
                requestIncomplete = !requestIncomplete;
            }
        }

        private void respond() {
            handler.callInFlight = false;
            responses++;
            connection.respond(Response.own(200, "", "x"));
        }

        private void respondToPipelinedCalls(int maxCalls) {
            eventLoop.runPending();
            for (int i = 0; i < maxCalls && handler.callInFlight; i++) {
                respond();
                eventLoop.runPending();
            }
            eventLoop.advance(10_000);
        }

        /**
         * Returns null if each request that was read completely on an open connection has its response, unless its client has disconnected.
         */
        private String failure(boolean clientDisconnected, boolean endedEarly) {
            int written = channel.output.toString().split("HTTP/1.1 200", -1).length - 1;
            if (written > completeRequests || handler.calls != responses + handler.callsOfDisconnectedClients) {
                return handler.calls + " calls, " + responses + " responses, " + handler.callsOfDisconnectedClients
                        + " disconnected, " + written + " written";
            }
            if (!clientDisconnected && written < completeRequests) {
                return completeRequests + " requests read, " + written + " responses written";
            }
            return !clientDisconnected && endedEarly && !channel.outputShut && dropsWhenIdle ? "dropped" : null;
        }
    }

    private static List<Event> firstFailure(int length, boolean dropsWhenIdle) {
        return EventSequences.firstFailure(
                List.of(Event.values()), length, sequence -> new SequenceRun(dropsWhenIdle).run(sequence));
    }

    @Test
    void respondsToEachCompleteRequestForEverySequenceOfEvents() {
        assertEquals(List.of(), firstFailure(5, false));
        assertTrue(!firstFailure(3, true).isEmpty(), "a close that ignores what was read must be detected");
    }
}
