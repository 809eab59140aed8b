package gorsestack.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/**
 * The head of a message: the bytes as received, with folded lines joined, and the header fields by their names in lower case. Immutable.
 */
public final class MessageHead {
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect");

    /** Characters that a field's name must not contain (RFC 9110, section 5.6.2). */
    private static final String SEPARATORS = "\"(),/:;<=>?@[\\]{}";

    /** The two or three parts of the start line: method, target and version, or version, status and reason. */
    public final String[] start;

    private final byte[] bytes;
    private final String[] names;
    private final String[] values;
    /** Offset of each line; one more entry holds the end of the last line. */
    private final int[] lineOffsets;

    /**
     * Parses a head.
     *
     * @param bytes all lines, each with its line end, without the final empty line; folded lines are joined in place
     * @param strict whether characters other than printable ASCII and tabs are an error in header fields too, as they are in a request
     */
    MessageHead(byte[] bytes, boolean strict) throws MalformedMessageException {
        this.bytes = bytes;
        unfold(bytes);
        int lines = 0;
        for (byte b : bytes) {
            lines += b == '\n' ? 1 : 0;
        }
        names = new String[lines - 1];
        values = new String[lines - 1];
        lineOffsets = new int[lines + 1];
        int lineStart = 0;
        String[] startLine = null;
        for (int i = 0; i < lines; i++) {
            int end = lineStart;
            while (bytes[end] != '\n') {
                end++;
            }
            // A bare line feed is rejected: another parser may read it differently and find a second message hidden in
            // this one (request smuggling).
            if (end == lineStart || bytes[end - 1] != '\r') {
                throw new MalformedMessageException(400, "a line ends without a carriage return");
            }
            String line = new String(bytes, lineStart, end - 1 - lineStart, StandardCharsets.ISO_8859_1);
            // Control characters are rejected, because an upstream closes its connection on a request that it cannot
            // parse. In a response only the start line is checked.
            if ((strict || i == 0) && !printable(line)) {
                throw new MalformedMessageException(400, "a control character in the head");
            }
            lineOffsets[i] = lineStart;
            lineStart = end + 1;
            if (i == 0) {
                startLine = line.split(" ", 3);
            } else {
                parseField(i - 1, line);
            }
        }
        lineOffsets[lines] = lineStart;
        if (startLine == null || startLine.length < 2) {
            throw new MalformedMessageException(400, "a start line has fewer than two parts");
        }
        start = startLine;
    }

    private void parseField(int index, String line) throws MalformedMessageException {
        int colon = line.indexOf(':');
        String name = colon < 0 ? "" : line.substring(0, colon);
        if (name.isEmpty() || name.chars().anyMatch(c -> c <= ' ' || c > '~' || SEPARATORS.indexOf(c) >= 0)) {
            throw new MalformedMessageException(400, "a header line has no proper name");
        }
        names[index] = name.toLowerCase(Locale.ROOT);
        values[index] = line.substring(colon + 1).strip();
    }

    /** Joins folded lines in place: the value of a field may continue in the next line if that begins with a blank. */
    private static void unfold(byte[] bytes) {
        boolean inField = false;
        for (int i = 0; i + 2 < bytes.length; i++) {
            if (bytes[i] == '\r' && bytes[i + 1] == '\n') {
                if (inField && (bytes[i + 2] == ' ' || bytes[i + 2] == '\t')) {
                    bytes[i] = ' ';
                    bytes[i + 1] = ' ';
                }
                inField = true;
            }
        }
    }

    private static boolean printable(String text) {
        return text.chars().allMatch(c -> (c >= ' ' && c <= '~') || c == '\t');
    }

    /** Returns the number of bytes of the head as received. */
    int size() {
        return bytes.length;
    }

    /** Returns the field's value, or null if it is absent. The values of a repeated field are joined by commas, as in RFC 9110. */
    public String field(String name) {
        String found = null;
        for (int i = 0; i < names.length; i++) {
            if (names[i].equals(name)) {
                found = found == null ? values[i] : found + ", " + values[i];
            }
        }
        return found;
    }

    /** Returns whether the field occurs more than once. */
    boolean isRepeated(String name) {
        int count = 0;
        for (String each : names) {
            count += each.equals(name) ? 1 : 0;
        }
        return count > 1;
    }

    /** Returns whether a field with a comma-separated list has this element, ignoring case. */
    boolean hasToken(String name, String token) {
        String value = field(name);
        if (value != null) {
            for (String part : value.split(",")) {
                if (part.strip().equalsIgnoreCase(token)) {
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Copies the header lines unchanged, without the hop-by-hop fields, the excluded ones and those whose value has characters other than
     * printable ASCII and tabs.
     */
    void copyFields(ByteArrayOutputStream out, String... excluded) {
        Set<String> skipped = new HashSet<>(HOP_BY_HOP);
        skipped.addAll(Set.of(excluded));
        String connectionOptions = field("connection");
        if (connectionOptions != null) {
            for (String name : connectionOptions.toLowerCase(Locale.ROOT).split(",")) {
                skipped.add(name.strip());
            }
        }
        for (int i = 0; i < names.length; i++) {
            if (!skipped.contains(names[i]) && printable(values[i])) {
                out.write(bytes, lineOffsets[i + 1], lineOffsets[i + 2] - lineOffsets[i + 1]);
            }
        }
    }

    /** Copies the start line unchanged. */
    void copyStart(ByteArrayOutputStream out) {
        out.write(bytes, 0, lineOffsets[1]);
    }
}
