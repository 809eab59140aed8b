package gorsestack.wire;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * MINA's processor, which reads and writes all sockets of {@link MinaNetwork} on one thread "io", with these changes:
 * <ul>
 * <li>The interest of a socket is changed on the processor's thread only; a change that is made concurrently with the selector may take
 * effect a second late.
 * <li>A read or write with a transient error (ENOBUFS, ENOMEM) is retried, where MINA would close the connection.
 * <li>Bytes that were read before an error are delivered first, where MINA would drop them.
 * <li>A condition may be checked right before a message is sent.
 * </ul>
 */
final class SocketProcessor extends NioProcessor {
    /** Receives callbacks for one connection, on the processor's thread. */
    interface Watcher {
        /**
         * Returns whether the message that is about to be sent is still wanted. Called before each write to the socket; a condition is
         * checked once.
         */
        boolean mayWrite();

        /** Called when the peer has ended its stream, before the bytes that were read with the end are delivered. */
        void inputEnded();
    }

    /** Name of the session attribute that holds the connection's watcher. */
    static final String WATCHER = "watcher";

    /** Name of the session attribute that holds an error to be thrown by the next read. */
    private static final String PENDING_FAILURE = "failed";
    /** Delay before a call with a transient error is tried again, in milliseconds. */
    private static final long RETRY_MS = 1;
    /** Size of the buffer for one read outside MINA's own loop. */
    private static final int SINGLE_READ_BYTES = 2 << 10;

    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final AtomicLong retries = new AtomicLong();
    private volatile Thread processorThread;

    SocketProcessor(Executor threads) {
        super(threads);
    }

    /** Returns how often a read or write has had a transient error. */
    long retries() {
        return retries.get();
    }

    @Override
    protected int select(long timeout) throws Exception {
        processorThread = Thread.currentThread();
        runTasks();
        int selected = super.select(timeout);
        runTasks();
        return selected;
    }

    /** Runs a task on the processor's thread, between two reads. */
    void execute(Runnable task) {
        tasks.add(task);
        wakeup();
    }

    private void runTasks() {
        for (Runnable task; (task = tasks.poll()) != null; ) {
            task.run();
        }
    }

    /**
     * Registers a session and marks it as closed if that fails. Without this, a session whose registration fails would count as open
     * permanently.
     */
    @Override
    protected void init(NioSession session) throws Exception {
        try {
            super.init(session);
        } catch (Exception e) {
            session.getCloseFuture().setClosed();
            throw e;
        }
    }

    @Override
    protected int read(NioSession session, IoBuffer buffer) throws Exception {
        Object failure = session.getAttribute(PENDING_FAILURE);
        if (failure != null) {
            throw (IOException) failure;
        }
        try {
            int count = super.read(session, buffer);
            if (count < 0 && session.getAttribute(WATCHER) instanceof Watcher watcher) {
                watcher.inputEnded();
            }
            return count;
        } catch (IOException e) {
            if (SocketErrors.isTransient(e)) {
                waitToRetry();
                return 0;
            }
            if (buffer.position() == 0) {
                throw e;
            }
            // The system reports a reset only once; the next read, which follows at once, throws it again.
            session.setAttribute(PENDING_FAILURE, e);
            return 0;
        }
    }

    /** Reads the bytes that may have arrived by now, as MINA would. Called from a task only. */
    void readNow(NioSession session) {
        IoBuffer buffer = IoBuffer.allocate(SINGLE_READ_BYTES);
        try {
            int count = read(session, buffer);
            if (count > 0) {
                session.getFilterChain().fireMessageReceived(buffer.flip());
            } else if (count < 0) {
                session.getFilterChain().fireInputClosed();
            }
        } catch (Exception e) {
            session.getFilterChain().fireExceptionCaught(e);
        }
    }

    @Override
    protected int write(NioSession session, IoBuffer buffer, int length) throws IOException {
        if (session.getAttribute(WATCHER) instanceof Watcher watcher && !watcher.mayWrite()) {
            session.closeNow();
            return 0;
        }
        try {
            return super.write(session, buffer, length);
        } catch (IOException e) {
            if (SocketErrors.isTransient(e)) {
                waitToRetry();
                return 0;
            }
            throw e;
        }
    }

    private void waitToRetry() {
        retries.incrementAndGet();
        try {
            Thread.sleep(RETRY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Shuts down the output, which sends the end of the stream; reading continues. Called from a task only. */
    void shutOutput(NioSession session) throws IOException {
        for (SelectionKey key : selector.keys()) {
            if (key.attachment() == session && key.channel() instanceof SocketChannel socket) {
                socket.shutdownOutput();
                return;
            }
        }
        throw new IOException("the session is not registered with the selector");
    }

    @Override
    public void updateTrafficControl(NioSession session) {
        if (Thread.currentThread() == processorThread) {
            super.updateTrafficControl(session);
        } else {
            updateTrafficMask(session);
        }
    }
}
