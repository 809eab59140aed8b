package gorsestack.wire;

import gorsestack.settings.Limits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/** Sockets by Apache MINA: one acceptor and one connector on one processor. */
public final class MinaNetwork implements Network {
    private static final String HANDLER = "handler";
    private static final String CHANNEL = "channel";
    /** One read of one socket: a usual answer whole, a share of a small heap by hundreds. */
    private static final int MOST_READ = 16 << 10;

    private final EventLoop eventLoop;
    private final Limits limits;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "io");
        thread.setDaemon(true);
        return thread;
    });
    private final OrderlyProcessor processor = new OrderlyProcessor(threads);
    private final BoundedAcceptor acceptor;
    private boolean stopped;
    /** Bytes of all connections that were read and that the event loop has not come to. */
    private final AtomicLong allQueued = new AtomicLong();
    /** Connections whose output is shut, the oldest first; of the event loop's thread. */
    private final ArrayDeque<IoSession> lingering = new ArrayDeque<>();
    private final NioSocketConnector connector = new NioSocketConnector(threads, processor);

    public MinaNetwork(Limits limits, EventLoop eventLoop) {
        this(limits, eventLoop, false);
    }

    /** Where another process of this balancer may listen for clients beside this one. */
    public MinaNetwork(Limits limits, EventLoop eventLoop, boolean beside) {
        this.eventLoop = eventLoop;
        this.limits = limits;
        acceptor = acceptor(limits.mostAccepted(), beside);
        configure(connector.getSessionConfig());
        // The handlers bound connecting themselves; this only keeps what they gave up from staying for good.
        connector.setConnectTimeoutMillis(limits.connectBound() / 1_000_000);
        connector.setHandler(new Callbacks(null));
    }

    private BoundedAcceptor acceptor(int most, boolean beside) {
        BoundedAcceptor made = new BoundedAcceptor(threads, processor, most, beside);
        made.setBacklog(limits.backlog());
        made.setReuseAddress(true);
        made.setCloseOnDeactivation(false);
        configure(made.getSessionConfig());
        return made;
    }

    private static void configure(SocketSessionConfig config) {
        config.setTcpNoDelay(true);
        config.setMaxReadBufferSize(MOST_READ);
        config.setIdleTime(IdleStatus.BOTH_IDLE, 0);
    }

    /** Danger: a SIGTERM during the start; what listens after it would be left to itself. */
    @Override
    public synchronized void listen(InetSocketAddress address, Supplier<ConnectionHandler> handlers) throws IOException {
        if (!stopped) {
            acceptor.setHandler(new Callbacks(handlers));
            acceptor.bind(address);
        }
    }

    @Override
    public void listenApart(InetSocketAddress address, int most, Supplier<ConnectionHandler> handlers) throws IOException {
        BoundedAcceptor apart = acceptor(most, false);
        apart.setHandler(new Callbacks(handlers));
        apart.bind(address);
    }

    @Override
    public void bound(int most) {
        acceptor.most = most;
    }

    @Override
    public synchronized void stopAccepting() {
        stopped = true;
        acceptor.unbind();
    }

    @Override
    public int accepted() {
        return acceptor.open.get();
    }

    @Override
    public void connect(InetSocketAddress address, ConnectionHandler handler) {
        ConnectFuture future = connector.connect(address, (session, f) -> session.setAttribute(HANDLER, handler));
        future.addListener(f -> {
            if (!future.isConnected()) {
                eventLoop.execute(handler::closed);
            }
        });
    }

    /** Danger: those that have their last answer keep out others that have something to ask. */
    private void spareLingering() {
        for (int over = acceptor.open.get() - (acceptor.most - limits.spareConnections()); over > 0 && !lingering.isEmpty(); over--) {
            lingering.poll().closeNow();
        }
    }

    private final class Callbacks extends IoHandlerAdapter {
        private final Supplier<ConnectionHandler> handlers;

        Callbacks(Supplier<ConnectionHandler> handlers) {
            this.handlers = handlers;
        }

        @Override
        public void sessionCreated(IoSession session) {
            if (handlers != null) {
                session.setAttribute(HANDLER, handlers.get());
            }
        }

        private ConnectionHandler handler(IoSession session) {
            return (ConnectionHandler) session.getAttribute(HANDLER);
        }

        @Override
        public void sessionOpened(IoSession session) {
            ConnectionHandler handler = handler(session);
            SessionChannel channel = new SessionChannel((NioSession) session, handler);
            session.setAttribute(CHANNEL, channel);
            eventLoop.execute(() -> {
                handler.opened(channel);
                spareLingering();
            });
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            long at = eventLoop.now();
            IoBuffer buffer = (IoBuffer) message;
            SessionChannel channel = (SessionChannel) session.getAttribute(CHANNEL);
            if (channel.discards) {
                channel.discarded(buffer.remaining());
                return;
            }
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            ConnectionHandler handler = handler(session);
            channel.reads = channel.reads + 1; // written by this thread alone
            channel.queued(bytes.length);
            eventLoop.execute(() -> {
                channel.queued(-bytes.length);
                channel.handled++;
                handler.received(bytes, at);
            });
        }

        @Override
        public void messageSent(IoSession session, Object message) {
            eventLoop.execute(handler(session)::sent);
        }

        @Override
        public void sessionClosed(IoSession session) {
            eventLoop.execute(handler(session)::closed);
        }

        @Override
        public void inputClosed(IoSession session) {
            eventLoop.execute(handler(session)::ended);
            session.closeNow();
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }

    /**
     * Danger: the library changes what a socket waits for in the caller's thread. Beside the selector's own changes one
     * is lost, and reading goes on only when the selector next wakes, up to a second later.
     */
    private static final class OrderlyProcessor extends NioProcessor {
        private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
        private volatile Thread loop;

        OrderlyProcessor(Executor threads) {
            super(threads);
        }

        @Override
        protected int select(long timeout) throws Exception {
            loop = Thread.currentThread();
            runTasks();
            int selected = super.select(timeout);
            runTasks();
            return selected;
        }

        /** Runs a task between two reads, never beside one. */
        void execute(Runnable task) {
            tasks.add(task);
            wakeup();
        }

        private void runTasks() {
            for (Runnable task; (task = tasks.poll()) != null;) {
                task.run();
            }
        }

        /** Sends the end of the stream; reading goes on. Within a task alone. */
        void shutOutput(NioSession session) throws IOException {
            for (SelectionKey key : selector.keys()) {
                if (key.attachment() == session && key.channel() instanceof SocketChannel) {
                    ((SocketChannel) key.channel()).shutdownOutput();
                    return;
                }
            }
            throw new IOException("no such session");
        }

        @Override
        public void updateTrafficControl(NioSession session) {
            if (Thread.currentThread() == loop) {
                super.updateTrafficControl(session);
            } else {
                updateTrafficMask(session);
            }
        }
    }

    /** Danger: out of descriptors nothing is accepted for a second; over its bound it waits for room instead. */
    private static final class BoundedAcceptor extends NioSocketAcceptor {
        private volatile int most;
        private final boolean beside;
        private final AtomicInteger open = new AtomicInteger();
        private final NioProcessor shared;

        BoundedAcceptor(Executor threads, NioProcessor processor, int most, boolean beside) {
            super(threads, processor);
            this.most = most;
            this.beside = beside;
            shared = processor;
        }

        /** Two processes of one balancer listen at once during an upgrade; the system deals out between them. */
        @Override
        protected ServerSocketChannel open(SocketAddress address) throws IOException {
            ServerSocketChannel listener = ServerSocketChannel.open();
            try {
                listener.configureBlocking(false);
                listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
                listener.setOption(StandardSocketOptions.SO_REUSEPORT, beside);
                listener.bind(address, getBacklog());
                listener.register(selector, SelectionKey.OP_ACCEPT);
                return listener;
            } catch (IOException e) {
                listener.close();
                throw e;
            }
        }

        /** Danger: closing a listener resets what has connected and waits in its backlog. */
        @Override
        protected void close(ServerSocketChannel listener) throws Exception {
            for (NioSession session; (session = taken(listener)) != null;) {
                initSession(session, null, null);
                shared.add(session);
            }
            super.close(listener);
        }

        @Override
        protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel listener) throws Exception {
            if (open.get() >= most) {
                Thread.sleep(1); // its own thread; what has connected waits in the backlog
                return null;
            }
            return taken(listener);
        }

        private NioSession taken(ServerSocketChannel listener) throws Exception {
            NioSession session = super.accept(shared, listener);
            if (session != null) {
                open.incrementAndGet();
                session.getCloseFuture().addListener(future -> open.decrementAndGet());
            }
            return session;
        }
    }

    /** Danger: a sender at full speed fills the memory with what the event loop has not come to. */
    private final class SessionChannel implements Channel {
        private final NioSession session;
        private final ConnectionHandler handler;
        private volatile WriteFuture lastWrite;
        private int queued;
        private boolean held;
        private boolean stopped;
        /** Pieces read, and those that the handler has been given; of the processor's thread and of the event loop's. */
        private volatile int reads;
        private int handled;
        private boolean finishing;
        private volatile boolean discards;
        /** Of the processor's thread: the output has been shut. */
        private boolean shut;
        private int discarded;

        SessionChannel(NioSession session, ConnectionHandler handler) {
            this.session = session;
            this.handler = handler;
        }

        @Override
        public void write(byte[] bytes) {
            lastWrite = session.write(IoBuffer.wrap(bytes));
        }

        @Override
        public long unsent() {
            return session.getScheduledWriteBytes();
        }

        @Override
        public boolean asked() {
            return reads != handled;
        }

        @Override
        public boolean open() {
            return !session.isClosing();
        }

        @Override
        public void close() {
            session.closeNow();
        }

        @Override
        public void finish() {
            if (!finishing) {
                finishing = true;
                discards = true;
                whenWritten(this::shut);
                giveUpUnlessWritten(unsent(), () -> true);
            }
        }

        /**
         * Danger: a client that never reads its last answer would keep its connection for good; and one that has asked again meanwhile
         * is not ending any more, and its next answer may be on its way just then.
         */
        private void giveUpUnlessWritten(long before, BooleanSupplier stillEnding) {
            eventLoop.at(eventLoop.now() + limits.restOfStream(), () -> {
                if (open() && unsent() > 0 && stillEnding.getAsBoolean()) {
                    if (unsent() < before) {
                        giveUpUnlessWritten(unsent(), stillEnding);
                    } else {
                        close();
                    }
                }
            });
        }

        @Override
        public void finishUnlessAsked() {
            int seen = handled;
            giveUpUnlessWritten(unsent(), () -> reads == seen);
            whenWritten(() -> {
                if (reads == seen) {
                    shut();
                }
            });
        }

        private void whenWritten(Runnable then) {
            WriteFuture last = lastWrite;
            if (last == null) {
                processor.execute(then);
            } else {
                last.addListener(written -> processor.execute(then));
            }
        }

        private void shut() {
            if (shut || session.isClosing()) {
                return;
            }
            shut = true;
            discards = true;
            try {
                processor.shutOutput(session);
            } catch (IOException e) {
                session.closeNow();
                return;
            }
            session.resumeRead();
            eventLoop.execute(() -> {
                lingering.add(session);
                eventLoop.at(eventLoop.now() + limits.linger(), () -> {
                    lingering.remove(session);
                    session.closeNow();
                });
                handler.closed();
                spareLingering();
            });
        }

        /** Danger: what a bad client still sends, 60 MB at full speed, costs as much as a good one's call. */
        void discarded(int bytes) {
            discarded += bytes;
            if (shut && discarded > limits.bodyBytes()) {
                session.suspendRead();
            } else if (discarded > limits.floodBytes()) {
                session.closeNow();
            }
        }

        @Override
        public void discard() {
            discards = true;
        }

        @Override
        public synchronized void hold(boolean stop) {
            held = stop;
            update();
        }

        synchronized void queued(int change) {
            queued += change;
            allQueued.addAndGet(change);
            update();
        }

        private void update() {
            // Past the bound of all each may have one read waiting.
            boolean stop = held || queued > (allQueued.get() > limits.allQueuedBytes() ? 0 : limits.queuedBytes());
            if (stop != stopped) {
                stopped = stop;
                if (stop) {
                    session.suspendRead();
                } else {
                    session.resumeRead();
                }
            }
        }
    }
}
