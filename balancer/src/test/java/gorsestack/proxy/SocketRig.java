package gorsestack.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.decision.EndpointUpdate;
import gorsestack.settings.Limits;
import gorsestack.settings.SettingsReader;
import gorsestack.wire.ClientConnection;
import gorsestack.wire.ConnectionHandler;
import gorsestack.wire.EventLoop;
import gorsestack.wire.MinaNetwork;
import gorsestack.wire.Network;
import gorsestack.wire.TimerQueue;
import gorsestack.wire.WatchEvent;
import gorsestack.wire.WatchMessages;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * A balancer on real loopback sockets whose event loop runs on the test's own thread. Tasks that the I/O thread submits are queued until
 * the test runs them, so that two events can be handled in either order. The test scripts the peers and advances the clock.
 */
final class SocketRig implements EventLoop, AutoCloseable {
    static final long MS = 1_000_000;
    /** How long a test waits for sockets and threads before it fails. */
    static final int TIMEOUT_MILLIS = 10_000;

    private static final long START_MILLIS = 1_700_000_000_000L;
    /** The number of iterations of the I/O thread after which a changed interest in events has taken effect. */
    private static final int IO_ITERATIONS = 3;

    private static final String LOOPBACK = "127.0.0.1";

    static final String SETTINGS = """
        {"az":"a","zones":["a"],"replicasOfMe":1,"tier":1,"tiers":["x","y"],"step":5,"membershipMode":"subscribe","weightSource":"none",
         "billedValueBy":"request","limits":{"connIdle":30000,"connectTimeout":120,"mayCancel":true,"mostShots":4,"secondCopies":true,
           "retryAfter":true,"maxRetryAfter":1500},
         "rules":{"askWithin":10000,"cold":20000,"coldShare":0.2,"fallMultiple":2.5,"drainGrace":2000},
         "products":[{"name":"read","clientTimeout":3000,"latencySlo":1000,"semantics":"free","billedValue":1},
           {"name":"once","clientTimeout":3000,"latencySlo":1000,"semantics":"single_shot","billedValue":1},
           {"name":"mark","clientTimeout":3000,"latencySlo":1000,"semantics":"guarded","keyScope":"zone","billedValue":1,
            "repeatWindow":5000}]}""";

    final Limits limits;
    final MinaNetwork network;
    final CallDispatcher dispatcher;
    /** The address on which the balancer listens for clients. */
    final InetSocketAddress address;

    /** The handlers of accepted connections, of those to upstreams and of those to discovery, each in the order of their creation. */
    final List<HandlerSpy> clientSpies = new ArrayList<>();

    final List<HandlerSpy> upstreamSpies = new ArrayList<>();
    final List<HandlerSpy> watchSpies = new ArrayList<>();
    final List<ClientConnection> clientConnections = new ArrayList<>();

    final List<ScriptedPeer> upstreams = new ArrayList<>();
    final ScriptedPeer discovery;
    /** Whether the opening and input of connections that the balancer opens from now on are withheld until the test releases them. */
    boolean withholdsConnects;

    /** The tasks that the I/O thread and the event loop have submitted, in order. */
    private final LinkedBlockingDeque<Runnable> tasks = new LinkedBlockingDeque<>();

    private final MinaInternals minaInternals;
    private final TimerQueue timers = new TimerQueue();
    private final Thread testThread = Thread.currentThread();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private volatile long now = START_MILLIS * MS;
    /** The pause of the I/O thread when it next reads the clock, as it does on each read from a socket; null for none. */
    private volatile ThreadPause pauseAtRead;
    /** The pause of the I/O thread after it next submits a task; null for none. */
    private volatile ThreadPause pauseAfterSubmit;

    SocketRig(int upstreamCount) throws IOException {
        this(upstreamCount, SETTINGS);
    }

