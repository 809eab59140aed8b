package gorsestack.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorsestack.settings.Limits;
import gorsestack.wire.Channel;
import gorsestack.wire.ConnectionHandler;
import gorsestack.wire.EventLoop;
import gorsestack.wire.HttpParser;
import gorsestack.wire.MalformedMessageException;
import gorsestack.wire.Response;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * HTTP interface for operators, on a listener of its own: health checks, status, tracing, evacuation and maintenance of upstreams. Each
 * connection serves one request. No response depends on another system. Created and set up by the server package on the main thread, then
 * used on the event loop's thread.
 */
public final class AdminServer {
    /** Operations of the balancer that operators can use. Called on the event loop's thread. */
    public interface Balancer {
        /** Returns whether the balancer is ready for clients: it has started, does not shut down and is not evacuated. */
        boolean ready();

        /** Returns whether the endpoint list contains the upstream. */
        boolean isListed(String upstream);

        /**
         * Puts an upstream into maintenance or back into service.
         *
         * @param endedAt time at which the upstream was put back into service, or {@link Handover#NOT_ENDED} while it is in maintenance
         */
        void setMaintenance(String upstream, long endedAt);

        /** Returns the status report; null if there is none. */
        default ObjectNode status() {
            return null;
        }

        /** Starts or stops logging of each step of each call. */
        default void trace(boolean enabled) {}

        /** Starts to send clients to other balancers, or accepts them again. */
        void evacuate(boolean evacuating);
    }

    /** Operation of a PUT request; its response may be given later. */
    private interface Command {
        void run(Consumer<Response> respond);
    }

    private static final System.Logger LOG = System.getLogger("gorsestack.admin");
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Limits limits;
    private final EventLoop eventLoop;
    private final Balancer balancer;
    private Handover handover;
    private long incarnation;
    /** Maintenance orders that this process knows, by upstream: NOT_ENDED, or the time at which the upstream was put back into service. */
    private final Map<String, Long> maintenance = new HashMap<>();

    /** Open connections in the order in which they were opened. */
    private final Set<Connection> connections = new LinkedHashSet<>();

    /** Creates a server without connections; {@code balancer} carries out the operators' commands. */
    public AdminServer(Limits limits, EventLoop eventLoop, Balancer balancer) {
        this.limits = limits;
        this.eventLoop = eventLoop;
        this.balancer = balancer;
    }

    /** Sets the handover that stores maintenance orders; must be called before the first request. */
    public void storeOrdersIn(Handover store) {
        handover = store;
    }

    /** Returns a handler for a new connection. */
    public ConnectionHandler newConnection() {
        return new Connection();
    }

    /** Applies a maintenance order that was given to this process, to another process of this balancer or to an earlier one. */
    public void applyOrder(String upstream, long endedAt) {
        if (!Long.valueOf(endedAt).equals(maintenance.put(upstream, endedAt))) {
            boolean inMaintenance = endedAt == Handover.NOT_ENDED;
            LOG.log(System.Logger.Level.INFO, "maintenance upstream={0} active={1}", upstream, inMaintenance);
            balancer.setMaintenance(upstream, endedAt);
        }
    }

    /** Sets this process's incarnation for the status report. */
    public void incarnation(long number) {
        incarnation = number;
    }

    private static Response response(boolean success, String text) {
        return Response.own(success ? OK : SERVICE_UNAVAILABLE, "", text);
    }

    private static Response notFound(String text) {
        return Response.own(NOT_FOUND, "", text);
    }

    private void handle(String method, String target, Consumer<Response> respond) {
        if (target.equals("/healthcheck")) {
            respond.accept(healthCheck(method));
        } else if (target.equals("/status") && method.equals("GET")) {
            respond.accept(status());
        } else {
            handleCommand(method, target, respond);
        }
    }

    private Response healthCheck(String method) {
        if (!method.equals("GET")) {
            return Response.own(METHOD_NOT_ALLOWED, "Allow: GET\r\n", "GET tells whether this is ready");
        }
        boolean ready = balancer.ready();
        return response(ready, ready ? "ready" : "not ready");
    }

    private Response status() {
        ObjectNode status = balancer.status();
        if (status == null) {
            return notFound("no such call");
        }
        status.put("incarnation", incarnation);
        ArrayNode inMaintenance = status.putArray("outByHand");
        maintenance.entrySet().stream()
                .filter(order -> order.getValue() == Handover.NOT_ENDED)
                .map(Map.Entry::getKey)
                .sorted()
                .forEach(inMaintenance::add);
        return Response.own(OK, "", status.toString());
    }

    private void handleCommand(String method, String target, Consumer<Response> respond) {
        Optional<Command> command = command(target);
        if (command.isEmpty()) {
            respond.accept(notFound("no such call"));
        } else if (!method.equals("PUT")) {
            respond.accept(Response.own(METHOD_NOT_ALLOWED, "Allow: PUT\r\n", "PUT does this"));
        } else {
            command.get().run(respond);
        }
    }

