package gorsestack.wire;

import gorsestack.decision.Settings;
import gorsestack.invariant.CloseReason;
import gorsestack.settings.Limits;

/**
 * A connection that a client opened: it carries one API call at a time, each with one response. docs/architecture.md ("States") describes
 * its states and their transitions. Used on the event loop's thread, except for {@link #mayBeConnected}.
 */
public final class ClientConnection implements ConnectionHandler, BodyRelay.Target {
    /** State of the connection; while only part of a request has arrived it is {@code IDLE}, and the parser has begun. */
    private enum State {
        /** No call is open: nothing has arrived, or part of a request. */
        IDLE,
        /** The socket closes the connection unless it has read something in the meantime. */
        CLOSING_IF_IDLE,
        /** A call is open: its request has no complete response yet. */
        IN_CALL,
        /** The last response is written or the connection is given up; input is discarded. Final. */
        ENDING
    }

    private static final System.Logger LOG = System.getLogger("gorsestack.client");
    /** Number of client connections that this process has opened so far. */
    private static long connectionCount;

    private long number;
    private final ClientRequestHandler handler;
    private final EventLoop eventLoop;
    private final ClientTimings timings;
    private final ClientRequestReader reader;
    private final ClientResponseWriter writer;
    private Channel channel;
    private State state = State.IDLE;
    private boolean hasRequested;
    /** Relays the body of the response to the open request; null unless the body is large. */
    private BodyRelay download;

    /** Whether the connection is closed after the response to the open request. */
    private boolean lastResponse;
    /** Whether a request was rejected, or had its response before its end: input that still arrives is discarded. */
    private boolean lingering;
    /** Whether a request was read to its end and has no complete response yet. */
    private boolean responseOwed;
    /** Why this side ends the connection; null as long as it does not. */
    private CloseReason closeReason;
    /** Whether the connection has ended; also read by the sockets' thread. */
    private volatile boolean closed;

    /** Creates a connection that has not been opened yet. */
    public ClientConnection(Limits limits, EventLoop eventLoop, ClientRequestHandler handler) {
        this.eventLoop = eventLoop;
        this.handler = handler;
        timings = new ClientTimings(limits);
        writer = new ClientResponseWriter(limits, eventLoop, handler.bufferBudget());
        reader = new ClientRequestReader(limits, eventLoop, this, handler, timings, writer);
    }

    /** Changes the state, except from {@code ENDING}, which is final. */
    private void enter(State next) {
        if (state != State.ENDING) {
            state = next;
        }
    }

    boolean inCall() {
        return state == State.IN_CALL;
    }

    /** Returns whether the connection has ended or is ending, so that no more requests are read. */
    boolean closedOrEnding() {
        return closed || state == State.ENDING;
    }

    @Override
    public void opened(Channel openedBy) {
        channel = openedBy;
        reader.opened(openedBy);
        writer.opened(openedBy);
        number = ++connectionCount; // Only the event loop's thread opens connections.
        timings.opened(eventLoop.now());
        handler.opened(this);
    }

    @Override
    public void received(byte[] bytes, long readAt) {
        if (closed) {
            return;
        }
        timings.progressed(eventLoop.now());
        if (state == State.ENDING) {
            if (reader.hasUpload()) {
                reader.discard(bytes, 0);
            }
            return;
        }
        if (state == State.CLOSING_IF_IDLE) {
            enter(State.IDLE);
        }
        reader.received(bytes, readAt);
    }

    /** Records that a request has been read to its end and must have its response. */
    void requestComplete() {
        responseOwed = true;
    }

    /** Rejects a request and ends the connection gracefully: closing it while the client still sends would reset it. */
    public void reject(MalformedMessageException e) {
        LOG.log(System.Logger.Level.DEBUG, "request_rejected status={0} reason=\"{1}\"", e.status, e.getMessage());
        if (download != null) {
            responseOwed = false;
            end(CloseReason.BAD_REQUEST); // The response under way must not look complete.
            return;
        }
        handler.clientDisconnected(this);
        reader.abortRequest();
        enter(State.IN_CALL);
        lingering = true;
        writer.write(Response.own(e.status, "", e.getMessage()).bytes(true));
        responseOwed = false;
        end(CloseReason.BAD_REQUEST);
    }

    /** Ends the connection gracefully: what is written is sent first. */
    void end(CloseReason reason) {
        enter(State.ENDING);
        closeReason = closeReason == null ? reason : closeReason;
        channel.finish();
    }

