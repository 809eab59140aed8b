package gorsestack.wire;

import gorsestack.settings.Limits;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.WriteFuture;
import org.apache.mina.transport.socket.nio.NioSession;

/**
 * One connection of {@link MinaNetwork}. The methods of {@link Channel} are called on the event loop's thread, except for {@link #open},
 * which may be called on any thread; those of {@link SocketProcessor.Watcher}, {@link #countRead} and {@link #countDiscarded} on the
 * processor's thread.
 *
 * <p>Reading is paused while too many bytes are queued for the event loop, for this connection or for all of them: otherwise a sender at
 * full speed would fill the heap with bytes that have not been handled yet.
 */
final class SessionChannel implements Channel, SocketProcessor.Watcher {
    /** The objects and the counter that all connections of a network share. */
    record Shared(
            Limits limits,
            EventLoop eventLoop,
            SocketProcessor processor,
            LingeringSessions lingering,
            AtomicLong queuedBytes) {}

    private final Shared shared;
    private final NioSession session;
    private final ConnectionHandler handler;
    private volatile WriteFuture lastWrite;
    /** Bytes that were read and that the event loop has not handled yet; guarded by this object, as are the next three fields. */
    private int queuedBytes;

    /** Number of bytes that may be queued before reading is suspended. */
    private int readAheadBytes;

    private boolean pausedByHandler;
    private boolean readSuspended;
    /** Number of reads so far; written by the processor's thread only. */
    private volatile int readCount;
    /** Number of reads that the handler has received; used on the event loop's thread. */
    private int handledCount;

    private boolean finishing;
    /** Cancels the timer that ends the connection; used on the event loop's thread, as is the next field. */
    private Runnable cancelTimer = () -> {};

    private boolean socketClosed;

    private volatile boolean discarding;
    /** Whether the output has been shut down; used on the processor's thread, as is the next field. */
    private boolean outputShut;

    private int discardedBytes;
    /** The condition to be checked once, before the next write; null if there is none. */
    private volatile BooleanSupplier writeCondition;

    private volatile boolean inputEnded;

    SessionChannel(Shared shared, NioSession session, ConnectionHandler handler) {
        this.shared = shared;
        this.session = session;
        this.handler = handler;
        readAheadBytes = shared.limits().buffer().readAheadBytes();
    }

    @Override
    public void write(byte[] bytes) {
        lastWrite = session.write(IoBuffer.wrap(bytes));
    }

    @Override
    public void write(byte[] bytes, BooleanSupplier stillWanted) {
        writeCondition = stillWanted;
        write(bytes);
    }

    @Override
    public boolean mayWrite() {
        BooleanSupplier condition = writeCondition;
        writeCondition = null;
        return condition == null || condition.getAsBoolean();
    }

    @Override
    public void inputEnded() {
        inputEnded = true;
    }

    @Override
    public long unsent() {
        return session.getScheduledWriteBytes();
    }

    @Override
    public long sentBytes() {
        return session.getWrittenBytes();
    }

    @Override
    public boolean hasUnhandledInput() {
        return readCount != handledCount;
    }

    @Override
    public boolean open() {
        return !inputEnded && !session.isClosing();
    }

    @Override
    public void close() {
        session.closeNow();
    }

    @Override
    public void finish() {
        if (!finishing) {
            finishing = true;
            discarding = true;
            whenWritten(this::shutOutput);
            closeIfWriteStalls(unsent(), () -> true);
        }
    }

    /**
     * Closes a connection whose last response is not read any further. Without this, a client that never reads its last response would keep
     * its connection permanently. If the client has sent another request in the meantime, the connection is no longer ending and its next
     * response may be on its way.
     */
    private void closeIfWriteStalls(long unsentBefore, BooleanSupplier stillEnding) {
        schedule(shared.limits().upstream().streamStallTimeoutNanos(), () -> {
            if (open() && unsent() > 0 && stillEnding.getAsBoolean()) {
                if (unsent() < unsentBefore) {
                    closeIfWriteStalls(unsent(), stillEnding);
                } else {
                    close();
                }
            }
        });
    }

    /** Sets the timer that ends the connection, in place of an earlier one. */
    private void schedule(long delayNanos, Runnable task) {
        cancelTimer();
        if (!socketClosed) {
            cancelTimer = shared.eventLoop().at(shared.eventLoop().now() + delayNanos, task);
        }
    }

