package gorsestack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.settings.Limits;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;

/**
 * Runs every sequence of five or six events on a watch of the endpoint list and checks the time within which a list is received afterwards.
 * Guards against a watch that is not reopened, or reopened too late, after a refusal, a reset, silence or a move of discovery. A bound that
 * cannot be met shows that the check can fail.
 */
class DiscoveryWatchStatesTest {
    private static final long MS = 1_000_000;
    private static final Limits LIMITS = TestLimits.forMembershipMode("subscribe");
    private static final Limits PUSHED_LISTS = TestLimits.forMembershipMode("automatic");
    private static final long POLLED_BOUND_MILLIS = 6_000;
    private static final long PUSHED_BOUND_MILLIS = 2_000;
    /** Part of the bound that a busy core and the response itself may take, in milliseconds. */
    private static final long SLACK_MILLIS = 500 + 750 - 20;

    private static final InetSocketAddress ADDRESS_A = new InetSocketAddress("127.0.0.1", 8501);
    private static final InetSocketAddress ADDRESS_B = new InetSocketAddress("127.0.0.1", 8502);
    /** A strong reference, so that the logger keeps its level: hundreds of thousands of watches are lost in these tests. */
    private static final Logger DISCOVERY_LOG = Logger.getLogger("gorsestack.discovery");

    static {
        DISCOVERY_LOG.setLevel(Level.OFF);
    }

    private enum Event {
        CONNECTED,
        LIST_RECEIVED,
        REFUSED,
        RESET,
        TIME_PASSES,
        MOVE_TO_A,
        MOVE_TO_B
    }

    private static final List<Event> ALL_EVENTS = List.of(Event.values());
    /** The events without moves, which have a different bound: the list of a new address counts as delivered 4 s later. */
    private static final List<Event> EVENTS_WITHOUT_MOVES = ALL_EVENTS.subList(0, 5);

    private static DiscoveryWatch.Listener listener(double jitter, Consumer<WatchEvent> onEvent) {
        return new DiscoveryWatch.Listener() {
            @Override
            public void watchEvent(WatchEvent event) {
                onEvent.accept(event);
            }

            @Override
            public void watchFailed() {}

            @Override
            public double jitter() {
                return jitter;
            }
        };
    }

    private static String list(long index, boolean snapshot) {
        return WatchMessages.chunk("{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":[]}\n");
    }

    /**
     * Applies one sequence of events to one watch. After each event there must be no more than two connections, and lists must come only
     * from an address that is followed. After the sequence a list must be received within the bound.
     */
    private static final class SequenceRun {
        /** Whether no time passes in the sequence and the bound is far too short, so that the check must fail. */
        private final boolean impossibleBound;
        /**
         * Time within which a list must be received once discovery is reachable, in milliseconds, unless a silent request may be under way.
         */
        private final long boundMillis;

        private final ManualEventLoop eventLoop = new ManualEventLoop(1_000_000);
        private final RecordingNetwork network = new RecordingNetwork(eventLoop);
        private final List<Long> receivedIndexes = new ArrayList<>();
        private final DiscoveryWatch discovery;
        private int nextIndex = 10;

        SequenceRun(Limits limits, long boundMillis, boolean impossibleBound) {
            this.boundMillis = boundMillis;
            this.impossibleBound = impossibleBound;
            discovery = new DiscoveryWatch(
                    network,
                    eventLoop,
                    limits,
                    ADDRESS_A,
                    7,
                    listener(0.999, event -> receivedIndexes.add(event.index())));
        }

        /** Returns what is wrong after the sequence, or null if nothing is. */
        String run(List<Event> sequence) {
            discovery.watch();
            for (Event event : sequence) {
                String failure = apply(event, network.last());
                if (failure != null) {
                    return failure;
                }
                eventLoop.runPending();
                long established = network.connections.stream()
                        .filter(connection -> connection.open() && connection.connected)
                        .count();
                if (established > 2) {
                    return established + " connections to discovery";
                }
            }
            return failureOnceReachable();
        }

        private String apply(Event event, RecordingChannel watch) {
            switch (event) {
                case CONNECTED -> {
                    if (!watch.connected) {
                        watch.connect();
                    }
                }
                case LIST_RECEIVED -> {
                    return receiveList(watch);
                }
                case REFUSED -> refuse(watch);
                case RESET -> {
                    watch.connected = true;
                    watch.disconnect();
                }
                case TIME_PASSES -> eventLoop.advance(impossibleBound ? 0 : 5_000);
                case MOVE_TO_A -> discovery.moveTo(ADDRESS_A);
                case MOVE_TO_B -> discovery.moveTo(ADDRESS_B);
            }
            return null;
        }