    /** Ends the connection at once; written bytes that have not been sent yet are lost. */
    private void abort(CloseReason reason) {
        enter(State.ENDING);
        closeReason = closeReason == null ? reason : closeReason;
        writer.closed();
        channel.close();
    }

    /** Responds to a request, or passes it on as a call. */
    void handle(MessageHead head, byte[] body, BodyRelay upload, long arrivedAt) {
        enter(State.IN_CALL);
        hasRequested = true;
        lastResponse = head.start[2].equals("HTTP/1.0") || head.hasToken("connection", "close");
        if (head.start[1].equals("/_health")) {
            respond(Response.health(handler.ready(), handler.recoveryPhase()));
            return;
        }
        try {
            Request request = Request.of(head, body, upload);
            Settings.Repeat repeat = handler.repeat(request.product());
            if (repeat == null && upload == null) {
                respond(Response.own(404, "", Request.NO_SUCH_CLASS));
                return;
            }
            request.checkClass(repeat);
            handler.call(this, request, arrivedAt);
        } catch (MalformedMessageException e) {
            reject(e);
        }
    }

    /** Sends the response to the open call; does nothing if no call is open. */
    public void respond(Response response) {
        if (closed || !inCall()) {
            return;
        }
        // Requests sent ahead have been accepted and must have their responses. A client that pipelines may be sending
        // one now, so this response does not announce the close to it; the socket decides after the response.
        lastResponse |=
                (reader.overflowed() || (handler.closing() && !reader.pipelining() && !channel.hasUnhandledInput()))
                        && !reader.hasReadAhead();
        if (reader.uploading()) {
            respondEarly(response);
            return;
        }
        writer.write(response.bytes(lastResponse));
        download = response.rest();
        responseOwed = download != null;
        if (download != null) {
            download.attach(this);
        } else {
            bodyComplete();
        }
    }

    /** Sends an early response, then reads the rest of the body: a client that still sends on a closed connection misses the response. */
    private void respondEarly(Response response) {
        enter(State.ENDING);
        lingering = true;
        closeReason = CloseReason.ANSWERED_EARLY;
        reader.failUpload();
        writer.write(response.bytes(true));
        responseOwed = false;
        reader.discardRest();
    }

    @Override
    public void writeBody(byte[] bytes) {
        writer.write(bytes);
    }

    @Override
    public long unsent() {
        return writer.unsent();
    }

    /** Ends the connection gracefully as the upstream's response has broken off: the client sees a part of it, not nothing at all. */
    @Override
    public void bodyFailed() {
        responseOwed = false;
        end(CloseReason.ANSWER_CUT);
    }

    /** Completes the open call: its response has been written to the last byte. */
    @Override
    public void bodyComplete() {
        download = null;
        reader.releaseUpload();
        responseOwed = false;
        if (lastResponse) {
            end(reader.overflowed() ? CloseReason.SENT_TOO_MUCH : CloseReason.LAST_ANSWER);
            return;
        }
        timings.becameIdle(eventLoop.now());
        reader.nextRequest();
        enter(State.IDLE);
        if (reader.hasReadAhead()) {
            reader.scheduleParse();
        } else if (reader.pipelining() && handler.closing()) {
            closeIfIdle();
        }
    }

    /** Closes an overdue connection: requests that never end and responses that are not read would take up all connections. */
    public void giveUpIfOverdue() {
        long now = eventLoop.now();
        if (state == State.ENDING) {
            if (reader.hasUpload() && timings.discardStalled(now) && writer.unsent() == 0) {
                abort(CloseReason.ANSWERED_EARLY);
            }
        } else if (writer.stalled()) {
            drop(CloseReason.STALLED);
        } else if (reader.overdue(now)) {
            reject(new MalformedMessageException(408, "the request did not come to its end"));
        } else if (!hasRequested && !reader.begun() && timings.firstRequestOverdue(now)) {
            closeIfIdle();
        }
    }

    /** Returns the priority for being closed when there are too many connections. */
    public ClosePriority closePriority() {
        if (lingering && writer.unsent() == 0) {
            return ClosePriority.LINGERING;
        }
        // A connection whose response has not been sent yet is kept: nobody knows when it could be closed.
        if (state == State.ENDING || writer.unsent() > 0 || channel.hasUnhandledInput() || reader.hasReadAhead()) {
            return ClosePriority.KEEP;
        }
        if (state == State.CLOSING_IF_IDLE) {
            return ClosePriority.CLOSING;
        }
        if (reader.waitsForClient()) {
            return timings.requestStopped(eventLoop.now()) ? ClosePriority.STOPPED : ClosePriority.KEEP;
        }
        return inCall() ? ClosePriority.KEEP : timings.priorityBetweenCalls(eventLoop.now(), hasRequested);
    }

