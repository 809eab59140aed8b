package gorsestack.proxy;

import gorsestack.admin.ExecutedCalls;
import gorsestack.wire.ClientConnection;
import gorsestack.wire.Request;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Holds the calls that are not finished, by id, and those that await their response also by the id of their request and by their client's
 * connection. Used by {@link CallDispatcher} and its collaborators. Owned by the event loop's thread.
 */
final class CallTable {
    private final Map<String, ActiveCall> byId = new HashMap<>();
    /** The calls that await their response, by the id that their request has. */
    private final Map<String, ActiveCall> openByRequestId = new HashMap<>();

    private final Map<ClientConnection, ActiveCall> awaitingResponse = new HashMap<>();
    private ExecutedCalls executed = ExecutedCalls.inMemory();

    void setExecuted(ExecutedCalls table) {
        executed = table;
    }

    /** Returns whether a call whose request has this id awaits its response, whether or not its own id has a suffix. */
    boolean isOpen(String requestId) {
        ActiveCall call = openByRequestId.get(requestId);
        return call != null && !call.hasEnded();
    }

    /**
     * Returns whether a call with this id may be accepted, and claims the id of one that must not be repeated. Prevents two open calls with
     * one id, as an upstream would take the second for a duplicate of the first, and a second execution of a call whose client has left or
     * that another process of this balancer has accepted.
     */
    boolean claim(String requestId, boolean repeatable) {
        return !isOpen(requestId) && (repeatable || executed.add(requestId));
    }

    /** Adds a call that may be repeated. */
    ActiveCall add(ClientConnection client, Request request) {
        return add(client, request, false);
    }

    /** Adds a call; {@code claimed} tells that its id was claimed. If an earlier call with the same id still has attempts in flight, a suffix makes the new id unique. */
    ActiveCall add(ClientConnection client, Request request, boolean claimed) {
        String id = request.id();
        for (int suffix = 2; byId.containsKey(id); suffix++) {
            id = request.id() + "/" + suffix;
        }
        ActiveCall call = new ActiveCall(id, client, request, claimed);
        byId.put(id, call);
        openByRequestId.put(request.id(), call);
        awaitingResponse.put(client, call);
        return call;
    }

    /** Returns the call with this id, or null if it is finished. */
    ActiveCall byId(String id) {
        return byId.get(id);
    }

    /** Returns the client's call that awaits a response, or null if there is none. */
    ActiveCall byClient(ClientConnection client) {
        return awaitingResponse.get(client);
    }

    /** Removes the client's call that awaits a response from the table by client and returns it, or null; the table by id keeps it. */
    ActiveCall removeClient(ClientConnection client) {
        ActiveCall call = awaitingResponse.remove(client);
        if (call != null) {
            openByRequestId.remove(call.request().id(), call);
        }
        return call;
    }

    /** Removes the call if it is finished, and gives up its claim if it was not executed: then it may be sent again. */
    void removeIfFinished(ActiveCall call) {
        if (call.isFinished() && byId.remove(call.id, call) && call.claimed() && !call.mayHaveExecuted()) {
            executed.remove(call.request().id());
        }
    }

    int awaitingResponse() {
        return awaitingResponse.size();
    }

    /** Passes all calls that await a response to {@code action}, in the order of the table by id. */
    void forEachOpen(Consumer<ActiveCall> action) {
        byId.values().stream().filter(call -> !call.hasEnded()).forEach(action);
    }
}