    private void cancelTimer() {
        cancelTimer.run();
        cancelTimer = () -> {};
    }

    @Override
    public void finishUnlessInputArrived() {
        int expectedReads = handledCount;
        closeIfWriteStalls(unsent(), () -> readCount == expectedReads);
        whenWritten(() -> ifNothingRead(expectedReads, this::shutOutput));
    }

    @Override
    public void closeUnlessInputArrived() {
        int expectedReads = handledCount;
        whenWritten(() -> ifNothingRead(expectedReads, session::closeNow));
    }

    @Override
    public void ifNothingArrived(Runnable task) {
        int expectedReads = handledCount;
        shared.processor()
                .execute(() ->
                        ifNothingRead(expectedReads, () -> shared.eventLoop().execute(task)));
    }

    /**
     * Runs an action on the processor's thread, unless something has been read. What has arrived and has not been read yet is read now: a
     * request that is read after the end of its connection would be discarded.
     */
    private void ifNothingRead(int expectedReads, Runnable action) {
        if (readCount == expectedReads && !session.isClosing()) {
            shared.processor().readNow(session);
        }
        if (readCount == expectedReads) {
            action.run();
        }
    }

    private void whenWritten(Runnable task) {
        WriteFuture last = lastWrite;
        if (last == null) {
            shared.processor().execute(task);
        } else {
            last.addListener(written -> shared.processor().execute(task));
        }
    }

    /** Sends the end of the stream, and closes the connection after the linger time. Called on the processor's thread. */
    private void shutOutput() {
        if (outputShut || session.isClosing()) {
            return;
        }
        outputShut = true;
        discarding = true;
        try {
            shared.processor().shutOutput(session);
        } catch (IOException e) {
            session.closeNow();
            return;
        }
        session.resumeRead();
        shared.eventLoop().execute(() -> {
            shared.lingering().add(session);
            schedule(shared.limits().client().closeLingerNanos(), session::closeNow);
            handler.closed();
            shared.lingering().closeExcess();
        });
    }

    /** Releases what refers to the connection, as its socket is closed; called on the event loop's thread. */
    void closed() {
        socketClosed = true;
        cancelTimer();
        shared.lingering().remove(session);
    }

    /** Returns whether the bytes that are read are discarded. */
    boolean discarding() {
        return discarding;
    }

    @SuppressWarnings("NonAtomicVolatileUpdate") // Written by the processor's thread only.
    void countRead() {
        readCount++;
    }

    /** Counts reads that the handler receives; called on the event loop's thread. */
    void countHandled(int reads) {
        handledCount += reads;
    }

    /**
     * Counts discarded bytes and, at a limit, stops reading or closes the connection. Without this, the bytes that a misbehaving client
     * still sends, 60 MB at full speed, would cost as much as a call of another client.
     */
    void countDiscarded(int bytes) {
        discardedBytes += bytes;
        if (outputShut && discardedBytes > shared.limits().buffer().bodyBytes()) {
            session.suspendRead();
        } else if (discardedBytes > shared.limits().buffer().discardBytes()) {
            session.closeNow();
        }
    }

    @Override
    public void discard() {
        discarding = true;
    }

    @Override
    public synchronized void suspendReading(boolean suspended) {
        pausedByHandler = suspended;
        updateReading();
    }

    @Override
    public synchronized void readOneAtATime(boolean enabled) {
        readAheadBytes = enabled ? 0 : shared.limits().buffer().readAheadBytes();
    }

    /** Counts bytes that were read or, with a negative number, handled. */
    synchronized void addQueued(int change) {
        queuedBytes += change;
        shared.queuedBytes().addAndGet(change);
        updateReading();
    }

    private void updateReading() {
        // Once the limit for all connections is exceeded, each may still have one read queued.
        boolean allExceedLimit =
                shared.queuedBytes().get() > shared.limits().buffer().totalReadAheadBytes();
        boolean suspend = pausedByHandler || queuedBytes > (allExceedLimit ? 0 : readAheadBytes);
        if (suspend != readSuspended) {
            readSuspended = suspend;
            if (suspend) {
                session.suspendRead();
            } else {
                session.resumeRead();
            }
        }
    }
}