    private Optional<Command> command(String target) {
        return switch (target) {
            case "/trace/on" -> Optional.of(respond -> respond.accept(trace(true)));
            case "/trace/off" -> Optional.of(respond -> respond.accept(trace(false)));
            case "/healthcheck/fail" -> Optional.of(respond -> respond.accept(evacuate(true)));
            case "/healthcheck/ok" -> Optional.of(respond -> respond.accept(evacuate(false)));
            default -> maintenanceCommand(target);
        };
    }

    /** Returns the command for a target /upstreams/ID/maint or /upstreams/ID/ready; empty for any other target. */
    private Optional<Command> maintenanceCommand(String target) {
        String[] parts = target.split("/", -1);
        if (parts.length != 4 || !parts[0].isEmpty() || !parts[1].equals("upstreams")) {
            return Optional.empty();
        }
        return switch (parts[3]) {
            case "maint" -> Optional.of(respond -> handleMaintenance(parts[2], true, respond));
            case "ready" -> Optional.of(respond -> handleMaintenance(parts[2], false, respond));
            default -> Optional.empty();
        };
    }

    private Response trace(boolean enabled) {
        LOG.log(System.Logger.Level.INFO, "trace enabled={0}", enabled);
        balancer.trace(enabled);
        return response(true, enabled ? "calls are traced" : "calls are traced no longer");
    }

    private Response evacuate(boolean enabled) {
        LOG.log(System.Logger.Level.INFO, "evacuation enabled={0}", enabled);
        balancer.evacuate(enabled);
        return response(true, enabled ? "clients are sent away" : "back to work");
    }

    private void handleMaintenance(String encodedId, boolean maintenanceOrdered, Consumer<Response> respond) {
        String id;
        try {
            // URLDecoder decodes a plus as a space, which is correct in a query but not in a path.
            id = URLDecoder.decode(encodedId.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            respond.accept(Response.own(BAD_REQUEST, "", "an id that cannot be read"));
            return;
        }
        if (maintenanceOrdered == inMaintenance(id) || !isKnown(id)) {
            // Another process of this balancer may have been given an order that this one has not read yet.
            handover.readOrders(() -> giveOrder(id, maintenanceOrdered, respond));
        } else {
            giveOrder(id, maintenanceOrdered, respond);
        }
    }

    private boolean inMaintenance(String id) {
        return maintenance.getOrDefault(id, 0L) == Handover.NOT_ENDED;
    }

    private boolean isKnown(String id) {
        return inMaintenance(id) || balancer.isListed(id);
    }

    private void giveOrder(String id, boolean maintenanceOrdered, Consumer<Response> respond) {
        if (!isKnown(id)) {
            respond.accept(notFound("no such upstream"));
        } else if (maintenanceOrdered == inMaintenance(id)) {
            String text = maintenanceOrdered ? "out already" : "was not out";
            handover.confirmSaved(saved -> respond.accept(acknowledgement(saved, text)));
        } else {
            long endedAt = maintenanceOrdered ? Handover.NOT_ENDED : eventLoop.now();
            String text = maintenanceOrdered ? "out" : "back";
            applyOrder(id, endedAt);
            handover.order(id, endedAt, saved -> respond.accept(acknowledgement(saved, text)));
        }
    }

    /**
     * Returns the response to a maintenance order. An order that is not on the disk gets an error response, as a restart would lose it; it
     * applies nevertheless, and the write is retried.
     */
    private static Response acknowledgement(boolean saved, String text) {
        String retry = ", but not kept yet: a restart would forget it; writing is tried again, ask again";
        return response(saved, saved ? text : text + retry);
    }

    /**
     * Connection of an operator. It gets an error response and is closed if its request is still incomplete after a timeout, and is closed
     * earlier if it is the oldest of too many connections, so that unresponsive clients do not block others.
     */
    private final class Connection implements ConnectionHandler {
        private final HttpParser parser = HttpParser.request(limits);
        private Channel channel;
        private boolean requestHandled;

        @Override
        public void opened(Channel opened) {
            channel = opened;
            connections.add(this);
            if (connections.size() > limits.admin().maxConnections()) {
                Connection oldest = connections.iterator().next();
                connections.remove(oldest);
                oldest.channel.close();
            }
            eventLoop.at(eventLoop.now() + limits.admin().requestTimeoutNanos(), () -> {
                if (!requestHandled) {
                    respond(Response.own(REQUEST_TIMEOUT, "", "the call did not come to its end"));
                }
            });
        }

        @Override
        public void received(byte[] bytes, long receivedAt) {
            if (requestHandled) {
                return;
            }
            try {
                parser.feed(bytes, 0, bytes.length);
                if (parser.bodyBytes() > 0) { // Rejected at once, as a body would be buffered up to its end.
                    throw new MalformedMessageException(BAD_REQUEST, "calls here have no body");
                }
                if (parser.done()) {
                    requestHandled = true;
                    handle(parser.head().start[0], parser.head().start[1], this::respond);
                }
            } catch (MalformedMessageException e) {
                respond(Response.own(e.status, "", e.getMessage()));
            }
        }

        private void respond(Response response) {
            requestHandled = true;
            channel.write(response.bytes(true));
            channel.finish();
        }

        @Override
        public void sent() {}

        @Override
        public void closed() {
            connections.remove(this);
        }
    }
}
