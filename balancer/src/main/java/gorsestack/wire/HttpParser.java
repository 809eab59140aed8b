package gorsestack.wire;

import gorsestack.settings.Limits;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Incremental parser of one HTTP/1.1 request or response, fed with the bytes of a connection in pieces of any size. A connection creates
 * one for each message; used on the event loop's thread only.
 */
public final class HttpParser {
    /** Receives the body's bytes as they arrive. */
    interface BodySink {
        /** Takes a part of the buffer. The sink must not retain the buffer. */
        void bytes(byte[] buffer, int offset, int length) throws MalformedMessageException;
    }

    private enum State {
        HEAD,
        FIXED_LENGTH,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILER,
        UNTIL_CLOSE,
        DONE
    }

    /** Digits of a chunk's size that cannot exceed the largest number. */
    private static final int MAX_PLAIN_DIGITS = 8;

    private final boolean request;
    private final int maxHeadBytes;
    /** Length in bytes above which a body counts as large. */
    private final int maxBufferedBytes;

    private final long maxBodyBytes;
    private BodySink sink;
    /** Whether the body is passed on to a sink of the caller. */
    private boolean streaming;

    private final GrowableBuffer body = new GrowableBuffer();
    /** The contents of the chunks that the current call of {@link #feed} has parsed, while the body is passed on. */
    private final GrowableBuffer chunkData = new GrowableBuffer();
    /** The bytes of the head, or of the current line of a chunked body, that have arrived so far. */
    private final GrowableBuffer line = new GrowableBuffer();

    private State state = State.HEAD;
    private MessageHead head;
    /** Bytes that have not arrived yet of the body or of the current chunk. */
    private long remaining;

    private long contentLength = -1;
    private long bodyBytes;
    private boolean endedWithStream;
    /** Offset of the head's current line. */
    private int lineStart;

    private int interimBytes;

    private HttpParser(boolean request, Limits limits, BodySink sink) {
        this.request = request;
        this.maxHeadBytes = limits.buffer().headBytes();
        this.maxBufferedBytes = limits.buffer().bodyBytes();
        this.maxBodyBytes = sink != null ? Long.MAX_VALUE : limits.buffer().streamedBodyBytes();
        this.sink = sink != null ? sink : this::buffer;
        streaming = sink != null;
    }

    /** Creates a parser of a client's request. */
    public static HttpParser request(Limits limits) {
        return new HttpParser(true, limits, null);
    }

    /** Creates a parser of an upstream's response. */
    static HttpParser response(Limits limits) {
        return new HttpParser(false, limits, null);
    }

    /** Creates a parser of a response with an unbounded body, all of which goes to the sink. */
    static HttpParser stream(Limits limits, BodySink sink) {
        return new HttpParser(false, limits, sink);
    }

    private void buffer(byte[] bytes, int offset, int length) {
        body.append(bytes, offset, length);
    }

    /**
     * Returns whether the body is, or is declared to be, larger than the limit for buffering. All of it is buffered nevertheless, unless
     * the caller calls {@link #streamTo}.
     */
    boolean large() {
        return head != null
                && state != State.DONE
                && (body.size() > maxBufferedBytes || contentLength > maxBufferedBytes);
    }

    /** Returns the body's length as the head declares it, or -1 if the head declares none. */
    long contentLength() {
        return contentLength;
    }

    /** Returns the number of bytes of the body received so far. */
    public long bodyBytes() {
        return bodyBytes;
    }

    /** Drops the buffered part of the body and passes all that follows to this sink. */
    void streamTo(BodySink newSink) {
        body.release();
        sink = newSink;
        streaming = true;
    }

    /** Records that the peer has ended its stream in order, which completes a response without a length. */
    void end() {
        if (state == State.UNTIL_CLOSE) {
            state = State.DONE;
            endedWithStream = true;
        }
    }

    /** Returns whether another message may follow the complete one on its connection. */
    boolean connectionStaysOpen() {
        return !endedWithStream && !head.hasToken("connection", "close") && !head.start[0].equals("HTTP/1.0");
    }

