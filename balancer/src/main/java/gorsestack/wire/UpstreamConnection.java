package gorsestack.wire;

import gorsestack.decision.Outcome;
import gorsestack.settings.Limits;
import java.net.InetSocketAddress;

/**
 * A connection to an upstream: it carries one attempt at a time and is reused for later ones. docs/architecture.md ("States") describes its
 * states and their transitions. Owned by a pool and used on the event loop's thread, except for the check before a request's first byte
 * ({@link #mayBeSent}).
 */
public final class UpstreamConnection implements ConnectionHandler, BodyRelay.Target {
    /** The upstream's name. */
    public final String upstream;
    /** The upstream's address when the connection was opened. */
    public final InetSocketAddress address;
    /** Time at which the pool last took the connection back. */
    public long idleSince;
    /** Time at which the connection was established; Long.MAX_VALUE before that. */
    public long connectedAt = Long.MAX_VALUE;

    private final Limits limits;
    private final EventLoop eventLoop;
    private final UpstreamConnectionOwner owner;
    private final RequestProgress request = new RequestProgress();
    private final StallDetector stallDetector;
    private final SendStallDetector sendStallDetector;
    private final ResponseBuffering buffering;
    private Channel channel;
    private HttpParser parser;
    /** The attempt that waits for its response; null if there is none. */
    private AttemptListener attempt;
    /** Relays the body of the request; null unless the body is large. */
    private BodyRelay upload;
    /** Relays the body of a large response, whose attempt has ended; null unless one is being relayed. */
    private BodyRelay download;
    /** Whether the connection was given an attempt before the current one. */
    private boolean reused;
    /** Whether nothing has arrived since the connection was given the request. */
    private boolean silent;

    private boolean closed;
    /** Whether no new request may be sent on this connection; also read by the sockets' thread. */
    private volatile boolean noNewRequests;

    /** Creates a connection that has not been opened yet. */
    public UpstreamConnection(
            Limits limits,
            EventLoop eventLoop,
            UpstreamConnectionOwner owner,
            String upstream,
            InetSocketAddress address) {
        this.limits = limits;
        this.eventLoop = eventLoop;
        this.owner = owner;
        this.upstream = upstream;
        this.address = address;
        buffering = new ResponseBuffering(limits, eventLoop, owner, this::stopBuffering);
        stallDetector = new StallDetector(
                eventLoop,
                () -> !closed && download != null,
                limits.upstream()::streamStallTimeoutNanos,
                () -> end(Outcome.MALFORMED_RESPONSE));
        sendStallDetector = new SendStallDetector(
                limits,
                eventLoop,
                () -> !closed && upload != null && !request.written(),
                () -> end(AttemptOutcomes.ofLostConnection(request)));
    }

    /** Opens the connection. */
    public void connect(Network network) {
        network.connect(address, this);
    }

    /** Sends the request of one attempt, once the connection has been established. */
    public void send(BodyRelay body, AttemptListener newAttempt) {
        reused = parser != null;
        silent = true;
        attempt = newAttempt;
        upload = body;
        stallDetector.reset();
        request.reset(body == null ? 0 : body.length, channel == null);
        parser = HttpParser.response(limits);
        if (!request.waitsForConnection()) {
            writeRequest();
        }
    }

    private void writeRequest() {
        AttemptListener current = attempt;
        request.begin();
        channel.write(current.request(), () -> mayBeSent(current));
        if (upload != null) {
            upload.attach(this);
        }
    }

    /**
     * Returns whether the first byte may be sent; called on the sockets' thread. Between the decision and the write the client may have
     * disconnected, the call may have ended or run out of time, or the upstream may have begun to drain.
     */
    private boolean mayBeSent(AttemptListener current) {
        long now = eventLoop.now();
        return request.release(now, !noNewRequests && current.mayBeSent());
    }

    @Override
    public void writeBody(byte[] bytes) {
        request.writeQueued(bytes.length);
        sendStallDetector.beforeWrite(channel);
        channel.write(bytes);
    }

    @Override
    public void bodyComplete() {
        request.bodyComplete();
    }

