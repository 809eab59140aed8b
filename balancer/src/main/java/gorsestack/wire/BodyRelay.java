package gorsestack.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.IntSupplier;

/**
 * Streams a body that is too large to be buffered from the connection that receives it to the one that sends it on: a request from a client
 * to an upstream, or a response from an upstream to a client. For back pressure, the source is paused while the target has more unsent
 * bytes than the budget allows. Used on the event loop's thread only.
 */
public final class BodyRelay {
    /** The connection that receives the body and can pause it. */
    interface Source {
        /** Stops reading the body, or resumes it. */
        void pauseBody(boolean paused);

        /** Called when the target does not want the rest of the body. */
        void bodyCancelled();

        /** Called when part of the body has been passed on and is no longer held: the body cannot be sent a second time. */
        void bodyNotReplayable();
    }

    /** The connection that sends the body on. */
    interface Target {
        /** Writes the next part of the body, already framed. */
        void writeBody(byte[] bytes);

        /** Called when the body has been written to its last byte. */
        void bodyComplete();

        /** Called when the body will never be complete; the message must not be ended as if it were. */
        void bodyFailed();

        /** Returns the bytes written to the target's channel that have not been sent yet. */
        long unsent();
    }

    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    /** Upper bound of the bytes that frame a chunk: its size in hexadecimal digits and two line ends. */
    private static final int CHUNK_FRAMING_BYTES = 12;

    /**
     * The body's length as the message's head declares it, in bytes; -1 if the head declares none, and the body is then sent in chunks.
     */
    final long length;

    private final BufferBudget budget;
    /** Returns how many bytes may wait at the target before the source is paused. */
    private final IntSupplier limit;

    private final Source source;
    /** The part of the body that was received before the relay began; null once more has been passed on. */
    private byte[] prefix;

    private Target target;
    private boolean sourcePaused;
    private boolean complete;
    private boolean ended;

    private BodyRelay(long length, byte[] prefix, BufferBudget budget, IntSupplier limit, Source source) {
        this.length = length;
        this.prefix = prefix;
        this.budget = budget;
        this.limit = limit;
        this.source = source;
        budget.relayStarted();
    }

    /** Creates the relay of a request's body, of which {@code prefix} has been received. */
    static BodyRelay ofRequest(long length, byte[] prefix, BufferBudget budget, Source source) {
        return new BodyRelay(length, prefix, budget, budget::relayLimit, source);
    }

    /** Creates the relay of a response's body, of which {@code prefix} has been received. */
    static BodyRelay ofResponse(long length, byte[] prefix, BufferBudget budget, Source source) {
        return new BodyRelay(length, prefix, budget, budget::responseRelayLimit, source);
    }

    /** Returns the header line that frames the body on its way to the target. */
    String framingHeader() {
        return length >= 0 ? "Content-Length: " + length + "\r\n" : "Transfer-Encoding: chunked\r\n";
    }

    /** Returns the bytes of the body that are kept for another target. */
    int heldBytes() {
        return prefix == null ? 0 : prefix.length;
    }

    boolean hasTarget() {
        return target != null;
    }

    /**
     * Sends the body to this target, beginning with the prefix. Another target may follow as long as only the prefix has been sent; after
     * that the target is told at once that the body has failed, as it must not get the rest without the beginning.
     */
    void attach(Target newTarget) {
        if (prefix == null) {
            newTarget.bodyFailed();
            return;
        }
        target = newTarget;
        write(prefix);
        if (complete) {
            finish();
        } else {
            pauseSource(false);
        }
    }

    /** Pauses the source until the first target is attached. */
    void awaitTarget() {
        pauseSource(true);
    }

    private void pauseSource(boolean paused) {
        if (sourcePaused != paused) {
            sourcePaused = paused;
            source.pauseBody(paused);
        }
    }

    /**
     * Removes a target that has failed, if the body is being sent to it. The next one begins again with the prefix, unless more of the body
     * has been passed on.
     */
    void detach(Target failed) {
        if (target != failed) {
            return;
        }
        target = null;
        if (!ended) {
            sourcePaused = true;
            source.pauseBody(true); // Also if it is paused already: it may read ahead further without a target.
        }
    }

    private void write(byte[] bytes) {
        if (bytes.length == 0) {
            return;
        }
        if (length >= 0) {
            target.writeBody(bytes);
            return;
        }
        ByteArrayOutputStream chunk = new ByteArrayOutputStream(bytes.length + CHUNK_FRAMING_BYTES);
        chunk.writeBytes((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        chunk.writeBytes(bytes);
        chunk.write('\r');
        chunk.write('\n');
        target.writeBody(chunk.toByteArray());
    }

    /** Passes on the next bytes from the source. Without a target, as the source is being paused, they are held for the next one. */
    void relay(byte[] buffer, int offset, int count) {
        if (ended) {
            return;
        }
        byte[] bytes = Arrays.copyOfRange(buffer, offset, offset + count);
        if (target == null) {
            hold(bytes);
            return;
        }
        if (prefix != null) {
            prefix = null;
            source.bodyNotReplayable();
        }
        write(bytes);
        if (target.unsent() > limit.getAsInt()) {
            pauseSource(true);
        }
    }

    /** Appends bytes to the prefix; if that is no longer held, no target can follow, and they are dropped. */
    private void hold(byte[] bytes) {
        if (prefix != null) {
            int held = prefix.length;
            prefix = Arrays.copyOf(prefix, held + bytes.length);
            System.arraycopy(bytes, 0, prefix, held, bytes.length);
        }
    }

    /** Records that a write to the target has been sent, and resumes the source once no more than half of the limit is unsent. */
    void targetSent() {
        if (!ended && target != null && target.unsent() <= limit.getAsInt() / 2) {
            pauseSource(false);
        }
    }

    /** Records that the source has received the body's last byte. */
    void complete() {
        complete = true;
        if (target != null) {
            finish();
        }
    }

    private void finish() {
        if (length < 0) {
            target.writeBody(LAST_CHUNK);
        }
        end();
        target.bodyComplete();
    }

    /** Records that the source has failed before the end of the body. */
    void fail() {
        if (!ended) {
            end();
            if (target != null) {
                target.bodyFailed();
            }
        }
    }

    /** Cancels the relay because the target does not want the rest of the body. */
    void cancel() {
        if (!ended) {
            end();
            source.bodyCancelled();
        }
    }

    /** Ends the relay. The source is resumed: nobody would do so later, and its connection goes on with the next message. */
    private void end() {
        if (!ended) {
            ended = true;
            prefix = null;
            budget.relayEnded();
            pauseSource(false);
        }
    }
}