    /** Returns when bytes last arrived or were sent. */
    public long lastProgressAt() {
        return timings.lastProgressAt();
    }

    /** Closes the connection at once; an open call is given up. */
    public void drop(CloseReason reason) {
        if (inCall()) {
            handler.clientDisconnected(this);
        }
        abort(reason);
        handler.closed(this);
    }

    /** Closes the connection in favour of others: at once if it lingers, with an error within a request, gracefully between calls. */
    public void evict() {
        if (lingering) {
            drop(CloseReason.ROOM);
        } else if (reader.waitsForClient()) {
            channel.ifNothingArrived(() -> {
                if (closePriority() == ClosePriority.STOPPED) {
                    reject(new MalformedMessageException(503, "too many connections, and the request has stopped"));
                }
            });
        } else {
            closeIfIdle();
        }
    }

    /** Ends the connection at shutdown: gives up an open call, closes an idle connection gracefully, lets a begun response finish. */
    public void endForShutdown() {
        if (inCall() && download == null) {
            drop(CloseReason.SHUTDOWN);
        } else if (state != State.ENDING && download == null) {
            end(CloseReason.SHUTDOWN);
        }
    }

    /**
     * Returns whether the client may still be connected, as far as its socket knows. May be called on the sockets' thread, as a busy event
     * loop learns late that a client has disconnected.
     */
    public boolean mayBeConnected() {
        return !closed && channel.open();
    }

    /** Returns since when a disconnect would not be seen, as nothing is read; Long.MAX_VALUE if it would. May be called on any thread. */
    public long unseenSince() {
        return reader.suspendedSince();
    }

    /** Returns the number of this connection among the process's client connections, in the order of opening; for the log. */
    public long number() {
        return number;
    }

    /** Returns whether the client has sent a request, so that no first request is on its way. */
    public boolean hasRequested() {
        return hasRequested;
    }

    /** Returns since when an incomplete request that is not small has made no progress; Long.MAX_VALUE if there is none. */
    public long requestStalledSince() {
        return closedOrEnding() ? Long.MAX_VALUE : reader.stalledSince();
    }

    /** Returns the earliest time at which the client may have sent all of a relayed body that is incomplete; Long.MAX_VALUE for never. */
    public long uploadMayBeCompleteSince() {
        return reader.uploadMayBeCompleteSince();
    }

    /** Returns the time by which a client that reads has taken some of the responses that wait; Long.MAX_VALUE if there are none. */
    public long responseExpectedBy() {
        return closed ? Long.MAX_VALUE : writer.expectedBy();
    }

    /** Closes the connection between calls, unless a request has begun; the socket decides, as one may be read just now. */
    public void closeIfIdle() {
        if (state == State.IDLE && !reader.begun() && !reader.hasReadAhead()) {
            enter(State.CLOSING_IF_IDLE);
            if (hasRequested && timings.justResponded(eventLoop.now())) {
                channel.finishUnlessInputArrived(); // The client may still be reading its last response.
            } else {
                channel.closeUnlessInputArrived();
            }
        }
    }

    @Override
    public void sent() {
        timings.progressed(eventLoop.now());
        writer.sent();
        if (download != null) {
            download.targetSent();
        }
        reader.responsesSent();
    }

    /** Ends the connection with an error response, after a fault of this program: its client would wait for a call that is lost. */
    @Override
    public void failed(Channel failedChannel) {
        if (!closedOrEnding()) {
            reject(new MalformedMessageException(502, "internal error"));
        }
    }

    private CloseReason effectiveCloseReason() {
        CloseReason ifIdle = hasRequested ? CloseReason.IDLE : CloseReason.NEVER_ASKED;
        CloseReason ofPeer = state == State.CLOSING_IF_IDLE ? ifIdle : CloseReason.CLIENT_GONE;
        return closeReason != null ? closeReason : ofPeer;
    }

    @Override
    public void closed() {
        boolean neverOpenedOrClosed = closed || channel == null;
        closed = true;
        if (neverOpenedOrClosed) {
            return;
        }
        writer.closed();
        handler.ended(this, effectiveCloseReason(), responseOwed);
        if (inCall()) {
            handler.clientDisconnected(this);
        }
        reader.abortRequest();
        if (download != null) {
            download.cancel();
        }
        handler.closed(this);
    }
}
