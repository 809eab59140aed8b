package gorsestack.wire;

import java.nio.charset.Charset;
import java.util.Arrays;

/**
 * Collects the bytes of one part of a message. Unlike {@link java.io.ByteArrayOutputStream} it tells how much memory it occupies, occupies
 * none while it is empty, and grows to no more than an expected size. Used by {@link HttpParser} on the event loop's thread only.
 */
final class GrowableBuffer {
    private static final byte[] EMPTY = new byte[0];
    private static final int MIN_CAPACITY = 128;

    private byte[] bytes = EMPTY;
    private int size;
    private int expectedSize = Integer.MAX_VALUE;

    /** Sets the size beyond which the buffer grows only by what it needs. */
    void expectSize(int expected) {
        expectedSize = expected;
    }

    void append(byte[] source, int offset, int length) {
        ensureCapacity(size + length);
        System.arraycopy(source, offset, bytes, size, length);
        size += length;
    }

    private void ensureCapacity(int needed) {
        if (needed > bytes.length) {
            int doubled = Math.max(MIN_CAPACITY, 2 * bytes.length);
            bytes = Arrays.copyOf(bytes, Math.max(needed, Math.min(doubled, expectedSize)));
        }
    }

    int size() {
        return size;
    }

    /** Returns the bytes of memory that the buffer occupies. */
    int capacity() {
        return bytes.length;
    }

    byte get(int index) {
        return bytes[index];
    }

    /** Empties the buffer and keeps its memory for the next bytes. */
    void reset() {
        size = 0;
    }

    /** Empties the buffer and gives up its memory. */
    void release() {
        bytes = EMPTY;
        size = 0;
    }

    /** Returns the content and gives up the memory beyond it. The array is the buffer's own and must not be changed. */
    byte[] trimmed() {
        if (size < bytes.length) {
            bytes = Arrays.copyOf(bytes, size);
        }
        return bytes;
    }

    String toString(Charset charset) {
        return new String(bytes, 0, size, charset);
    }
}
