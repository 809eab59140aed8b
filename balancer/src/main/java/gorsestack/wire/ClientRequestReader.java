package gorsestack.wire;

import gorsestack.invariant.CloseReason;
import gorsestack.settings.Limits;
import java.nio.charset.StandardCharsets;

/**
 * The reading side of a client's connection: parses one request after the other, queues requests that are sent ahead of a response, and
 * relays large bodies. {@link ClientConnection} owns it, controls when it reads, and responds to the requests. Used on the event loop's
 * thread only.
 */
final class ClientRequestReader implements BodyRelay.Source {
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Limits limits;
    private final EventLoop eventLoop;
    private final ClientConnection connection;
    private final ClientRequestHandler handler;
    private final ClientTimings timings;
    private final ClientResponseWriter responses;
    private final ReadAheadQueue readAhead;
    private HttpParser parser;
    private Channel channel;
    /** Time at which the bytes that are being parsed were read. */
    private long lastByteAt;
    /** Relays the body of the open request; null unless the body is large. */
    private BodyRelay upload;

    /** Estimates when the client may have sent all of the body that is relayed; null unless there is one. */
    private BodyArrival uploadArrival;

    private boolean uploadPaused;
    /** Whether the client sends requests without waiting for responses. */
    private boolean pipelining;
    /** Whether more was sent ahead than is buffered: the rest is discarded, and the connection ends after the buffered requests. */
    private boolean overflowed;

    /** Whether requests sent ahead wait until the client has read responses to earlier ones. */
    private boolean waitsForClient;

    /** Whether a task that parses what was sent ahead is queued on the event loop. */
    private boolean parseScheduled;

    private boolean readingSuspended;
    /** Time since which nothing is read, so that the end of the client's stream is not seen; also read by the sockets' thread. */
    private volatile long suspendedSince = Long.MAX_VALUE;

    /** Bytes of the request being read, or of the open one, that are counted in the budget. */
    private int countedBytes;

    private boolean continueSent;

    ClientRequestReader(
            Limits limits,
            EventLoop eventLoop,
            ClientConnection connection,
            ClientRequestHandler handler,
            ClientTimings timings,
            ClientResponseWriter responses) {
        this.limits = limits;
        this.eventLoop = eventLoop;
        this.connection = connection;
        this.handler = handler;
        this.timings = timings;
        this.responses = responses;
        readAhead = new ReadAheadQueue(handler);
        parser = HttpParser.request(limits);
    }

    void opened(Channel openedBy) {
        channel = openedBy;
    }

    /** Returns whether part of a request has arrived, or a whole one that is still open. */
    boolean begun() {
        return parser.begun();
    }

    /** Returns whether the request that has begun takes too long, because of its client. */
    boolean overdue(long now) {
        return waitsForClient() && timings.requestOverdue(now, parser);
    }

    /** Returns whether part of a request has arrived and this side reads the rest, so that only the client holds it up. */
    boolean waitsForClient() {
        return parser.begun() && !parser.done() && !uploadPaused;
    }

    /** Returns since when a request that is not small has waited for its client; Long.MAX_VALUE if there is none. */
    long stalledSince() {
        return waitsForClient() && countedBytes > limits.buffer().smallRequestBytes()
                ? timings.lastProgressAt()
                : Long.MAX_VALUE;
    }

    /** Updates the number of bytes that the request occupies. May end this connection or others, if they are too many. */
    private void countBytes() {
        int bytes = parser.heldBytes() + (upload == null ? 0 : upload.heldBytes());
        int change = bytes - countedBytes;
        countedBytes = bytes;
        handler.bufferBudget().addRequestBytes(change);
    }

    boolean hasReadAhead() {
        return !readAhead.isEmpty();
    }

    boolean overflowed() {
        return overflowed;
    }

    boolean pipelining() {
        return pipelining;
    }

    boolean hasUpload() {
        return upload != null;
    }

    /** Returns whether the body of the open request is still arriving. */
    boolean uploading() {
        return upload != null && !parser.done();
    }

    long suspendedSince() {
        return suspendedSince;
    }

    /** Returns whether the next request must not begin yet, as the client does not read the responses to earlier ones. */
    private boolean mustWaitForClient() {
        waitsForClient = !parser.begun() && responses.congested();
        return waitsForClient;
    }

    /** Goes on with requests that wait until the client has read responses, if it has. */
    void responsesSent() {
        if (waitsForClient && !responses.congested()) {
            waitsForClient = false;
            scheduleParse();
        }
    }

