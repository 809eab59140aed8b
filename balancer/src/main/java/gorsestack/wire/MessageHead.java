package gorsestack.wire;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * The head of a message: the bytes as received, with folded lines joined. Header fields are looked up in these bytes, so that a head occupies
 * no more memory than was received, however many fields it has. Immutable.
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

    /** The fields that are looked up in each message; where they begin is recorded when the head is parsed. */
    private static final List<String> KNOWN = List.of(
            "host",
            "expect",
            "x-repeat",
            "connection",
            "x-time-left",
            "x-unprocessed",
            "content-length",
            "idempotency-key",
            "x-correlation-id",
            "transfer-encoding");

    /** Characters that a field's name must not contain (RFC 9110, section 5.6.2). */
    private static final String SEPARATORS = "\"(),/:;<=>?@[\\]{}";

    /** Distance between the upper and lower case of a letter in ASCII. */
    private static final int CASE_OFFSET = 'a' - 'A';

    /** The two or three parts of the start line: method, target and version, or version, status and reason. */
    public final String[] start;

    private final byte[] bytes;
    /** Offset of the first header field. */
    private final int firstField;
    /** Offset of the first line of each known field; 0 if it is absent. */
    private final int[] knownLines = new int[KNOWN.size()];
    /** Whether a known field occurs more than once. */
    private boolean knownRepeated;

    /**
     * Parses a head.
     *
     * @param bytes all lines, each with its line end, without the final empty line; folded lines are joined in place
     * @param strict whether characters other than printable ASCII and tabs are an error in header fields too, as they are in a request
     */
    MessageHead(byte[] bytes, boolean strict) throws MalformedMessageException {
        this.bytes = bytes;
        unfold(bytes);
        firstField = nextLine(0);
        checkLine(0, true);
        String[] startLine = text(0, firstField - 2).split(" ", 3);
        if (startLine.length < 2) {
            throw new MalformedMessageException(400, "a start line has fewer than two parts");
        }
        for (int line = firstField; line < bytes.length; line = nextLine(line)) {
            checkLine(line, strict);
            recordKnown(line, checkName(line));
        }
        start = startLine;
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

    /** Returns the offset behind the line that begins at this offset. */
    private int nextLine(int line) {
        int end = line;
        while (bytes[end] != '\n') {
            end++;
        }
        return end + 1;
    }

    private String text(int begin, int end) {
        return new String(bytes, begin, end - begin, StandardCharsets.ISO_8859_1);
    }

    private void checkLine(int line, boolean printableOnly) throws MalformedMessageException {
        int end = nextLine(line) - 1;
        // A bare line feed is rejected: another parser may read it differently and find a second message hidden in
        // this one (request smuggling).
        if (end == line || bytes[end - 1] != '\r') {
            throw new MalformedMessageException(400, "a line ends without a carriage return");
        }
        // Control characters are rejected, because an upstream closes its connection on a request that it cannot
        // parse. In a response only the start line is checked.
        if (printableOnly && !printable(line, end - 1)) {
            throw new MalformedMessageException(400, "a control character in the head");
        }
    }

    private void recordKnown(int line, int nameLength) {
        for (int i = 0; i < knownLines.length; i++) {
            String name = KNOWN.get(i);
            if (name.length() == nameLength && hasName(line, name)) {
                knownRepeated |= knownLines[i] > 0;
                knownLines[i] = knownLines[i] > 0 ? knownLines[i] : line;
            }
        }
    }

    /** Checks the name of the field in this line and returns its length. */
    private int checkName(int line) throws MalformedMessageException {
        int position = line;
        while (bytes[position] > ' ' && bytes[position] <= '~' && SEPARATORS.indexOf(bytes[position]) < 0) {
            position++;
        }
        if (position == line || bytes[position] != ':') {
            throw new MalformedMessageException(400, "a header line has no proper name");
        }
        return position - line;
    }

    private boolean printable(int begin, int end) {
        for (int i = begin; i < end; i++) {
            if ((bytes[i] < ' ' || bytes[i] > '~') && bytes[i] != '\t') {
                return false;
            }
        }
        return true;
    }

    /** Returns the offset of the colon behind the name of the field in this line. */
    private int colon(int line) {
        int position = line;
        while (bytes[position] != ':') {
            position++;
        }
        return position;
    }

    /** Returns whether the field in this line has this name, which is in lower case. */
    private boolean hasName(int line, String name) {
        for (int i = 0; i < name.length(); i++) {
            int next = bytes[line + i];
            if ((next >= 'A' && next <= 'Z' ? next + CASE_OFFSET : next) != name.charAt(i)) {
                return false;
            }
        }
        return bytes[line + name.length()] == ':';
    }

    private String value(int line) {
        return text(colon(line) + 1, nextLine(line) - 2).strip();
    }

    /** Returns the bytes of memory that the head occupies: those received, and the parts of the start line once more. */
    int size() {
        return bytes.length + firstField;
    }

    /** Returns the field's value, or null if it is absent. The values of a repeated field are joined by commas, as in RFC 9110. */
    public String field(String name) {
        int known = KNOWN.indexOf(name);
        if (known >= 0 && !knownRepeated) {
            return knownLines[known] > 0 ? value(knownLines[known]) : null;
        }
        return joinedField(name);
    }

    private String joinedField(String name) {
        StringBuilder joined = null;
        String found = null;
        for (int line = firstField; line < bytes.length; line = nextLine(line)) {
            if (!hasName(line, name)) {
                continue;
            }
            if (found == null) {
                found = value(line);
            } else {
                joined = joined == null ? new StringBuilder(found) : joined;
                joined.append(", ").append(value(line));
            }
        }
        return joined == null ? found : joined.toString();
    }

    /** Returns whether the field occurs more than once. */
    boolean isRepeated(String name) {
        if (KNOWN.contains(name) && !knownRepeated) {
            return false;
        }
        int count = 0;
        for (int line = firstField; line < bytes.length; line = nextLine(line)) {
            count += hasName(line, name) ? 1 : 0;
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
        // No string is made of a name that cannot be among them, as a head may have thousands of fields.
        BitSet skippedLengths = new BitSet();
        skipped.forEach(name -> skippedLengths.set(name.length()));
        int next;
        for (int line = firstField; line < bytes.length; line = next) {
            next = nextLine(line);
            int colon = colon(line);
            boolean skip = skippedLengths.get(colon - line)
                    && skipped.contains(text(line, colon).toLowerCase(Locale.ROOT));
            if (!skip && printable(colon + 1, next - 2)) {
                out.write(bytes, line, next - line);
            }
        }
    }

    /** Copies the start line unchanged. */
    void copyStart(ByteArrayOutputStream out) {
        out.write(bytes, 0, firstField);
    }
}