    /** Ends the attempt: its request has not run and never will, unless its last byte was passed on. The upstream is not at fault. */
    @Override
    public void bodyFailed() {
        end(withdrawnOutcome());
    }

    @Override
    public long unsent() {
        return channel.unsent();
    }

    @Override
    public void opened(Channel opened) {
        channel = opened;
        connectedAt = eventLoop.now();
        if (closed) {
            channel.close();
            owner.closed(this);
        } else if (request.waitsForConnection()) {
            // Nothing is sent if the call's time, the repeat window or the drain grace ended, or the client
            // disconnected, before the connection was established. A request that is not sent has not run.
            if (!owner.acceptsRequests(this) || !attempt.mayBeSent()) {
                attempt.notSent();
                end(Outcome.NOT_SENT);
                return;
            }
            request.stopWaiting();
            writeRequest();
        } else {
            owner.becameIdle(this);
        }
    }

    @Override
    public void sent() {
        request.writeSent();
        if (upload != null) {
            upload.targetSent();
        }
        if (attempt != null && request.becameWritten()) {
            attempt.written(request.firstByteAt());
        }
    }

    @Override
    public void received(byte[] bytes, long readAt) {
        if (closed) {
            return;
        }
        owner.bytesReceived(this, readAt);
        stallDetector.bytesReceived();
        silent = false;
        if (attempt == null && download == null) {
            owner.unexpectedBytes();
            close(); // No request asked for these bytes; a later attempt must not take them for its response.
            return;
        }
        try {
            int used = parser.feed(bytes, 0, bytes.length);
            if (parser.done()) {
                responseComplete(used < bytes.length);
            } else if (attempt != null && buffering.mustRelay(parser, attempt)) {
                relayResponse();
            }
            stallDetector.watch();
        } catch (MalformedMessageException e) {
            end(Outcome.MALFORMED_RESPONSE);
        }
    }

    /** Relays a large response that arrives slowly: it is not known when it will be complete. */
    private void stopBuffering(AttemptListener buffered) {
        if (buffering.active() && attempt == buffered) {
            stopBuffering();
        }
    }

    private void stopBuffering() {
        try {
            relayResponse();
            stallDetector.watch();
        } catch (MalformedMessageException e) {
            end(Outcome.MALFORMED_RESPONSE);
        }
    }

    private void responseComplete(boolean moreBytes) throws MalformedMessageException {
        buffering.release();
        MessageHead head = parser.head();
        // A response before the end of the request may be a second copy of the previous response and must not be taken
        // for the response to this request. Only a large request may be rejected before its end.
        if (!request.written() && (upload == null || head.start[1].equals("200"))) {
            throw new MalformedMessageException(502, "a response arrived before its request was sent");
        }
        byte[] body = parser.body();
        AttemptListener completed = attempt;
        BodyRelay relay = download;
        attempt = null;
        download = null;
        if (relay != null) {
            relay.complete();
        }
        if (moreBytes) {
            owner.unexpectedBytes();
        }
        if (!request.written() || moreBytes || !parser.connectionStaysOpen()) {
            close(); // Detaches the rest of the request's body too; the next attempt gets it from its first byte.
        } else {
            upload = null;
            owner.becameIdle(this);
        }
        if (completed != null) {
            Outcome outcome = AttemptOutcomes.ofResponse(head);
            AttemptOutcomes.report(
                    completed, head, outcome, outcome == Outcome.FULFILLED ? Response.of(head, body, null) : null);
        }
    }

    /** Fulfills the attempt with the first bytes of a large response; the rest is relayed for as long as the upstream sends. */
    private void relayResponse() throws MalformedMessageException {
        MessageHead head = parser.head();
        Outcome outcome = AttemptOutcomes.ofResponse(head);
        if (outcome != Outcome.FULFILLED) {
            end(outcome);
            return;
        }
        if (!request.written()) {
            throw new MalformedMessageException(502, "a response arrived before its request was sent");
        }
        buffering.release();
        BodyRelay.Source source = new ResponseSource(channel, stallDetector, this::close);
        BodyRelay relay = BodyRelay.ofResponse(parser.contentLength(), parser.body(), owner.bufferBudget(), source);
        parser.streamTo(relay::relay);
        AttemptListener fulfilled = attempt;
        attempt = null;
        download = relay;
        AttemptOutcomes.report(fulfilled, head, Outcome.FULFILLED, Response.of(head, new byte[0], relay));
        if (!relay.hasTarget()) {
            relay.cancel();
        }
    }