    /** Parses bytes that have arrived, or queues them if they cannot be parsed yet. */
    void received(byte[] bytes, long readAt) {
        lastByteAt = readAt;
        if (connection.inCall() && !uploading()) {
            if (readAhead.isEmpty() && !overflowed && !Request.canBegin(bytes, 0)) {
                connection.reject(new MalformedMessageException(400, "more than the length said"));
                return;
            }
            enqueue(bytes, readAt);
        } else if (uploadPaused || !readAhead.isEmpty() || mustWaitForClient()) {
            enqueue(bytes, readAt);
        } else {
            parse(bytes, 0);
        }
    }

    /**
     * Queues bytes that cannot be parsed yet. While reading is suspended the end of the client's stream is not seen, and attempts would be
     * started for a client that has disconnected. Bytes sent ahead of a response are therefore discarded past their limit; reading is only
     * suspended for a body with a slow target, as no other call waits behind it.
     */
    private void enqueue(byte[] bytes, long readAt) {
        if (overflowed) {
            return;
        }
        pipelining |= !uploading();
        readAhead.addLast(bytes, readAt);
        if (uploading() && !readingSuspended && !mayReadAhead()) {
            readingSuspended = true;
            suspendedSince = eventLoop.now();
            channel.suspendReading(true);
        } else if (!uploading()
                && (readAhead.totalBytes() > limits.buffer().bodyBytes()
                        || !handler.bufferBudget().acceptsRequest(readAhead.totalBytes()))) {
            overflowed = true;
            channel.discard();
        }
    }

    /**
     * Returns whether a paused upload may be read further. It is read ahead up to a limit, so that the end of the client's stream is seen
     * behind it.
     */
    private boolean mayReadAhead() {
        return upload.hasTarget()
                ? readAhead.totalBytes() <= handler.bufferBudget().uploadReadAheadLimit()
                : handler.bufferBudget().mayReadAhead(readAhead.totalBytes());
    }

    private void resumeReading() {
        readingSuspended = false;
        suspendedSince = Long.MAX_VALUE;
        channel.suspendReading(false);
    }

    @Override
    public void pauseBody(boolean paused) {
        uploadPaused = paused;
        if (paused) {
            // What is read beyond the limit would wait for a slow upstream, too. Without one the end of the client's
            // stream must be seen, even if the event loop is late.
            channel.readOneAtATime(upload.hasTarget());
        }
        timings.progressed(eventLoop.now());
        recordPause(paused);
        if (!paused && !readAhead.isEmpty()) {
            scheduleParse();
        } else if (paused && readingSuspended && mayReadAhead()) {
            resumeReading(); // The target has failed: more may be read ahead until the next one is attached.
        }
    }

    private void recordPause(boolean paused) {
        if (paused && uploading()) {
            uploadArrival.pause(eventLoop.now());
            handler.requestHeldBack(connection);
        } else if (upload != null) {
            uploadArrival.resume(eventLoop.now());
        }
    }

    /** Returns the earliest time at which the client may have sent the whole body; {@link BodyArrival#INCOMPLETE} if it cannot have. */
    long uploadMayBeCompleteSince() {
        return uploading() ? uploadArrival.mayBeCompleteSince(eventLoop.now()) : BodyArrival.INCOMPLETE;
    }

    @Override
    public void bodyNotReplayable() {
        handler.requestNotReplayable(connection);
    }

    @Override
    public void bodyCancelled() {}

    private void parse(byte[] bytes, int offset) {
        try {
            if (connection.hasRequested() && !parser.begun()) {
                timings.requestBegun(lastByteAt);
            }
            int used = parser.feed(bytes, offset, bytes.length);
            if (parser.done()) {
                requestComplete(bytes, used);
                return;
            }
            if (parser.head() != null && !continueSent && parser.head().hasToken("expect", "100-continue")) {
                continueSent = true;
                channel.write(CONTINUE);
            }
            if (upload == null
                    && parser.large()
                    && parser.bodyBytes() > limits.buffer().bodyBytes()) {
                beginUpload();
            }
            if (upload != null) {
                uploadArrival.read(lastByteAt, parser.bodyBytes());
            }
            countBytes();
        } catch (MalformedMessageException e) {
            connection.reject(e);
        }
    }