    SocketRig(int upstreamCount, String settingsJson) throws IOException {
        ObjectMapper json = new ObjectMapper();
        JsonNode settings = json.readTree(settingsJson);
        limits = Limits.of(json.readTree("{\"sockets\":1024}"), settings);
        network = new MinaNetwork(limits, this);
        minaInternals = new MinaInternals(network);
        discovery = new ScriptedPeer();
        resources.add(discovery);
        dispatcher = new CallDispatcher(
                this, limits, SettingsReader.read(settings), 7, new SpyingNetwork(), discovery.address(), 41);
        List<String> endpoints = new ArrayList<>();
        for (int i = 0; i < upstreamCount; i++) {
            ScriptedPeer upstream = new ScriptedPeer();
            resources.add(upstream);
            upstreams.add(upstream);
            endpoints.add(endpoint(i, "in_service"));
        }
        applyUpdate("{\"index\":41,\"endpoints\":[" + String.join(",", endpoints) + "]}", EndpointUpdate.Kind.CACHED);
        dispatcher.acceptCalls();
        address = freeAddress();
        network.listen(address, this::newClientHandler);
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            return (InetSocketAddress) free.getLocalSocketAddress();
        }
    }

    private HandlerSpy newClientHandler() {
        ClientConnection connection = new ClientConnection(limits, this, dispatcher);
        HandlerSpy spy = new HandlerSpy(connection, null);
        synchronized (clientSpies) {
            clientSpies.add(spy);
            clientConnections.add(connection);
        }
        return spy;
    }

    /** The real network with a spy on each connection that the balancer opens. */
    private final class SpyingNetwork implements Network {
        @Override
        public void listen(InetSocketAddress localAddress, Supplier<ConnectionHandler> handlers) throws IOException {
            network.listen(localAddress, handlers);
        }

        @Override
        public void listenSeparately(
                InetSocketAddress localAddress, int maxConnections, Supplier<ConnectionHandler> handlers)
                throws IOException {
            network.listenSeparately(localAddress, maxConnections, handlers);
        }

        @Override
        public void setMaxConnections(int maxConnections) {
            network.setMaxConnections(maxConnections);
        }

        @Override
        public void stopAccepting() {
            network.stopAccepting();
        }

        @Override
        public int accepted() {
            return network.accepted();
        }

        @Override
        public void connect(InetSocketAddress remoteAddress, ConnectionHandler handler) {
            HandlerSpy spy = new HandlerSpy(handler, remoteAddress);
            if (withholdsConnects) {
                spy.withhold();
            }
            (remoteAddress.equals(discovery.address()) ? watchSpies : upstreamSpies).add(spy);
            network.connect(remoteAddress, spy);
        }
    }

    // Endpoint lists.

    /** Returns an entry of the endpoint list for one of the upstreams. */
    String endpoint(int upstream, String status) {
        return "{\"name\":\"s" + upstream + "\",\"address\":\"127.0.0.1:"
                + upstreams.get(upstream).listener.getLocalPort() + "\",\"zone\":\"a\",\"group\":1,\"status\":\""
                + status + "\"}";
    }

    /** Applies an endpoint list without a connection to discovery. */
    void applyUpdate(String listJson, EndpointUpdate.Kind kind) throws IOException {
        dispatcher.watchEvent(WatchEvent.read(new ObjectMapper().readTree(listJson), kind));
    }

    /** Runs until the balancer requests the first watch, and accepts it. */
    Socket acceptWatch() throws Exception {
        advanceUntil(() -> !watchSpies.isEmpty());
        runUntil(() -> watchSpies.get(0).sentCount > 0);
        Socket watch = discovery.accept();
        SocketStreams.readMessage(watch);
        SocketStreams.send(watch, WatchMessages.RESPONSE_HEAD);
        return watch;
    }

    // Clients and upstreams.

    /** Connects a client and runs until the balancer has opened its connection. */
    Socket connectClient() throws Exception {
        return connectClient(new Socket());
    }

    /** Connects a client by this socket and runs until the balancer has opened its connection. */
    Socket connectClient(Socket socket) throws Exception {
        int before = clientSpies.size();
        socket.connect(address);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        resources.add(socket);
        runUntil(() -> clientSpies.size() > before && clientSpies.get(before).channel != null);
        return socket;
    }

    /** Connects a client that has had one response, so that its connection is idle between calls. */
    Socket connectIdleClient() throws Exception {
        Socket client = connectClient();
        SocketStreams.send(client, HttpMessages.request("read", "first"));
        HandlerSpy spy = lastClientSpy();
        Socket upstream = acceptRequest(0);
        SocketStreams.send(upstream, HttpMessages.ok("1"));
        runUntil(() -> spy.sentCount == 1);
        assertTrue(SocketStreams.readMessage(client).endsWith("1"));
        return client;
    }

    /** Runs until a request is sent, and accepts and reads it at this upstream. */
    Socket acceptRequest(int upstream) throws Exception {
        int before = upstreamSpies.size();
        runUntil(() ->
                upstreamSpies.size() > before - 1 && upstreamSpies.stream().anyMatch(spy -> spy.sentCount > 0));
        Socket accepted = upstreams.get(upstream).accept();
        SocketStreams.readMessage(accepted);
        return accepted;
    }

    /** Runs until the upstream connection with this number has been opened and its request has been sent. */
    void runUntilRequestSent(int connection) throws InterruptedException {
        runUntil(() -> upstreamSpies.size() > connection && upstreamSpies.get(connection).sentCount > 0);
    }

    HandlerSpy clientSpy(int number) {
        return clientSpies.get(number);
    }

    /** Returns the spy on the client connection that was accepted last. */
    HandlerSpy lastClientSpy() {
        return clientSpies.get(clientSpies.size() - 1);
    }

    // The event loop and its clock.

    @Override
    public long now() {
        ThreadPause pause = pauseAtRead;
        if (pause != null && Thread.currentThread() != testThread) {
            pauseAtRead = null;
            pause.hold();
        }
        return now;
    }

    @Override
    public void execute(Runnable task) {
        tasks.add(task);
        ThreadPause pause = pauseAfterSubmit;
        if (pause != null && Thread.currentThread() != testThread) {
            pauseAfterSubmit = null;
            pause.hold();
        }
    }

    @Override
    public Runnable at(long time, Runnable task) {
        return timers.add(time, task);
    }

    /** Returns the number of timers that the balancer has set and not cancelled. */
    int timerCount() {
        return timers.size();
    }

    /** Waits until a task has been submitted, and leaves it in the queue. */
    void awaitQueuedTask() throws InterruptedException {
        Runnable first = tasks.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        if (first == null) {
            throw new AssertionError("no task was submitted");
        }
        tasks.addFirst(first);
    }

    /** Returns whether a task has been submitted that has not been run. */
    boolean hasQueuedTask() {
        return !tasks.isEmpty();
    }

    /** Removes the next task from the queue, for the test to run later. */
    Runnable takeQueuedTask() throws InterruptedException {
        awaitQueuedTask();
        return tasks.removeFirst();
    }

    /** Runs all tasks that have been submitted so far. */
    void runPending() {
        for (Runnable task; (task = tasks.poll()) != null; ) {
            task.run();
        }
    }

    /** Runs tasks as they are submitted until the condition holds. */
    void runUntil(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TIMEOUT_MILLIS * MS;
        while (!condition.getAsBoolean()) {
            Runnable task = tasks.poll(5, TimeUnit.MILLISECONDS);
            if (task != null) {
                task.run();
            } else if (System.nanoTime() > end) {
                throw new AssertionError("the condition did not hold within " + TIMEOUT_MILLIS + " ms");
            }
        }
    }

    /** Waits, without running any task, until a condition on the I/O threads holds. */
    @SuppressWarnings("ThreadPriorityCheck") // yields to the I/O threads, for whose progress it waits
    void awaitWithoutRunning(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TIMEOUT_MILLIS * MS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError(
                        "the condition of the I/O threads did not hold within " + TIMEOUT_MILLIS + " ms");
            }
            Thread.onSpinWait();
            Thread.yield();
        }
    }

    /** Advances the clock without running anything, as a late event loop would. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // written by the test's thread alone
    void advanceWithoutRunning(long millis) {
        now += millis * MS;
    }

    /** Advances the clock and runs the timers that become due, with the tasks that they and the I/O thread submit. */
    void advance(long millis) {
        long end = now + millis * MS;
        runPending();
        TimerQueue.Timer timer;
        while ((timer = timers.pollDue(end)) != null) {
            fire(timer);
            runPending();
        }
        now = end;
    }

    /** Advances the clock from timer to timer until the condition holds, and runs nothing after that. */
    void advanceUntil(BooleanSupplier condition) {
        runPending();
        while (!condition.getAsBoolean()) {
            fire(timers.poll());
            if (!condition.getAsBoolean()) {
                runPending();
            }
        }
    }

    private void fire(TimerQueue.Timer timer) {
        now = Math.max(now, timer.dueAt());
        timer.task().run();
    }

    // The I/O thread.

    /** Waits for some iterations of the I/O thread, after which a change of the events that it waits for is in effect. */
    void awaitIoIterations() throws Exception {
        for (int i = 0; i < IO_ITERATIONS; i++) {
            CountDownLatch done = new CountDownLatch(1);
            minaInternals.executeOnIoThread(done::countDown);
            ThreadPause.awaitIoThread(done);
        }
    }

    /** Pauses the I/O thread, which does nothing from the return of this method until it is resumed. */
    ThreadPause pauseIoThread() throws Exception {
        ThreadPause pause = new ThreadPause();
        minaInternals.executeOnIoThread(pause::hold);
        pause.awaitReached();
        return pause;
    }

    /** Sends text and pauses the I/O thread when it has read the text from the socket and not yet submitted it to the event loop. */
    ThreadPause pauseInRead(Socket sender, String text) throws Exception {
        ThreadPause pause = new ThreadPause();
        pauseAtRead = pause;
        SocketStreams.send(sender, text);
        pause.awaitReached();
        return pause;
    }

    /** Closes a connection that has nothing to write, and pauses the I/O thread during the close. */
    ThreadPause pauseInClose(HandlerSpy spy) throws Exception {
        ThreadPause pause = new ThreadPause();
        pauseAfterSubmit = pause;
        spy.channel.close();
        pause.awaitReached();
        return pause;
    }

    /** Closes all sockets and stops the threads of the network, which in production end with the process. */
    @Override
    public void close() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        minaInternals.dispose();
    }
}
