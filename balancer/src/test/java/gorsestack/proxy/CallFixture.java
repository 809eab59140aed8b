package gorsestack.proxy;

import com.fasterxml.jackson.databind.ObjectMapper;
import gorsestack.decision.Endpoint;
import gorsestack.settings.Limits;
import gorsestack.wire.Channel;
import gorsestack.wire.ClientConnection;
import gorsestack.wire.ClientRequestHandler;
import gorsestack.wire.EventLoop;
import gorsestack.wire.Request;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/** An event loop on a clock that the test sets, clients without sockets, and a listener that records the events of attempts. */
final class CallFixture implements EventLoop, UpstreamAttempt.Listener {
    private record Timer(long dueAt, Runnable task) {}

    private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> Long.compare(a.dueAt, b.dueAt));
    final List<String> events = new ArrayList<>();
    long now;
    boolean clientOpen = true;

    static Request request(String id) {
        return new Request(null, new byte[0], null, id, "product", -1);
    }

    /** Returns a client whose connection is open while {@link #clientOpen} is true. */
    ClientConnection client() {
        Limits limits;
        try {
            limits = Limits.of(
                    new ObjectMapper().readTree("{\"sockets\":1024}"),
                    new ObjectMapper().readTree("{\"products\":[]}"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        ClientConnection client = new ClientConnection(limits, this, stub(ClientRequestHandler.class));
        client.opened(stub(Channel.class));
        return client;
    }

    /** Returns an attempt without a deadline at an upstream with this list entry. */
    UpstreamAttempt attempt(ActiveCall call, Endpoint sentTo) {
        return new UpstreamAttempt(call, sentTo.id(), sentTo, now, Long.MAX_VALUE, Long.MAX_VALUE, this, this);
    }

    UpstreamAttempt attempt(ActiveCall call, long deadline, long sendBy) {
        return new UpstreamAttempt(call, "u", null, now, deadline, sendBy, this, this);
    }

    /** Returns an object of this type whose methods do nothing; a channel is open while {@link #clientOpen} is true, and has sent nothing. */
    private <T> T stub(Class<T> type) {
        Object proxy = Proxy.newProxyInstance(
                type.getClassLoader(), new Class<?>[] {type}, (self, method, arguments) -> switch (method.getName()) {
                    case "open" -> clientOpen;
                    case "unsent", "sentBytes" -> 0L;
                    case "toString" -> type.getSimpleName();
                    default -> null;
                });
        return type.cast(proxy);
    }

    void runUntil(long time) {
        while (!timers.isEmpty() && timers.peek().dueAt <= time) {
            Timer timer = timers.poll();
            now = timer.dueAt;
            timer.task.run();
        }
        now = time;
    }

    @Override
    public long now() {
        return now;
    }

    @Override
    public void execute(Runnable task) {
        at(now, task);
    }

    @Override
    public Runnable at(long time, Runnable task) {
        Timer timer = new Timer(time, task);
        timers.add(timer);
        return () -> timers.remove(timer);
    }

    @Override
    public void onFinished(UpstreamAttempt attempt) {
        events.add("finished");
    }

    @Override
    public void onSent(UpstreamAttempt attempt, long firstByteAt) {
        events.add("sent " + firstByteAt);
    }

    @Override
    public void onLoadReport(UpstreamAttempt attempt, String report) {
        events.add("load " + report);
    }

    @Override
    public void onWithheld(UpstreamAttempt attempt) {
        events.add("withheld");
    }

    @Override
    public long clientTimeout(ActiveCall call) {
        return Long.MAX_VALUE;
    }
}
