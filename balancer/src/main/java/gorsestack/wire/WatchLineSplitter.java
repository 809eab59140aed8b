package gorsestack.wire;

import java.io.ByteArrayOutputStream;

/**
 * Collects the bytes of a watch up to the end of one event: a line, or a JSON document that is indented over several lines. Used by
 * {@link DiscoveryWatch} on the event loop's thread only.
 */
final class WatchLineSplitter {
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
    private int nestingDepth;
    private boolean inString;
    private boolean escaped;

    /** Adds one byte; returns whether an event ends with it. */
    boolean add(byte next) {
        line.write(next);
        if (inString) {
            inString = escaped || next != '"';
            escaped = !escaped && next == '\\';
        } else if (next == '"') {
            inString = true;
        } else if (next == '{' || next == '[') {
            nestingDepth++;
        } else if (next == '}' || next == ']') {
            nestingDepth--;
        }
        return next == '\n' && nestingDepth <= 0 && !inString;
    }

    /** Returns the number of bytes since the end of the last event. */
    int size() {
        return line.size();
    }

    /** Returns the bytes of the event that has ended, and begins the next one. */
    byte[] take() {
        byte[] event = line.toByteArray();
        line.reset();
        return event;
    }
}