    private void countBody(int bytes) throws MalformedMessageException {
        bodyBytes += bytes;
        if (bodyBytes > maxBodyBytes) {
            throw new MalformedMessageException(413, "a body over " + maxBodyBytes + " bytes");
        }
    }

    /** Returns whether the message is complete. */
    public boolean done() {
        return state == State.DONE;
    }

    /** Returns whether any byte of the message has arrived. */
    boolean begun() {
        return head != null || line.size() > 0;
    }

    /** Returns the head, or null until it is complete. */
    public MessageHead head() {
        return head;
    }

    /** Returns the buffered part of the body, which the caller must not change. */
    public byte[] body() {
        return body.trimmed();
    }

    /** Returns the bytes of memory that the part of the message that has arrived occupies, its head as received. */
    int heldBytes() {
        return line.capacity() + body.capacity() + (head == null ? 0 : head.size());
    }

    /**
     * Parses bytes until the message is complete; returns the offset of the first byte that was not used. The sink gets the contents of all
     * chunks in these bytes at once: a write for each would let a peer that sends chunks of one byte keep the process busy.
     */
    public int feed(byte[] in, int begin, int end) throws MalformedMessageException {
        try {
            return parse(in, begin, end);
        } finally {
            if (chunkData.size() > 0) {
                byte[] bytes = chunkData.trimmed();
                chunkData.release();
                sink.bytes(bytes, 0, bytes.length);
            }
        }
    }

    private int parse(byte[] in, int begin, int end) throws MalformedMessageException {
        int i = begin;
        while (i < end && state != State.DONE) {
            switch (state) {
                case UNTIL_CLOSE -> {
                    countBody(end - i);
                    sink.bytes(in, i, end - i);
                    i = end;
                }
                case FIXED_LENGTH, CHUNK_DATA -> {
                    int count = (int) Math.min(remaining, end - i);
                    countBody(count);
                    if (streaming && state == State.CHUNK_DATA) {
                        chunkData.append(in, i, count);
                    } else {
                        sink.bytes(in, i, count);
                    }
                    i += count;
                    remaining -= count;
                    if (remaining == 0) {
                        state = state == State.FIXED_LENGTH ? State.DONE : State.CHUNK_END;
                    }
                }
                default -> i = feedLine(in, i, end);
            }
        }
        return i;
    }

    /** Collects bytes up to the end of the current line; returns the offset behind those that were used. */
    private int feedLine(byte[] in, int begin, int end) throws MalformedMessageException {
        int next = begin;
        while (next < end && in[next] != '\n') {
            next++;
        }
        boolean complete = next < end;
        next += complete ? 1 : 0;
        int allowed = Math.min(next, begin + maxHeadBytes + 1 - line.size());
        if (state == State.HEAD && request) {
            checkCharacters(in, begin, allowed);
        }
        line.append(in, begin, allowed - begin);
        if (line.size() > maxHeadBytes) {
            throw new MalformedMessageException(431, "a head over " + maxHeadBytes + " bytes");
        }
        if (complete) {
            lineComplete();
        }
        return next;
    }

    private static void checkCharacters(byte[] in, int begin, int end) throws MalformedMessageException {
        for (int i = begin; i < end; i++) {
            byte next = in[i];
            if ((next < ' ' && next != '\r' && next != '\n' && next != '\t') || next > '~') {
                throw new MalformedMessageException(400, "not the head of a request");
            }
        }
    }

    private void lineComplete() throws MalformedMessageException {
        if (state == State.HEAD) {
            headLineComplete();
        } else {
            chunkLineComplete();
        }
    }

    private void headLineComplete() throws MalformedMessageException {
        int length = line.size() - lineStart;
        if (length == 2 && lineStart == 0) {
            line.reset(); // An empty line ahead of a message is ignored.
        } else if (length <= 2) {
            if (length == 1 || line.get(lineStart) != '\r') {
                throw new MalformedMessageException(400, "a line ends without a carriage return");
            }
            byte[] headBytes = Arrays.copyOf(line.trimmed(), lineStart);
            line.release();
            headComplete(headBytes);
        } else {
            lineStart = line.size();
        }
    }

