package gorsestack.proxy;

import static gorsestack.proxy.HttpMessages.request;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.decision.EndpointUpdate.Kind;
import gorsestack.wire.WatchEvent;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays every order in which an upstream ends, another one starts at its address, the endpoint list tells of both, and deduplicated calls
 * come, wait, fail and are answered. Guards against a call that runs in two groups, because the balancer takes an upstream for the process
 * that it was, or forgets to which group it has sent an attempt; and against a call without exactly one final response.
 */
class UpstreamReplacementOrderTest {
    /** The log of the watch, on which every sequence would leave some lines; kept, as the logging library forgets a level otherwise. */
    private static final Logger DISCOVERY_LOG = Logger.getLogger("gorsestack.discovery");

    /** Length of the sequences; a longer one takes minutes. */
    private static final int LENGTH = Integer.getInteger("gorsestack.test.replacement.length", 5);

    private static final int MAX_CALLS = 2;
    /** Number of successful calls that earn the budget of a hedged request. */
    private static final int EARNING_CALLS = 40;
    /** Time after which a second attempt of a call that has no response is due. */
    private static final int HEDGE_MILLIS = 650;

    private static final int STEP_MILLIS = 50;
    private static final int IDLE_TIMEOUT_MILLIS = 31_000;
    private static final int CLIENT_TIMEOUT_MILLIS = 3_000;

    private enum Event {
        CALL,
        WAIT,
        ANSWER,
        FAIL,
        DIES,
        VANISHES,
        STARTS,
        LIST_TELLS_END,
        LIST_TELLS_START,
        LIST_TELLS_BOTH,
        WHOLE_LIST
    }

    /** Whether connections to the upstreams are open at the start. */
    private enum Start {
        CONNECTED,
        UNCONNECTED
    }

    /** What has happened so far, by which the next events are chosen. */
    private static final class History {
        int calls;
        boolean ended;
        boolean started;
        boolean endTold;
        boolean startTold;

        boolean allows(Event event) {
            return switch (event) {
                case CALL -> calls < MAX_CALLS;
                case WAIT, ANSWER, FAIL -> calls > 0;
                case DIES, VANISHES -> !ended;
                case STARTS -> ended && !started;
                case LIST_TELLS_END -> ended && !endTold;
                case LIST_TELLS_START -> started && !startTold;
                case LIST_TELLS_BOTH -> started && !startTold && !endTold;
                case WHOLE_LIST -> (ended && !endTold) || (started && !startTold);
            };
        }

        void add(Event event) {
            calls += event == Event.CALL ? 1 : 0;
            ended |= event == Event.DIES || event == Event.VANISHES;
            started |= event == Event.STARTS;
            endTold |= event == Event.LIST_TELLS_END || event == Event.LIST_TELLS_BOTH || event == Event.WHOLE_LIST;
            startTold |= event == Event.LIST_TELLS_START
                    || event == Event.LIST_TELLS_BOTH
                    || (event == Event.WHOLE_LIST && started);
        }
    }

    private enum Group {
        FIRST("a", 1),
        OTHER("b", 0);

        final String zone;
        final int cell;

        Group(String zone, int cell) {
            this.zone = zone;
            this.cell = cell;
        }
    }

    /** A process of an upstream, which listens at an address until it ends. */
    private static final class Upstream {
        final String name;
        final int host;
        final Group group;
        boolean running = true;

        Upstream(String name, int host, Group group) {
            this.name = name;
            this.host = host;
            this.group = group;
        }

        String entry(String status) {
            return "{\"name\":\"" + name + "\",\"address\":\"127.0.1." + host + ":80\",\"zone\":\"" + group.zone
                    + "\",\"group\":" + group.cell + ",\"status\":\"" + status + "\"}";
        }
    }

    /** A balancer, its upstreams and its clients, to which one sequence of events is applied. */
    private static final class World {
        private final ObjectMapper json = new ObjectMapper();
        private final String product;
        private final Group successorGroup;
        private final DispatcherRig rig;
        private final Upstream original = new Upstream("s1", 1, Group.FIRST);
        private final List<Upstream> others =
                List.of(new Upstream("s2", 2, Group.FIRST), new Upstream("s3", 3, Group.OTHER));
        private Upstream successor;
        private boolean vanished;
        private final Map<FakeSocket, Upstream> peers = new HashMap<>();
        private final Set<FakeSocket> unanswered = new HashSet<>();
        private final List<FakeSocket> clients = new ArrayList<>();
        private final Map<String, Set<Group>> groupsByCall = new HashMap<>();

