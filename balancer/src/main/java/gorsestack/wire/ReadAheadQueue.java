package gorsestack.wire;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;

/**
 * The bytes that one client's connection has read and not parsed yet, each piece with the time at which it was read. They are counted in
 * the {@link BufferBudget}. Used by {@link ClientRequestReader} on the event loop's thread only.
 */
final class ReadAheadQueue {
    /** The bytes of one read from the socket, or the rest of them. */
    record Piece(byte[] bytes, long readAt) {}

    private final ClientRequestHandler handler;
    private final ArrayDeque<Piece> pieces = new ArrayDeque<>(1);
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
        pieces.add(new Piece(bytes, readAt));
        count(bytes.length);
    }

    /** Puts back the part of a piece that the parser did not use. */
    void addFirst(byte[] bytes, long readAt) {
        pieces.addFirst(new Piece(bytes, readAt));
        count(bytes.length);
    }

    Piece removeFirst() {
        Piece first = pieces.remove();
        count(-first.bytes.length);
        return first;
    }

    /** Passes all pieces to a consumer and empties the queue. The consumer may clear the queue itself, as it may end the connection. */
    void drainTo(Consumer<byte[]> consumer) {
        List.copyOf(pieces).forEach(piece -> consumer.accept(piece.bytes));
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