    /**
     * Relays an incomplete response, shortly before its attempt times out, if it is the beginning of a long one: then its first bytes are
     * in time. What is short, or has stopped, would reach the client late or never; the attempt is left to time out.
     */
    public void relayBeforeTimeout() {
        if (attempt != null
                && request.written()
                && buffering.beginsLongResponse(parser, eventLoop.now() - stallDetector.lastByteAt())) {
            stopBuffering();
        }
    }

    /**
     * Cancels the attempt and closes its connection, so that a late response reaches nobody. A connection that is still being established
     * has carried nothing and may be kept for the next attempt.
     */
    public void giveUp() {
        if (connecting() && upload == null && owner.mayContinueConnecting(this)) {
            attempt = null;
            request.stopWaiting();
        } else {
            close();
        }
    }

    /** Closes the connection and gives up whatever it carries. Bytes that arrive later are discarded. */
    public void close() {
        if (!closed) {
            closed = true;
            stallDetector.stop();
            sendStallDetector.stop();
            buffering.release();
            attempt = null;
            BodyRelay requestBody = upload;
            BodyRelay responseBody = download;
            upload = null;
            download = null;
            if (requestBody != null) {
                requestBody.detach(this);
            }
            if (responseBody != null) {
                responseBody.fail();
            }
            if (channel != null) {
                channel.close();
                owner.closed(this);
            }
            // A connect cannot be cancelled: it holds its descriptor, and counts as open, until it succeeds or fails.
        }
    }

    private void end(Outcome outcome) {
        AttemptListener ended = attempt;
        close();
        if (ended != null) {
            ended.ended(outcome, null);
        }
    }

    /** Returns whether the connection has not been established yet. */
    public boolean connecting() {
        return channel == null && !closed;
    }

    /** Ends the attempt because its connection was not established in time. */
    public void connectTimedOut() {
        if (connecting() && attempt != null) {
            AttemptListener timedOut = attempt;
            giveUp();
            timedOut.ended(Outcome.UNREACHABLE, null);
        }
    }

    /** Returns whether the connection is being established and no attempt waits for it. */
    public boolean connectingWithoutAttempt() {
        return connecting() && attempt == null;
    }

    /** Stops new requests, as the upstream drains, has gone or was replaced: one that has not begun to be sent is not sent. */
    public void stopNewRequests() {
        noNewRequests = true;
        if (connecting()) {
            end(Outcome.NOT_SENT); // The connection is closed when it has been established.
        }
    }

    /** Completes a response without a length at the end of the stream. */
    @Override
    public void ended() {
        try {
            if (!closed && (attempt != null || download != null)) {
                parser.end();
                if (parser.done()) {
                    responseComplete(false);
                }
            }
        } catch (MalformedMessageException e) {
            end(Outcome.MALFORMED_RESPONSE);
        }
    }

    @Override
    public void closed() {
        if (!closed) {
            owner.contactLost(this);
        }
        if (!closed && attempt != null && reused && silent) {
            owner.reusedConnectionLost();
        }
        if (request.denied() && attempt != null) {
            attempt.notSent();
        }
        end(AttemptOutcomes.ofLostConnection(request));
        owner.closed(this);
    }

    /** Ends the attempt as not sent: a lack of descriptors or routes here must not make every upstream look unhealthy. */
    @Override
    public void connectFailedLocally() {
        end(Outcome.NOT_SENT);
        owner.closed(this);
    }

    /** Returns the outcome of the current attempt if it is given up before its request is known to be sent. */
    public Outcome withdrawnOutcome() {
        return request.lastRelayedByteQueued() ? Outcome.CANCELLED : Outcome.NOT_SENT;
    }

    /** Returns whether the request of the current attempt may have been sent to its last byte, as far as the socket knows. */
    public boolean requestWritten() {
        return request.mayBeWritten(channel);
    }
}
