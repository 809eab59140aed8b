package gorsestack.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import gorsestack.decision.PolicyActions;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HexFormat;

/** Writes the actions of one balancer's policy into the reply to the current batch, on the thread of {@link EventDispatcher}. */
final class SimulatorActions implements PolicyActions {
    private final EventDispatcher dispatcher;
    private final long instance;

    SimulatorActions(EventDispatcher dispatcher, long instance) {
        this.dispatcher = dispatcher;
        this.instance = instance;
    }

    @Override
    public void startAttempt(String apiCall, String upstream, long timeout) {
        write("TRANSMIT", apiCall, upstream, SimulatorTime.millis(timeout));
    }

    @Override
    public void cancelAttempt(String apiCall, int attempt) {
        write("RETRACT", apiCall, attempt);
    }

    /** Writes nothing, as the simulator delivers the first successful response to the client by itself. */
    @Override
    public void fulfilled(String apiCall, int attempt) {}

    @Override
    public void rateLimited(String apiCall, long retryAfter) {
        write("PUSH_BACK", apiCall, SimulatorTime.millis(retryAfter));
    }

    @Override
    public void errored(String apiCall) {
        write("LOSE", apiCall);
    }

    @Override
    public void scheduleTimer(long token, long dueAt) {
        write("WAKE_ME", token, SimulatorTime.millis(dueAt));
    }

    @Override
    public void watchEndpoints() {
        write("TRACK", true);
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        write("BROADCAST_TO", peer, HexFormat.of().formatHex(message));
    }

    @Override
    public void closeIdleConnections(String upstream) {
        write("FREE_LINKS", upstream);
    }

    /** Reports an exception that the policy has thrown to the simulator. */
    void reportPolicyFailure(String description) {
        write("DIE", description);
    }

    private void write(String name, Object... values) {
        JsonGenerator out = dispatcher.reply();
        try {
            out.writeStartArray();
            out.writeString(name);
            out.writeNumber(instance);
            for (Object value : values) {
                if (value instanceof String text) {
                    out.writeString(text);
                } else if (value instanceof Double number) {
                    out.writeNumber(number);
                } else if (value instanceof Boolean flag) {
                    out.writeBoolean(flag);
                } else {
                    out.writeNumber(((Number) value).longValue());
                }
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
