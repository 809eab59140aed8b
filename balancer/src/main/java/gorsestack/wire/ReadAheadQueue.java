package gorsestack.wire;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;

/**
 * The bytes that one client's connection has read and not parsed yet, each piece with the time at which it was read. They are counted in
 * the {@link BufferBudget}. Used by {@link ClientRequestReader} on the event loop's thread only.
 */
final class ReadAheadQueue {
    /** Bytes of memory that a piece occupies beside its own: the objects that hold it. */
    private static final int PIECE_OVERHEAD_BYTES = 64;

    /** The bytes of one read from the socket, of which those before the offset have been parsed. */
    record Piece(byte[] bytes, int offset, long readAt) {
        int heldBytes() {
            return bytes.length + PIECE_OVERHEAD_BYTES;
        }
    }

    private final ClientRequestHandler handler;
    private final ArrayDeque<Piece> pieces = new ArrayDeque<>(1);
    /** Bytes of memory that all pieces occupy. */
    private int totalBytes;

    /**
     * Creates an empty queue.
     *
     * @param handler the handler whose budget counts the bytes
     */
    ReadAheadQueue(ClientRequestHandler handler) {
        this.handler = handler;
    }

    boolean isEmpty() {
        return pieces.isEmpty();
    }

    int totalBytes() {
        return totalBytes;
    }

    void addLast(byte[] bytes, long readAt) {
        Piece piece = new Piece(bytes, 0, readAt);
        pieces.addLast(piece);
        count(piece.heldBytes());
    }

    /** Puts back a piece that the parser has used up to an offset. */
    void addFirst(byte[] bytes, int offset, long readAt) {
        Piece piece = new Piece(bytes, offset, readAt);
        pieces.addFirst(piece);
        count(piece.heldBytes());
    }

    Piece removeFirst() {
        Piece first = pieces.remove();
        count(-first.heldBytes());
        return first;
    }

    /** Passes all pieces to a consumer and empties the queue. The consumer may clear the queue itself, as it may end the connection. */
    void drainTo(Consumer<Piece> consumer) {
        List.copyOf(pieces).forEach(consumer);
        clear();
    }

    void clear() {
        pieces.clear();
        count(-totalBytes);
    }

    private void count(int change) {
        totalBytes += change;
        handler.bufferBudget().addReadAhead(change);
    }
}