        World(String product, Group successorGroup, boolean connected, int earningCalls) throws IOException {
            this.product = product;
            this.successorGroup = successorGroup;
            rig = new DispatcherRig(
                    "{\"sockets\":1024}",
                    original.entry("in_service"),
                    others.get(0).entry("in_service"),
                    others.get(1).entry("in_service"));
            rig.connectsAtOnce = false;
            for (int i = 0; i < earningCalls; i++) {
                rig.client().send(request("read", "earning" + i));
                exchange();
                answer("200 OK");
                rig.advance(STEP_MILLIS);
            }
            if (!connected) {
                advance(IDLE_TIMEOUT_MILLIS);
            }
            groupsByCall.clear();
        }

        void apply(Event event) throws IOException {
            switch (event) {
                case CALL -> call();
                case WAIT -> advance(HEDGE_MILLIS);
                case ANSWER -> answer("200 OK");
                case FAIL -> answer("500 Failed");
                case DIES -> die();
                case VANISHES -> vanish();
                case STARTS -> successor = new Upstream("s4", original.host, successorGroup);
                case LIST_TELLS_END -> tell(Kind.DELTA, original.entry("terminated"));
                case LIST_TELLS_START -> tell(Kind.DELTA, successor.entry("in_service"));
                case LIST_TELLS_BOTH -> tell(Kind.DELTA, original.entry("terminated"), successor.entry("in_service"));
                case WHOLE_LIST -> tell(Kind.SNAPSHOT, wholeList());
            }
            exchange();
        }

        private void call() {
            FakeSocket client = rig.client();
            client.send(request(product, "call" + clients.size()));
            clients.add(client);
        }

        private void die() {
            original.running = false;
            peers.forEach((socket, process) -> {
                if (process == original && socket.open()) {
                    socket.queueDisconnect();
                }
            });
            unanswered.removeIf(socket -> peers.get(socket) == original);
            rig.runPending();
        }

        private void vanish() {
            original.running = false;
            vanished = true;
            unanswered.removeIf(socket -> peers.get(socket) == original);
        }

        private String[] wholeList() {
            List<String> entries = new ArrayList<>();
            others.forEach(process -> entries.add(process.entry("in_service")));
            if (successor != null) {
                entries.add(successor.entry("in_service"));
            }
            return entries.toArray(String[]::new);
        }

        private void tell(Kind kind, String... entries) throws IOException {
            rig.dispatcher.watchEvent(WatchEvent.read(
                    json.readTree("{\"index\":50,\"endpoints\":[" + String.join(",", entries) + "]}"), kind));
            rig.runPending();
        }

        private void advance(int millis) {
            for (int passed = 0; passed < millis; passed += STEP_MILLIS) {
                rig.advance(STEP_MILLIS);
                exchange();
            }
        }

        /** Lets upstreams accept or refuse connections, and run the requests that have reached them. */
        private void exchange() {
            for (int before = -1; before != peers.size(); ) {
                before = peers.size();
                List.copyOf(rig.upstreamConnections()).stream()
                        .filter(socket -> !peers.containsKey(socket))
                        .forEach(this::accept);
                rig.runPending();
            }
            peers.forEach(this::runRequest);
        }

        private void accept(FakeSocket socket) {
            Upstream process = listener(socket.remoteAddress.getAddress().getAddress()[3]);
            if (process != null) {
                peers.put(socket, process);
                socket.queueConnect();
            } else if (!vanished) {
                peers.put(socket, original);
                socket.queueDisconnect();
            }
        }

        /** Returns the process that listens at an address; null if none does. */
        private Upstream listener(int host) {
            if (host != original.host) {
                return others.get(host - 2);
            }
            return original.running ? original : successor;
        }

        private void runRequest(FakeSocket socket, Upstream process) {
            String request = process.running ? socket.takeOutput() : "";
            int id = request.indexOf("call");
            if (id >= 0) {
                groupsByCall
                        .computeIfAbsent(request.substring(id, id + "call0".length()), call -> new HashSet<>())
                        .add(process.group);
            }
            if (!request.isEmpty()) {
                unanswered.add(socket);
            }
        }

