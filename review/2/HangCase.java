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
 * Usual clients make about 60 calls a second. With the disruption, 300 bad clients connect after some seconds, and 300 others when these have gone; they send all but the last bytes
 * of a body of 64 KiB, and stay until they get their error, or for 6 s. Each call of the usual clients must have its final answer.
 */
final class HangCase {
    private static final int UPSTREAMS = 12;
    private static final int CALLERS = 20;
    private static final int BAD_CLIENTS = 300;
    private static final int DECLARED_BYTES = 65_536;
    private static final int SENT_BYTES = 65_000;
    private static final long BAD_CLIENTS_STAY_MILLIS = 6_000;
    /** The time after which a call without an answer counts as lost: half a second and the slack of the sockets after its own time. */
    private static final long GRACE_MILLIS = 550;

    private final Rig rig;
    private final Map<String, AtomicInteger> outcomes = new TreeMap<>();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger numbers = new AtomicInteger();
    private final AtomicBoolean stop = new AtomicBoolean();

    private HangCase(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new HangCase(rig).play());
    }

    private boolean play() throws Exception {
        List<Rig.Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(rig.new Upstream("s-" + i, Site.ZONES.get(i % Site.ZONES.size()), (request, connection, out) -> {
                rig.note("upstream event=run id=%s", request.field("x-correlation-id"));
                Rig.sleep(20 + ThreadLocalRandom.current().nextInt(60));
                Rig.answer(out, 200, "", "found\n".getBytes(StandardCharsets.US_ASCII));
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
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(Rig.thread(() -> calls(port)));
        }
        Rig.sleep(5_000);
        int lostBefore = lost.get();
        for (int wave = 0; wave < 2; wave++) {
            if (rig.trouble) {
                rig.noteAndPrint("%d bad clients connect; usual calls so far %s, lost %d", BAD_CLIENTS, outcomes(), lost.get());
                for (int i = 0; i < BAD_CLIENTS; i++) {
                    int number = wave * BAD_CLIENTS + i;
                    Rig.thread(() -> badClient(port, number));
                }
            }
            Rig.sleep(BAD_CLIENTS_STAY_MILLIS + 2_000);
        }
        rig.noteAndPrint("usual calls after the bad clients have gone %s, lost %d", outcomes(), lost.get());
        Rig.sleep(15_000);
        stop.set(true);
        for (Thread caller : callers) {
            caller.join();
        }
        rig.noteAndPrint("usual calls at the end %s, lost %d; the process runs: %s", outcomes(), lost.get(), balancer.process.isAlive());
        if (lostBefore > 0) {
            throw new IOException("calls were lost before the disruption");
        }
        return lost.get() == 0 && balancer.process.isAlive();
    }

    private void calls(int port) {
        Rig.Caller caller = rig.new Caller(port, 3_000);
        while (!stop.get()) {
            int number = numbers.incrementAndGet();
            String id = "call" + number;
            Rig.Message answer = number % 3 == 0
                    ? caller.call("POST", "/importar/x", id, "", new byte[200], GRACE_MILLIS)
                    : caller.call("GET", "/buscar/x", id, "", new byte[0], GRACE_MILLIS);
            if (answer == null) {
                lost.incrementAndGet();
            }
            String outcome = answer == null ? "no answer" : Integer.toString(answer.status);
            rig.note("client id=%s answer=\"%s\"", id, outcome);
            synchronized (outcomes) {
                outcomes.computeIfAbsent(outcome, key -> new AtomicInteger()).incrementAndGet();
            }
            Rig.sleep(150 + ThreadLocalRandom.current().nextInt(250));
        }
        caller.end();
    }

    private String outcomes() {
        synchronized (outcomes) {
            return outcomes.toString();
        }
    }

    private void badClient(int port, int number) {
        String outcome = "connected";
        try (Rig.Client client = new Rig.Client(port, (int) BAD_CLIENTS_STAY_MILLIS)) {
            client.send(
                    "POST /importar/x HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: bad" + number
                            + "\r\nX-Time-Left: 3000m\r\nContent-Length: " + DECLARED_BYTES + "\r\n\r\n",
                    new byte[SENT_BYTES]);
            Rig.Message answer = Rig.read(client.in, false);
            outcome = answer == null ? "closed" : Integer.toString(answer.status);
        } catch (IOException e) {
            outcome = e.toString();
        }
        rig.note("bad_client number=%d outcome=\"%s\"", number, outcome);
    }
}
