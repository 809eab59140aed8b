package gorsestack.wire;

import gorsestack.settings.Limits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.session.IdleStatus;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.transport.socket.SocketSessionConfig;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketConnector;

/**
 * Implements the sockets with Apache MINA: an acceptor for each listener and one connector on one processor, each on a thread of its own
 * named "io". MINA's callbacks for a session run on the processor's thread and pass everything to the event loop, in the order in which it
 * was read. The callback of a failed connect may run on another thread, such as the connector's; it passes the failure to the event loop
 * too.
 */
public final class MinaNetwork implements Network {
    private static final String HANDLER = "handler";
    private static final String CHANNEL = "channel";
    private static final String EVENTS = "events";
    /**
     * Maximum number of bytes that one read of a socket returns: enough for a usual response, and for hundreds of connections together a
     * small part of the heap.
     */
    private static final int MAX_READ_BYTES = 16 << 10;

    private final EventLoop eventLoop;
    private final Limits limits;
    private final ExecutorService threads =
            Executors.newCachedThreadPool(new CriticalThreadFactory("io", Runtime.getRuntime()::halt));
    private final SocketProcessor processor = new SocketProcessor(threads);
    private final BoundedAcceptor acceptor;
    private boolean stopped;
    private final LingeringSessions lingering;
    private final SessionChannel.Shared shared;
    private final NioSocketConnector connector = new NioSocketConnector(threads, processor);

    /** Creates the sockets of a process that is the only one to listen on its address. */
    public MinaNetwork(Limits limits, EventLoop eventLoop) {
        this(limits, eventLoop, false);
    }

    /**
     * Creates the sockets of a process.
     *
     * @param sharedPort whether another process of this balancer may listen on the same address
     */
    public MinaNetwork(Limits limits, EventLoop eventLoop, boolean sharedPort) {
        this.eventLoop = eventLoop;
        this.limits = limits;
        acceptor = newAcceptor(limits.client().maxAccepted(), sharedPort);
        lingering = new LingeringSessions(acceptor, limits.client().spareConnections());
        shared = new SessionChannel.Shared(limits, eventLoop, processor, lingering, new AtomicLong());
        configure(connector.getSessionConfig());
        // Handlers have connect timeouts of their own; this one only ends connections that they have given up.
        connector.setConnectTimeoutMillis(limits.upstream().maxConnectNanos() / 1_000_000);
        connector.setHandler(new SessionCallbacks(null));
    }

    private BoundedAcceptor newAcceptor(int maxConnections, boolean sharedPort) {
        BoundedAcceptor created = new BoundedAcceptor(threads, processor, maxConnections, sharedPort);
        created.setBacklog(limits.client().listenBacklog());
        created.setReuseAddress(true);
        created.setCloseOnDeactivation(false);
        configure(created.getSessionConfig());
        created.getSessionConfig().setReceiveBufferSize(limits.buffer().receiveBufferBytes());
        return created;
    }

    private void configure(SocketSessionConfig config) {
        config.setTcpNoDelay(true);
        config.setSendBufferSize(limits.buffer().sendBufferBytes());
        config.setMaxReadBufferSize(MAX_READ_BYTES);
        config.setIdleTime(IdleStatus.BOTH_IDLE, 0);
    }

    /**
     * Listens, unless {@link #stopAccepting} was called before. After a SIGTERM during the start, a listener that is opened later would
     * never be closed.
     */
    @Override
    public synchronized void listen(InetSocketAddress address, Supplier<ConnectionHandler> handlers)
            throws IOException {
        if (!stopped) {
            acceptor.setHandler(new SessionCallbacks(handlers));
            acceptor.bind(address);
        }
    }

    @Override
    public void listenSeparately(InetSocketAddress address, int maxConnections, Supplier<ConnectionHandler> handlers)
            throws IOException {
        BoundedAcceptor separate = newAcceptor(maxConnections, false);
        separate.setHandler(new SessionCallbacks(handlers));
        separate.bind(address);
    }

    @Override
    public void setMaxConnections(int maxConnections) {
        acceptor.setMaxConnections(maxConnections);
    }

    @Override
    public synchronized void stopAccepting() {
        stopped = true;
        acceptor.unbind();
    }

    @Override
    public int accepted() {
        return acceptor.openConnections();
    }

    @Override
    public void connect(InetSocketAddress address, ConnectionHandler handler) {
        ConnectFuture future = connector.connect(address, (session, f) -> session.setAttribute(HANDLER, handler));
        future.addListener(f -> {
            if (!future.isConnected()) {
                boolean local = SocketErrors.isLocal(future.getException());
                eventLoop.execute(local ? handler::connectFailedLocally : handler::closed);
            }
        });
    }

    /** Receives MINA's callbacks for sessions on the processor's thread and calls their handlers on the event loop's thread. */
    private final class SessionCallbacks extends IoHandlerAdapter {
        /** Creates the handler of an accepted connection; null for connections that this side opens. */
        private final Supplier<ConnectionHandler> handlerFactory;

        SessionCallbacks(Supplier<ConnectionHandler> handlerFactory) {
            this.handlerFactory = handlerFactory;
        }

        @Override
        public void sessionCreated(IoSession session) {
            if (handlerFactory != null) {
                session.setAttribute(HANDLER, handlerFactory.get());
            }
        }

        private SessionEvents events(IoSession session) {
            return (SessionEvents) session.getAttribute(EVENTS);
        }

        private ConnectionHandler handler(IoSession session) {
            return (ConnectionHandler) session.getAttribute(HANDLER);
        }

        @Override
        public void sessionOpened(IoSession session) {
            ConnectionHandler handler = handler(session);
            SessionChannel channel = new SessionChannel(shared, (NioSession) session, handler);
            SessionEvents events = new SessionEvents(eventLoop, channel, handler);
            session.setAttribute(CHANNEL, channel);
            session.setAttribute(EVENTS, events);
            session.setAttribute(SocketProcessor.WATCHER, channel);
            events.execute(() -> {
                handler.opened(channel);
                lingering.closeExcess();
            });
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            IoBuffer buffer = (IoBuffer) message;
            SessionChannel channel = (SessionChannel) session.getAttribute(CHANNEL);
            if (channel.discarding()) {
                channel.countDiscarded(buffer.remaining());
                return;
            }
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            events(session).received(bytes);
        }

        @Override
        public void messageSent(IoSession session, Object message) {
            events(session).sent();
        }

        @Override
        public void sessionClosed(IoSession session) {
            ConnectionHandler handler = handler(session);
            SessionChannel channel = (SessionChannel) session.getAttribute(CHANNEL);
            eventLoop.execute(() -> {
                if (channel != null) {
                    channel.closed();
                }
                handler.closed();
            });
        }

        @Override
        public void inputClosed(IoSession session) {
            events(session).execute(handler(session)::ended);
            session.closeNow();
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.closeNow();
        }
    }
}
