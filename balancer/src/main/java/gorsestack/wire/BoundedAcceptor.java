package gorsestack.wire;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;

/**
 * Accepts connections up to a limit; further ones wait in the listener's backlog. A failed accept is retried after {@link #RETRY_MS}: MINA
 * would wait for a second, which is as long as some clients wait for their response. Used by {@link MinaNetwork}; accepts on its own thread
 * "io", and its counters may be read on any thread.
 */
final class BoundedAcceptor extends NioSocketAcceptor {
    private static final System.Logger LOG = System.getLogger("gorsestack.acceptor");
    /** Delay before the next accept after one has failed (EMFILE, ENFILE, ENOBUFS, ENOMEM), in milliseconds. */
    private static final long RETRY_MS = 5;
    /** Interval at which the number of connections is checked again while the limit is reached, in milliseconds. */
    private static final long LIMIT_CHECK_MS = 1;
    /**
     * Failed accepts after which a listener that is being closed stops accepting its backlog. Other threads wait for the close; the system
     * resets the connections that have not been accepted by then, and their requests are not read.
     */
    private static final int MAX_FAILURES_AT_CLOSE = 8;

    private static final long LOG_EVERY_NANOS = 1_000_000_000L;

    private volatile int maxConnections;
    private final boolean sharedPort;
    private final AtomicInteger openConnections = new AtomicInteger();
    private final NioProcessor processor;
    private final AtomicLong failures = new AtomicLong();
    /** Time at which a failed accept was last logged, in nanoseconds; used by the acceptor's thread only. */
    private long loggedAt = Long.MIN_VALUE;

    /**
     * Creates an acceptor that is not bound yet.
     *
     * @param sharedPort whether another process may listen on the same address
     */
    BoundedAcceptor(Executor threads, NioProcessor processor, int maxConnections, boolean sharedPort) {
        super(threads, processor);
        this.maxConnections = maxConnections;
        this.sharedPort = sharedPort;
        this.processor = processor;
    }

    void setMaxConnections(int maxConnections) {
        this.maxConnections = maxConnections;
    }

    int maxConnections() {
        return maxConnections;
    }

    /** Returns the number of accepted connections whose sockets are open. */
    int openConnections() {
        return openConnections.get();
    }

    /** Returns how often an accept has failed. */
    long failures() {
        return failures.get();
    }

    /**
     * Opens a listening socket. During an upgrade two processes of one balancer listen at once, and the system distributes connections
     * between them.
     */
    @Override
    protected ServerSocketChannel open(SocketAddress address) throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        try {
            listener.configureBlocking(false);
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.setOption(StandardSocketOptions.SO_REUSEPORT, sharedPort);
            listener.bind(address, getBacklog());
            listener.register(selector, SelectionKey.OP_ACCEPT);
            return listener;
        } catch (IOException e) {
            listener.close();
            throw e;
        }
    }

    /**
     * Closes a listener after accepting its backlog. Without this, closing the listener would reset the connections that wait in the
     * backlog.
     */
    @Override
    protected void close(ServerSocketChannel listener) throws Exception {
        try {
            acceptBacklog(listener);
        } finally {
            super.close(listener);
        }
    }

    private void acceptBacklog(ServerSocketChannel listener) throws InterruptedException {
        for (int failed = 0; failed < MAX_FAILURES_AT_CLOSE; ) {
            try {
                NioSession session = acceptCounted(listener);
                if (session == null) {
                    return;
                }
                initSession(session, null, null);
                processor.add(session);
            } catch (Exception e) {
                failed++;
                acceptFailed(e);
                Thread.sleep(RETRY_MS);
            }
        }
    }

    @Override
    protected NioSession accept(IoProcessor<NioSession> ignored, ServerSocketChannel listener) throws Exception {
        if (openConnections.get() >= maxConnections) {
            Thread.sleep(LIMIT_CHECK_MS); // Only the acceptor's thread waits; new connections stay in the backlog.
            return null;
        }
        try {
            return acceptCounted(listener);
        } catch (ClosedChannelException e) {
            throw e;
        } catch (Exception e) {
            acceptFailed(e);
            Thread.sleep(RETRY_MS);
            return null;
        }
    }

    private NioSession acceptCounted(ServerSocketChannel listener) throws Exception {
        NioSession session = super.accept(processor, listener);
        if (session != null) {
            openConnections.incrementAndGet();
            session.getCloseFuture().addListener(future -> openConnections.decrementAndGet());
        }
        return session;
    }

    /**
     * Counts a failed accept and logs it at most once a second. The soak test searches the log for "accept failed". Called on the
     * acceptor's thread.
     */
    private void acceptFailed(Exception e) {
        long count = failures.incrementAndGet();
        long now = System.nanoTime();
        if (loggedAt == Long.MIN_VALUE || now - loggedAt >= LOG_EVERY_NANOS) {
            loggedAt = now;
            LOG.log(
                    System.Logger.Level.WARNING,
                    "accept failed, {0} times so far; retrying: {1}",
                    Long.toString(count),
                    e.toString());
        }
    }
}