    private void beginUpload() {
        upload = BodyRelay.ofRequest(parser.contentLength(), parser.body(), handler.bufferBudget(), this);
        uploadArrival = new BodyArrival(parser.contentLength());
        parser.streamTo(upload::relay);
        upload.awaitTarget();
        connection.handle(parser.head(), new byte[0], upload, lastByteAt);
    }

    private void requestComplete(byte[] bytes, int used) throws MalformedMessageException {
        // The declared length may be too short: if the bytes behind the body cannot begin a request, the call is not
        // the one that the client meant.
        if (!Request.canBegin(bytes, used)) {
            throw new MalformedMessageException(400, "more than the length said");
        }
        if (used < bytes.length) {
            pipelining = true;
            readAhead.addFirst(bytes, used, lastByteAt);
        }
        countBytes();
        refuseIfMemoryIsExhausted();
        connection.requestComplete();
        if (upload != null) {
            long sentAt = Math.min(lastByteAt, uploadArrival.mayBeCompleteSince(eventLoop.now()));
            upload.complete();
            handler.requestBodyComplete(connection, sentAt);
        } else {
            connection.handle(parser.head(), parser.body(), null, lastByteAt);
        }
    }

    /** Refuses a request that has not been passed on. A body that is relayed has: its upstream may have begun by now, and no memory is gained. */
    private void refuseIfMemoryIsExhausted() throws MalformedMessageException {
        if (upload == null && !handler.bufferBudget().acceptsRequest(countedBytes)) {
            handler.bufferBudget().requestRefused();
            throw new MalformedMessageException(503, "requests occupy too much memory");
        }
    }

    /**
     * Parses what was sent ahead, in a task of its own. Of hundreds of requests, each with an immediate response, only one is handled in
     * each task: nested calls would overflow the stack, and other connections have their turn in between.
     */
    void scheduleParse() {
        if (!parseScheduled) {
            parseScheduled = true;
            eventLoop.execute(() -> FailureGuard.run(this::parseReadAhead, () -> connection.failed(channel)));
        }
    }

    /**
     * Parses what was sent ahead, as far as possible. By rule 1 a request that was sent ahead was accepted when its last byte was read, not
     * when it is parsed.
     */
    private void parseReadAhead() {
        parseScheduled = false;
        while (!parseScheduled
                && !connection.closedOrEnding()
                && (uploading() ? !uploadPaused : !connection.inCall() && !mustWaitForClient())
                && !readAhead.isEmpty()) {
            ReadAheadQueue.Piece piece = readAhead.removeFirst();
            lastByteAt = piece.readAt();
            parse(piece.bytes(), piece.offset());
        }
        if (overflowed && !connection.closedOrEnding() && !connection.inCall() && readAhead.isEmpty()) {
            connection.end(CloseReason.SENT_TOO_MUCH); // The bytes that followed were discarded.
        }
        // Behind the end of the body nothing else resumes reading before the response, and a disconnect would not be
        // seen.
        if (readingSuspended
                && (!uploading()
                        || readAhead.totalBytes() <= handler.bufferBudget().uploadReadAheadLimit() / 2)) {
            resumeReading();
        }
    }

    /** Forgets the body of the open request after its complete response. */
    void releaseUpload() {
        upload = null;
    }

    /** Begins the next request. */
    void nextRequest() {
        continueSent = false;
        channel.readOneAtATime(false);
        releaseRequest();
        if (readingSuspended) {
            resumeReading();
        }
    }

    /**
     * Drops the request that is being read and all that was sent ahead, as it is rejected or the connection has been closed; its body is
     * not relayed further.
     */
    void abortRequest() {
        if (upload != null) {
            upload.fail();
            upload = null;
        }
        readAhead.clear();
        releaseRequest();
    }

    private void releaseRequest() {
        parser = HttpParser.request(limits);
        countBytes();
    }

    /** Stops relaying the body of the open request, which has its response early. */
    void failUpload() {
        upload.fail();
        countBytes();
    }

    /** Reads and discards the rest of a request that has its response early. */
    void discardRest() {
        resumeReading();
        readAhead.drainTo(piece -> discard(piece.bytes(), piece.offset()));
    }

    /** Reads and discards bytes; the connection ends with the end of the request. */
    void discard(byte[] bytes, int offset) {
        try {
            if (!parser.done()) {
                parser.feed(bytes, offset, bytes.length);
                if (parser.done()) {
                    connection.end(CloseReason.ANSWERED_EARLY);
                }
            }
        } catch (MalformedMessageException e) {
            connection.end(CloseReason.ANSWERED_EARLY);
        }
    }
}
