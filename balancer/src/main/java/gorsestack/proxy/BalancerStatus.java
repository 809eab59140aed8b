package gorsestack.proxy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorsestack.invariant.Invariants;
import java.util.List;

/**
 * Builds the status document that operators read. Its keys and their order are an external format. Used by {@link CallDispatcher}. Owned
 * by the event loop's thread.
 */
final class BalancerStatus {
    private final CallTable calls;
    private final ClientConnectionManager clients;
    private final Invariants invariants;
    private final RecoveryCoordinator recovery;
    private List<String> ignoredSignals = List.of();

    BalancerStatus(
            CallTable calls, ClientConnectionManager clients, Invariants invariants, RecoveryCoordinator recovery) {
        this.calls = calls;
        this.clients = clients;
        this.invariants = invariants;
        this.recovery = recovery;
    }

    /** Sets the names of the signals that this process inherited as ignored from the process that started it. */
    void ignoredSignals(List<String> names) {
        ignoredSignals = names;
    }

    /** Returns a new status document. */
    ObjectNode document(boolean ready) {
        ObjectNode status = new ObjectMapper().createObjectNode();
        status.put("ready", ready);
        status.put("callsHeld", calls.awaitingResponse());
        status.put("clientConnections", clients.size());
        ignoredSignals.forEach(status.putArray("ignoredSignals")::add);
        clients.bufferBudget().report(status.putObject("memory")::put);
        ObjectNode counters = status.putObject("invariants");
        invariants.report(counters::put);
        recovery.status(status);
        return status;
    }
}
