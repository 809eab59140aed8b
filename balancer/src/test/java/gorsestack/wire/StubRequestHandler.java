package gorsestack.wire;

import gorsestack.decision.Settings;
import gorsestack.settings.Limits;

/** A handler that is ready, takes each product as idempotent and ignores all events but calls, which each test implements. */
public abstract class StubRequestHandler implements ClientRequestHandler {
    private final BufferBudget budget;

    protected StubRequestHandler(Limits limits) {
        budget = new BufferBudget(limits);
    }

    @Override
    public void opened(ClientConnection from) {}

    @Override
    public void requestNotReplayable(ClientConnection from) {}

    @Override
    public void requestBodyComplete(ClientConnection from, long arrivedAt) {}

    @Override
    public BufferBudget bufferBudget() {
        return budget;
    }

    @Override
    public void clientDisconnected(ClientConnection from) {}

    @Override
    public void closed(ClientConnection from) {}

    @Override
    public boolean ready() {
        return true;
    }

    @Override
    public boolean closing() {
        return false;
    }

    @Override
    public Settings.Repeat repeat(String product) {
        return Settings.Repeat.IDEMPOTENT;
    }
}