        private void answer(String status) {
            for (FakeSocket socket : List.copyOf(unanswered)) {
                if (socket.open()) {
                    socket.send("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
                }
            }
            unanswered.clear();
        }

        /** Returns what is wrong so far, or null if nothing is. */
        String failure() {
            return groupsByCall.values().stream().anyMatch(groups -> groups.size() > 1)
                    ? "ran in two groups: " + groupsByCall
                    : null;
        }

        /** Waits until all calls are over; returns what is wrong then, or null if nothing is. */
        String failureAtEnd() {
            advance(CLIENT_TIMEOUT_MILLIS);
            for (FakeSocket client : clients) {
                int responses = client.output.split("HTTP/1\\.1 ", -1).length - 1;
                if (responses != 1) {
                    return responses + " final responses";
                }
            }
            return failure();
        }
    }

    @BeforeAll
    static void silenceWatch() {
        DISCOVERY_LOG.setLevel(Level.OFF);
    }

    @AfterAll
    static void restoreLog() {
        DISCOVERY_LOG.setLevel(null);
    }

    /** Plays the orders over some of the events, and counts those that fail. */
    private static final class Plays {
        private final String product;
        private final Group successorGroup;
        private final Set<Event> events;
        private final Set<Start> starts;
        private final List<String> failures = new ArrayList<>();
        private int played;

        Plays(String product, Group successorGroup, Set<Event> events, Set<Start> starts) {
            this.product = product;
            this.successorGroup = successorGroup;
            this.events = events;
            this.starts = starts;
        }

        void assertNoFailure() {
            playAll(new ArrayList<>());
            System.err.println("replacement orders of " + LENGTH + " events, " + product + ", successor in group "
                    + successorGroup + ", " + starts + ": " + played + " played, " + failures.size() + " failed");
            assertTrue(played > 0);
            assertEquals(List.of(), failures.stream().limit(5).toList(), failures.size() + " of " + played);
        }

        private void playAll(List<Event> sequence) {
            if (sequence.size() == LENGTH) {
                play(sequence);
                return;
            }
            History history = new History();
            sequence.forEach(history::add);
            for (Event event : events) {
                if (history.allows(event)) {
                    sequence.add(event);
                    playAll(sequence);
                    sequence.remove(sequence.size() - 1);
                }
            }
        }

        /** Plays a sequence from each start, and with each upstream as the one that the rotation has come to. */
        private void play(List<Event> sequence) {
            for (Start start : starts) {
                for (int offset = 0; offset < 3; offset++) {
                    String failure = playOne(product, successorGroup, start, offset, sequence);
                    played++;
                    if (failure != null) {
                        failures.add(sequence + ", " + start + ", offset " + offset + ": " + failure);
                    }
                }
            }
        }
    }

    /** The successor belongs to the group of its predecessor, so that only the list's messages can mislead. */
    @ParameterizedTest
    @CsvSource({"mark", "mark-in-cell"})
    void runsNoCallInTwoGroupsWhenTheSuccessorIsOfTheSameGroup(String product) {
        new Plays(product, Group.FIRST, EnumSet.allOf(Event.class), EnumSet.allOf(Start.class)).assertNoFailure();
    }

    /** The successor belongs to another group, and takes calls before the list tells of it; connections were lost when its predecessor died. */
    @ParameterizedTest
    @CsvSource({"mark", "mark-in-cell"})
    void runsNoCallInTwoGroupsWhenConnectionsToThePredecessorWereLost(String product) {
        Set<Event> events = EnumSet.complementOf(EnumSet.of(Event.VANISHES));
        new Plays(product, Group.OTHER, events, EnumSet.of(Start.CONNECTED)).assertNoFailure();
    }

    /** The same if nothing tells of the replacement: no connection was open, or the predecessor has vanished and its connections stay open. */
    @ParameterizedTest
    @CsvSource({"mark", "mark-in-cell"})
    void runsNoCallInTwoGroupsWhenNothingTellsOfTheReplacement(String product) {
        new Plays(product, Group.OTHER, EnumSet.allOf(Event.class), EnumSet.allOf(Start.class)).assertNoFailure();
    }

    private static String playOne(String product, Group successorGroup, Start start, int offset, List<Event> sequence) {
        try {
            World world = new World(product, successorGroup, start == Start.CONNECTED, EARNING_CALLS + offset);
            for (Event event : sequence) {
                world.apply(event);
                if (world.failure() != null) {
                    return "after " + event + " " + world.failure();
                }
            }
            return world.failureAtEnd();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
