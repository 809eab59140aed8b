package gorsestack.wire;

import java.util.function.BooleanSupplier;

/**
 * One connection, as its {@link ConnectionHandler} controls it. Called on the event loop's thread, except for {@link #open}, which may be
 * called on any thread.
 */
public interface Channel {

    /** Queues these bytes to be sent. */
    void write(byte[] bytes);

    /**
     * Queues bytes under a condition that is checked on the sockets' thread right before the first byte is sent. If the condition does not
     * hold, nothing is written and the connection is closed. Nothing else may be queued at that time, and of the event loop's state the
     * condition may read volatile fields only.
     */
    default void write(byte[] bytes, BooleanSupplier stillWanted) {
        if (stillWanted.getAsBoolean()) {
            write(bytes);
        } else {
            close();
        }
    }

    /** Returns the bytes that have been written and not sent yet. */
    long unsent();

    /** Returns how many bytes the system has taken to send so far, those of writes that are not sent whole included. */
    long sentBytes();

    /**
     * Returns whether the peer may still be connected: false once the socket knows that the peer has ended its stream or reset the
     * connection, or that this side has closed it.
     */
    boolean open();

    /** Returns whether bytes have been read that the handler has not received yet. */
    boolean hasUnhandledInput();

    /** Closes the connection at once; bytes that are queued to be sent are lost. */
    void close();

    /**
     * Closes the connection gracefully: what was written is sent, then the output is shut down and the handler's closed method is called.
     * Bytes that still arrive are read and discarded, within a limit of time and bytes. Without this, closing a socket with unread bytes
     * would reset the connection, and the peer could lose its last response.
     */
    void finish();

    /**
     * Closes at once a connection on which no response is owed, unless bytes have been read that the handler has not received. Nothing is
     * read after the close: a client sends an unread request again elsewhere, but a request that was read and discarded would have no
     * response.
     */
    default void closeUnlessInputArrived() {
        finishUnlessInputArrived();
    }

    /**
     * Reads once more and then runs a task on the event loop, unless bytes have been read that the handler has not received. Prevents a
     * decision on the silence of a peer whose bytes have arrived while this process was held up.
     */
    default void ifNothingArrived(Runnable task) {
        if (!hasUnhandledInput()) {
            task.run();
        }
    }

    /**
     * Reads and discards whatever arrives from now on, so that the end of the stream behind it is seen. A peer that sends too much is
     * disconnected.
     */
    void discard();

    /**
     * Does the same as {@link #finish}, unless bytes have been read that the handler has not received yet: then nothing happens. This
     * covers a request that is read between the decision to close and the close; its client would not send it again, and it would have no
     * response.
     */
    void finishUnlessInputArrived();

    /** Suspends reading, or resumes it. */
    void suspendReading(boolean suspended);

    /**
     * Sets whether nothing more is read before the handler has received the last read. Without this, some reads are queued by the time at
     * which the handler suspends reading. With it, the end of the peer's stream is not seen behind a read that waits for the handler.
     */
    default void readOneAtATime(boolean enabled) {}
}
