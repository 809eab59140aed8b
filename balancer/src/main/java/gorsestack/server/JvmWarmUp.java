package gorsestack.server;

import gorsestack.decision.Endpoint;
import gorsestack.decision.EndpointState;
import gorsestack.decision.EndpointUpdate;
import gorsestack.decision.Settings;
import gorsestack.proxy.CallDispatcher;
import gorsestack.settings.Limits;
import gorsestack.wire.Channel;
import gorsestack.wire.ClientConnection;
import gorsestack.wire.ConnectionHandler;
import gorsestack.wire.EventLoop;
import gorsestack.wire.Network;
import gorsestack.wire.WatchEvent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Exercises the code that serves calls before the balancer reports that it is ready. Prevents the first calls from being late while the
 * JVM has not compiled that code yet. A separate dispatcher with its own policy serves calls in memory, and some health checks are sent
 * over real sockets.
 *
 * <p>Threads: {@link BalancerServer} uses it on the main thread, where the calls run on an event loop in memory. The health checks run on
 * the balancer's event loop.
 */
final class JvmWarmUp {
    /** The number of calls. The JVM compiles a method at its 200th invocation; more calls would delay a restart more than they gain. */
    private static final int CALLS = 200;

    private static final int ENDPOINTS = 12;
    /** One in this many responses is replaced by a closed connection. */
    private static final int RESET_INTERVAL = 20;

    private static final int BODY_BYTES = 64;
    private static final int CONNECTIONS = 4;
    private static final int CHECKS_PER_CONNECTION = 8;
    private static final byte[] HEALTH_CHECK =
            "GET /_health HTTP/1.1\r\nHost: self\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] OK = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Type: text/plain\r\n\r\nwarm\n"
            .getBytes(StandardCharsets.US_ASCII);

    private JvmWarmUp() {}

    /**
     * Serves calls through all layers except the sockets. Upstreams respond immediately; some close the connection instead.
     *
     * @param maxNanos the longest duration, which limits the warm-up on a slow core
     */
    static void exerciseCalls(Limits limits, Settings settings, long maxNanos) {
        InMemoryNetwork network = new InMemoryNetwork();
        CallDispatcher calls = new CallDispatcher(network, limits, settings, 1, network, new InetSocketAddress(0), 0);
        calls.watchEvent(endpoints(settings));
        long deadline = network.now() + maxNanos;
        for (int i = 0; i < CALLS && network.now() < deadline; i++) {
            Settings.Product product =
                    settings.products().get(i % settings.products().size());
            ClientConnection client = new ClientConnection(limits, network, calls);
            InMemoryNetwork.InMemoryChannel channel = network.new InMemoryChannel(client, false);
            client.opened(channel);
            client.received(request(product, i), network.now());
            network.drain();
            channel.close();
            network.drain();
        }
    }