    private void chunkLineComplete() throws MalformedMessageException {
        int length = line.size() - 2;
        if (length < 0 || line.get(length) != '\r') {
            throw new MalformedMessageException(400, "a line ends without a carriage return");
        }
        switch (state) {
            case CHUNK_SIZE -> {
                remaining = chunkSize(length);
                if (bodyBytes + remaining > maxBodyBytes) {
                    throw new MalformedMessageException(413, "a body over " + maxBodyBytes + " bytes");
                }
                state = remaining == 0 ? State.TRAILER : State.CHUNK_DATA;
            }
            case CHUNK_END -> {
                if (length > 0) {
                    throw new MalformedMessageException(400, "a chunk does not end where it said");
                }
                state = State.CHUNK_SIZE;
            }
            default -> state = length == 0 ? State.DONE : State.TRAILER;
        }
        line.reset();
    }

    /** Returns the size that the current line states ahead of its extensions, without an object for the usual short number. */
    private long chunkSize(int length) throws MalformedMessageException {
        long size = 0;
        for (int i = 0; i < length; i++) {
            int digit = Character.digit(line.get(i), 16);
            if (digit < 0 || i >= MAX_PLAIN_DIGITS) {
                String text = line.toString(StandardCharsets.ISO_8859_1).substring(0, length);
                int extensionAt = text.indexOf(';');
                return number((extensionAt < 0 ? text : text.substring(0, extensionAt)).strip(), 16);
            }
            size = size << 4 | digit;
        }
        return length > 0 ? size : number("", 16);
    }

    private void headComplete(byte[] bytes) throws MalformedMessageException {
        lineStart = 0;
        MessageHead parsed = new MessageHead(bytes, request);
        String version = request ? (parsed.start.length == 3 ? parsed.start[2] : "") : parsed.start[0];
        if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
            throw new MalformedMessageException(400, "not HTTP/1.1");
        }
        int status = request ? 0 : (int) number(parsed.start[1], 10);
        if (!request && status >= 100 && status < 200) {
            // Interim responses are skipped until the final one arrives. Their total size is limited, as an upstream
            // could send them without an end.
            interimBytes += bytes.length;
            if (interimBytes > maxHeadBytes || status == 101) {
                throw new MalformedMessageException(502, "interim responses are too long or switch protocols");
            }
            return;
        }
        head = parsed;
        chooseFraming(status);
    }

    private void chooseFraming(int status) throws MalformedMessageException {
        String coding = head.field("transfer-encoding");
        String length = head.field("content-length");
        // A message with two framings is rejected: another parser may use the other framing and see a message that
        // nobody sent (request smuggling).
        if (coding != null && (length != null || !coding.equalsIgnoreCase("chunked"))) {
            throw new MalformedMessageException(400, "a body framed in a way that is not known");
        }
        if (coding != null) {
            state = State.CHUNK_SIZE;
        } else if (length != null) {
            remaining = number(length, 10);
            contentLength = remaining;
            body.expectSize((int) remaining);
            if (remaining > maxBodyBytes) {
                throw new MalformedMessageException(413, "a body over " + maxBodyBytes + " bytes");
            }
            state = remaining == 0 ? State.DONE : State.FIXED_LENGTH;
        } else if (request || status == 204 || status == 304) {
            state = State.DONE;
        } else {
            state = State.UNTIL_CLOSE;
        }
    }

    /** Parses a number of at most nine digits, so that no sum of lengths overflows; leading zeros do not count. */
    private static long number(String digits, int radix) throws MalformedMessageException {
        int zeros = 0;
        while (zeros < digits.length() - 9 && digits.charAt(zeros) == '0') {
            zeros++;
        }
        if (digits.isEmpty()
                || digits.length() - zeros > 9
                || digits.chars().anyMatch(c -> Character.digit(c, radix) < 0 || c > 'f')) {
            throw new MalformedMessageException(400, "a length or status that is no number");
        }
        return Long.parseLong(digits, radix);
    }
}