        /** Sends a list that spans two lines. */
        private String receiveList(RecordingChannel watch) {
            if (!watch.connected || !watch.open()) {
                return null;
            }
            String head = watch.responseStarted ? "" : WatchMessages.RESPONSE_HEAD;
            watch.responseStarted = true;
            watch.deliver(head
                    + WatchMessages.chunk("{\"index\":" + nextIndex++ + ",\"snapshot\":true,\n \"endpoints\":[]}\n"));
            boolean followed = watch.remoteAddress.equals(discovery.address());
            return followed ? null : "a list came from an address that is not followed";
        }

        private void refuse(RecordingChannel watch) {
            if (watch.connected && watch.open() && !watch.responseStarted) {
                watch.responseStarted = true;
                watch.deliver("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
            }
        }

        /** Returns null if a list is received within the bound once discovery is reachable, whatever happened before. */
        private String failureOnceReachable() {
            long reachableAt = eventLoop.now();
            int listsBefore = receivedIndexes.size();
            int connectionsBefore = network.connections.size();
            boolean pending = network.last().open();
            boolean established = network.last().connected && pending;
            while (receivedIndexes.size() == listsBefore && eventLoop.now() < reachableAt + 20_000 * MS) {
                network.connections.stream()
                        .skip(connectionsBefore)
                        .filter(connection -> !connection.connected)
                        .toList()
                        .forEach(SequenceRun::connectAndSendList);
                eventLoop.advance(10);
            }
            long elapsedMillis = (eventLoop.now() - reachableAt) / MS;
            long bound = (pending ? POLLED_BOUND_MILLIS : boundMillis) - SLACK_MILLIS;
            boolean late = elapsedMillis > (impossibleBound ? 100 : bound);
            return receivedIndexes.size() == listsBefore || late
                    ? "received after " + elapsedMillis + " ms, established " + established
                    : null;
        }

        private static void connectAndSendList(RecordingChannel watch) {
            watch.connect();
            if (watch.open()) {
                watch.deliver(WatchMessages.RESPONSE_HEAD + list(99, true));
            }
        }
    }

    @Test
    void receivesListWithinBoundAfterEverySequenceOfEvents() {
        assertEquals(
                List.of(),
                EventSequences.firstFailure(
                        ALL_EVENTS, 5, sequence -> new SequenceRun(LIMITS, POLLED_BOUND_MILLIS, false).run(sequence)));
        assertTrue(
                !EventSequences.firstFailure(
                                ALL_EVENTS,
                                3,
                                sequence -> new SequenceRun(LIMITS, POLLED_BOUND_MILLIS, true).run(sequence))
                        .isEmpty(),
                "a bound that does not hold must be detected");
    }

    /** A pushed list counts as delivered as soon as its agent is reachable, so it must be received within the drain grace. */
    @Test
    void receivesPushedListWithinDrainGraceOnceAgentIsReachable() {
        assertEquals(
                List.of(),
                EventSequences.firstFailure(
                        EVENTS_WITHOUT_MOVES,
                        6,
                        sequence -> new SequenceRun(PUSHED_LISTS, PUSHED_BOUND_MILLIS, false).run(sequence)));
        assertTrue(
                !EventSequences.firstFailure(
                                EVENTS_WITHOUT_MOVES,
                                3,
                                sequence -> new SequenceRun(LIMITS, PUSHED_BOUND_MILLIS, false).run(sequence))
                        .isEmpty(),
                "lists that are polled may take longer");
    }

    /** Guards against an update that is lost: if it were skipped, only newer ones would be requested from then on. */
    @Test
    void requestsWholeListWhenUpdateCouldNotBeApplied() {
        ManualEventLoop eventLoop = new ManualEventLoop(1_000_000);
        RecordingNetwork network = new RecordingNetwork(eventLoop);
        DiscoveryWatch discovery = new DiscoveryWatch(network, eventLoop, LIMITS, ADDRESS_A, 7, listener(0.5, event -> {
            throw new IllegalStateException("an injected fault");
        }));
        discovery.watch();
        RecordingChannel first = network.last();
        first.connect();
        first.deliver(WatchMessages.RESPONSE_HEAD + list(12, false));
        eventLoop.advance(600);
        RecordingChannel second = network.last();
        assertTrue(second != first && !first.open(), "reopened");
        second.connect();
        assertTrue(second.output.toString().contains("after=0 "), second.output.toString());
    }
}