    private static WatchEvent endpoints(Settings settings) {
        List<Endpoint> endpoints = new ArrayList<>();
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            Optional<String> zone = settings.zones().isEmpty()
                    ? Optional.empty()
                    : Optional.of(settings.zones().get(i % settings.zones().size()));
            endpoints.add(new Endpoint("w" + i, EndpointState.READY, 0, OptionalInt.of(i), 1, "", zone));
            addresses.put("w" + i, new InetSocketAddress(1 + i));
        }
        return new WatchEvent(0, new EndpointUpdate(EndpointUpdate.Kind.SNAPSHOT, endpoints), addresses);
    }

    private static byte[] request(Settings.Product product, int number) {
        boolean get = product.repeat() == Settings.Repeat.IDEMPOTENT;
        String key = product.repeat() == Settings.Repeat.DEDUPLICATED ? "Idempotency-Key: " + number + "\r\n" : "";
        String request = (get ? "GET /" : "POST /") + product.name() + "/x HTTP/1.1\r\nHost: service.internal\r\n"
                + "X-Correlation-Id: " + number + "\r\nX-Time-Left: 1500m\r\n" + key
                + (get ? "\r\n" : "Content-Length: " + BODY_BYTES + "\r\n\r\n" + "x".repeat(BODY_BYTES));
        return request.getBytes(StandardCharsets.US_ASCII);
    }

    /**
     * Sends health checks over real sockets to this balancer's own address.
     *
     * @param maxNanos the longest time to wait for the responses
     */
    static void exerciseSockets(Network network, EventLoop eventLoop, InetSocketAddress ownAddress, long maxNanos) {
        CountDownLatch remaining = new CountDownLatch(CONNECTIONS);
        eventLoop.execute(() -> new HealthCheckConnection(network, ownAddress, remaining, CONNECTIONS).start());
        try {
            remaining.await(maxNanos, TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends health checks over one connection and opens the next one when it closes; on the event loop's thread. */
    private static final class HealthCheckConnection implements ConnectionHandler {
        private final Network network;
        private final InetSocketAddress ownAddress;
        private final CountDownLatch remaining;
        private final int remainingConnections;
        private Channel channel;
        private int checks;
        private boolean closed;

        HealthCheckConnection(
                Network network, InetSocketAddress ownAddress, CountDownLatch remaining, int remainingConnections) {
            this.network = network;
            this.ownAddress = ownAddress;
            this.remaining = remaining;
            this.remainingConnections = remainingConnections;
        }

        void start() {
            network.connect(ownAddress, this);
        }

        @Override
        public void opened(Channel opened) {
            channel = opened;
            received(null, 0);
        }

        @Override
        public void received(byte[] bytes, long receivedAt) {
            if (checks++ < CHECKS_PER_CONNECTION) {
                channel.write(HEALTH_CHECK);
            } else {
                channel.close();
            }
        }

        @Override
        public void sent() {}

        @Override
        public void closed() {
            if (!closed) {
                closed = true;
                remaining.countDown();
                if (remainingConnections > 1) {
                    new HealthCheckConnection(network, ownAddress, remaining, remainingConnections - 1).start();
                }
            }
        }
    }

    /** An in-memory network and event loop. Tasks run in order in {@link #drain}, timers never run. Not thread-safe. */
    private static final class InMemoryNetwork implements EventLoop, Network {
        private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
        private int responses;

        final class InMemoryChannel implements Channel {
            private final ConnectionHandler handler;
            private final boolean upstream;
            private boolean closed;

            InMemoryChannel(ConnectionHandler handler, boolean upstream) {
                this.handler = handler;
                this.upstream = upstream;
            }

            @Override
            public void write(byte[] bytes) {
                execute(handler::sent);
                if (upstream && ++responses % RESET_INTERVAL != 0) {
                    execute(() -> handler.received(OK, now()));
                } else if (upstream) {
                    close();
                }
            }

            @Override
            public long unsent() {
                return 0;
            }

            @Override
            public long sentBytes() {
                return 0;
            }

            @Override
            public void close() {
                if (!closed) {
                    closed = true;
                    execute(handler::closed);
                }
            }

            @Override
            public boolean hasUnhandledInput() {
                return false;
            }

            @Override
            public boolean open() {
                return !closed;
            }

            @Override
            public void finish() {
                close();
            }

            @Override
            public void finishUnlessInputArrived() {
                close();
            }

            @Override
            public void suspendReading(boolean suspended) {}

            @Override
            public void discard() {}
        }

        void drain() {
            for (Runnable task; (task = tasks.poll()) != null; ) {
                task.run();
            }
        }

        @Override
        public long now() {
            return System.nanoTime();
        }

        @Override
        public Runnable at(long time, Runnable task) {
            return () -> {};
        }

        @Override
        public void execute(Runnable task) {
            tasks.add(task);
        }

        @Override
        public void listen(InetSocketAddress address, Supplier<ConnectionHandler> handlers) {}

        @Override
        public void listenSeparately(
                InetSocketAddress address, int maxConnections, Supplier<ConnectionHandler> handlers) {}

        @Override
        public void setMaxConnections(int maxConnections) {}

        @Override
        public void stopAccepting() {}

        @Override
        public int accepted() {
            return 0;
        }

        @Override
        public void connect(InetSocketAddress address, ConnectionHandler handler) {
            execute(() -> handler.opened(new InMemoryChannel(handler, true)));
        }
    }
}
