package gorsestack.wire;

import java.util.function.BooleanSupplier;

/** What a handler may do to its connection. */
public interface Channel {

    void write(byte[] bytes);

    /**
     * The same under a condition that is checked on the sockets' thread right before the first byte goes out; where it does not hold
     * nothing is written and the connection is closed. Nothing else may wait to go out, and the condition may read no state of the event
     * loop's but what is volatile.
     */
    default void write(byte[] bytes, BooleanSupplier stillWanted) {
        if (stillWanted.getAsBoolean()) {
            write(bytes);
        } else {
            close();
        }
    }

    /** Bytes written and not gone out yet. */
    long unsent();

    /** Whether the other side may still be there: false once its end, a reset or our own close is known to the socket. */
    boolean open();

    /** Whether something was read that the handler has not been given yet. */
    boolean asked();

    /** Ends it at once, whatever is under way. */
    void close();

    /**
     * Ends it in order: what was written goes out, then the output is shut and the handler hears closed; what still comes is read
     * and thrown away, within a bound of time and bytes. Danger: a close over unread bytes resets the connection under its answer.
     */
    void finish();

    /**
     * Closes at once a connection on which nothing is owed, unless something has come. Nothing is read after it: a request that is read
     * and thrown away is one that was taken and had no answer; one that is not read is its client's to send again.
     */
    default void closeUnlessAsked() {
        finishUnlessAsked();
    }

    /** What comes from now on is read and thrown away, so that the end behind it is seen; a flood is cut off. */
    void discard();

    /**
     * The same as finish, unless something was read that the handler has not been given yet: then nothing happens. Danger: a request read
     * between the decision to close and the close; its client would not send it again, and nobody would answer it.
     */
    void finishUnlessAsked();

    /** Stops reading, or goes on. */
    void hold(boolean stop);
}
