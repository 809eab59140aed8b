import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Usual clients send calls with a body and calls without one, in turn, each on a connection that it keeps. With the disruption the bodies
 * have 100,000 to 1,000,000 bytes, else 1,000 to 60,000. Each call must have its final answer.
 */
final class UnansweredCase {
    private static final int UPSTREAMS = 12;
    private static final int CALLERS = 8;
    private static final long PLAYED_MILLIS = 40_000;
    private static final long WAIT_MILLIS = 3_000;
    /** The time after which a call without an answer counts as lost: half a second and the slack of the sockets after its own time. */
    private static final long GRACE_MILLIS = 550;

    private final Rig rig;
    private final Map<String, AtomicInteger> outcomes = new TreeMap<>();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger numbers = new AtomicInteger();
    private final AtomicBoolean stop = new AtomicBoolean();

    private UnansweredCase(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new UnansweredCase(rig).play());
    }

    private boolean play() throws Exception {
        List<Rig.Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            String name = "s-" + i;
            upstreams.add(rig.new Upstream(name, Site.ZONES.get(i % Site.ZONES.size()), (request, connection, out) -> {
                rig.note("upstream name=%s id=%s event=run bytes=%d", name, request.field("x-correlation-id"), request.body.length);
                Rig.sleep(20 + ThreadLocalRandom.current().nextInt(60));
                Rig.answer(out, 200, "", "done\n".getBytes(StandardCharsets.US_ASCII));
                return true;
            }));
        }
        Rig.Discovery discovery = rig.new Discovery("discovery", upstreams, new AtomicLong(41));
        int port = Rig.freePort();
        Rig.Balancer balancer = rig.new Balancer(
                "n1",
                port,
                0,
                rig.temporary.resolve("n1"),
                Site.configuration("n1", port, 0, discovery.address(), Rig.list(41, true, upstreams), 4, 0));
        balancer.awaitReady();
        Rig.sleep(2_500);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(Rig.thread(() -> calls(port)));
        }
        Rig.sleep(PLAYED_MILLIS);
        stop.set(true);
        for (Thread caller : callers) {
            caller.join();
        }
        rig.noteAndPrint("calls by outcome %s, lost %d; the process runs: %s", outcomes, lost.get(), balancer.process.isAlive());
        if (numbers.get() < 10 * CALLERS) {
            throw new IOException("too few calls were made");
        }
        return lost.get() == 0;
    }

    private void calls(int port) {
        Rig.Caller caller = rig.new Caller(port, WAIT_MILLIS);
        while (!stop.get()) {
            int size = rig.trouble
                    ? 100_000 + ThreadLocalRandom.current().nextInt(900_000)
                    : 1_000 + ThreadLocalRandom.current().nextInt(59_000);
            call(caller, "POST", "/importar/x", new byte[size]);
            Rig.sleep(50 + ThreadLocalRandom.current().nextInt(100));
            call(caller, "GET", "/buscar/x", new byte[0]);
            Rig.sleep(50 + ThreadLocalRandom.current().nextInt(100));
        }
        caller.end();
    }

    private void call(Rig.Caller caller, String method, String path, byte[] body) {
        String id = "call" + numbers.incrementAndGet();
        rig.note("client id=%s event=sends method=%s bytes=%d", id, method, body.length);
        Rig.Message answer = caller.call(method, path, id, "", body, GRACE_MILLIS);
        String outcome = answer == null ? "no answer" : Integer.toString(answer.status);
        rig.note("client id=%s answer=\"%s\"", id, outcome);
        if (answer == null) {
            lost.incrementAndGet();
            System.out.println(id + " (" + method + ", " + body.length + " bytes) has no answer");
        }
        synchronized (outcomes) {
            outcomes.computeIfAbsent(method + " " + outcome, key -> new AtomicInteger()).incrementAndGet();
        }
    }
}
