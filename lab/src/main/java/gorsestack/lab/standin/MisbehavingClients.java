package gorsestack.lab.standin;

import gorsestack.lab.net.Link;
import gorsestack.lab.net.LinkHandler;
import gorsestack.lab.verify.Records.ClientDisconnect;
import gorsestack.lab.verify.Records.MisbehavingClientViolation;
import gorsestack.lab.verify.Verifier;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Clients that violate the protocol, or that use it in unusual ways. The balancer has to respond to an incomplete request, or close its
 * connection, within three seconds, and has to send exactly one response to each complete request in time; otherwise a violation is
 * recorded. No response is required for a client that disconnects without waiting for it; its disconnect is recorded, so that the
 * verification detects attempts that start after it. Confined to the event loop.
 */
public final class MisbehavingClients {
    private enum Behavior {
        /** Connects and sends nothing. */
        SILENT,
        /** Sends a part of the head of a request. */
        HALF_HEAD,
        /** Sends the head and a part of the body of a request. */
        HALF_BODY,
        /** Sends several requests without waiting for responses. */
        SENDS_AHEAD,
        /** Sends a request and closes the connection without waiting for the response, so none is required. */
        SENDS_AND_LEAVES,
        /** Sends a request with a remaining time of at most 60 ms. */
        LITTLE_TIME
    }

    private static final long NANOS_PER_MS = 1_000_000L;
    private static final long RESPONSE_TIMEOUT_NANOS = 3_000_000_000L;
    /** Allows for the delay of the lab's event loop, and for the interval at which balancers check for timeouts. */
    private static final long TOLERANCE_NANOS = 400_000_000L;

    private static final int REQUESTS_AHEAD = 4;
    private static final int REQUEST_TIMEOUT_MS = 1_500;
    private static final int MAX_LITTLE_TIME_MS = 60;

    private final Testbed testbed;
    private final SplittableRandom random;
    private boolean running;
    /** The number of clients started so far. */
    private int startedClients;

    /** Creates an instance that starts no client yet. */
    public MisbehavingClients(Testbed testbed) {
        this.testbed = testbed;
        random = testbed.random.split();
    }

    /** Starts clients of the given balancers at random times, with a mean rate. */
    public void start(List<Integer> balancers, double perSecond) {
        running = true;
        startClient(balancers, perSecond);
    }

    /** Starts no more clients. */
    public void stop() {
        running = false;
    }

    private void startClient(List<Integer> balancers, double perSecond) {
        if (!running || balancers.isEmpty()) {
            return;
        }
        Behavior behavior = Behavior.values()[random.nextInt(Behavior.values().length)];
        new Client(behavior, balancers.get(random.nextInt(balancers.size())), startedClients++).connect();
        long interval = (long) (-StrictMath.log(1 - random.nextDouble()) / perSecond * 1e9);
        testbed.after(interval, () -> startClient(balancers, perSecond));
    }

    /** A client with one connection. */
    private final class Client extends SimpleChannelInboundHandler<ByteBuf> {
        private final Behavior behavior;
        private final int balancer;
        private final String id;
        private final StringBuilder received = new StringBuilder();
        private long connectedAt;
        private boolean closed;
        private boolean checked;

        Client(Behavior behavior, int balancer, int number) {
            this.behavior = behavior;
            this.balancer = balancer;
            id = "rude" + number;
        }

        void connect() {
            Link link = testbed.links.between(Verifier.MISBEHAVING_CLIENTS, "n" + balancer);
            new Bootstrap()
                    .group(testbed.loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(new LinkHandler(link, false, random.split()), Client.this);
                        }
                    })
                    .connect(testbed.addresses.balancer(balancer));
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connectedAt = testbed.now();
            int remainingTimeMs =
                    behavior == Behavior.LITTLE_TIME ? 1 + random.nextInt(MAX_LITTLE_TIME_MS) : REQUEST_TIMEOUT_MS;
            misbehave(ctx, remainingTimeMs);
            long responseTimeout = switch (behavior) {
                case SENDS_AHEAD -> REQUESTS_AHEAD * REQUEST_TIMEOUT_MS * NANOS_PER_MS;
                case LITTLE_TIME -> remainingTimeMs * NANOS_PER_MS;
                default -> RESPONSE_TIMEOUT_NANOS;
            };
            testbed.after(responseTimeout + TOLERANCE_NANOS, () -> check(ctx));
        }

        private void misbehave(ChannelHandlerContext ctx, int remainingTimeMs) {
            switch (behavior) {
                case SILENT -> {}
                case HALF_HEAD -> send(ctx, "GET /read HTTP/1.1\r\nHost: s\r\nX-Corr");
                case HALF_BODY ->
                    send(
                            ctx,
                            "POST /publish HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id + "\r\nIdempotency-Key: "
                                    + id + "\r\nContent-Length: 40\r\n\r\nhalf of it");
                case SENDS_AHEAD -> {
                    StringBuilder requests = new StringBuilder();
                    for (int i = 0; i < REQUESTS_AHEAD; i++) {
                        requests.append(request(id + "a" + i, remainingTimeMs));
                    }
                    send(ctx, requests.toString());
                }
                case SENDS_AND_LEAVES ->
                    ctx.writeAndFlush(bytes(request(id, remainingTimeMs))).addListener(f -> {
                        testbed.records.clientDisconnects.add(new ClientDisconnect(id, balancer, testbed.now()));
                        ctx.close();
                    });
                case LITTLE_TIME -> send(ctx, request(id, remainingTimeMs));
            }
        }

        private static String request(String id, int remainingTimeMs) {
            return "GET /read HTTP/1.1\r\nHost: s\r\nX-Correlation-Id: " + id + "\r\nX-Time-Left: " + remainingTimeMs
                    + "m\r\n\r\n";
        }

        private static ByteBuf bytes(String text) {
            return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
        }

        private static void send(ChannelHandlerContext ctx, String text) {
            ctx.writeAndFlush(bytes(text));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            received.append(bytes.toString(StandardCharsets.ISO_8859_1));
        }

        /** Returns the number of responses received so far. */
        private int responses() {
            int count = 0;
            for (int index = received.indexOf("HTTP/1.1 ");
                    index >= 0;
                    index = received.indexOf("HTTP/1.1 ", index + 1)) {
                count++;
            }
            return count;
        }

        /**
         * Checks once, at the deadline or when the connection has ended, that the balancer responded as it has to, and closes the
         * connection.
         */
        private void check(ChannelHandlerContext ctx) {
            if (checked) {
                return;
            }
            checked = true;
            String violation = violation(responses());
            if (violation != null) {
                testbed.records.misbehavingClientViolations.add(new MisbehavingClientViolation(
                        id, balancer, connectedAt, testbed.now(), behavior + " " + violation));
            }
            ctx.close();
        }

        /** Returns a description of the balancer's violation; null if there is none. */
        private String violation(int responses) {
            return switch (behavior) {
                case SILENT, HALF_HEAD, HALF_BODY ->
                    closed || responses > 0 ? null : "was neither answered nor closed within 3 s";
                case SENDS_AHEAD ->
                    responses == REQUESTS_AHEAD
                            ? null
                            : "sent " + REQUESTS_AHEAD + " requests ahead and had " + responses + " answers";
                case LITTLE_TIME -> responses == 1 ? null : "had " + responses + " answers, with little time left";
                case SENDS_AND_LEAVES -> null;
            };
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            closed = true;
            check(ctx);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
