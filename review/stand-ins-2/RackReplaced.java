import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: half of the upstreams are replaced, one after the other, by new ones of another group at the same addresses, while the list is 2.7 s
 * late. Deduplicated calls whose attempts were cut off are repeated; the rule is that none runs in two groups.
 */
final class RackReplaced {
    private static final int RACK = 10;
    private static final long STEP_MS = 700;
    private static final long DOWN_MS = 300;
    private static final long LIST_DELAY_MS = 2_700;
    private static final String SETTINGS = """
            {"az":"bandung","zones":["bandung"],"tier":0,"tiers":["loket"],"replicasOfMe":1,"step":5.0,"membershipMode":"subscribe",
             "weightSource":"none","billedValueBy":"request",
             "limits":{"connIdle":5000.0,"connectTimeout":250.0,"mayCancel":true,"mostShots":4,"secondCopies":false,
                       "retryAfter":true,"maxRetryAfter":2000.0},
             "rules":{"askWithin":10000.0,"cold":20000.0,"coldShare":0.2,"fallMultiple":3.0,"fall":1500.0,"drainGrace":2000.0},
             "products":[
              {"name":"file-pull","semantics":"guarded","keyScope":"cell","repeatWindow":10000.0,"clientTimeout":6000.0,
               "latencySlo":2500.0,"billedValue":1.0,"lateBilledValue":0.0}]}""";

    /** What each group has run, by key: calls whose key a group has seen are answered and not run again. */
    private static final Map<String, Map<Integer, String>> RUNS = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        Rig.main(RackReplaced::run);
    }

    private static Rig.Server upstream(Rig rig, String name, int group, InetSocketAddress address) throws Exception {
        return rig.upstream(address, request -> {
            String key = request.field("idempotency-key");
            boolean first = RUNS.computeIfAbsent(key, k -> new ConcurrentHashMap<>()).putIfAbsent(group, name) == null;
            rig.note((first ? "ran" : "repeat-dropped") + " key=" + key + " upstream=" + name + " group=" + group);
            Rig.sleep(400);
            return Rig.response(200, "", ("done " + key).getBytes(StandardCharsets.US_ASCII));
        });
    }

    private static int run(Rig rig) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        Rig.Server[] rack = new Rig.Server[RACK];
        for (int i : Rig.range(RACK)) {
            rack[i] = upstream(rig, "s-a" + i, 1, new InetSocketAddress("127.0.0.1", 0));
            discovery.put("s-a" + i, Rig.endpoint("s-a" + i, rack[i].address, "bandung", 1, "in_service", 0));
            Rig.Server other = upstream(rig, "s-b" + i, 2, new InetSocketAddress("127.0.0.1", 0));
            discovery.put("s-b" + i, Rig.endpoint("s-b" + i, other.address, "bandung", 2, "in_service", 0));
        }
        Rig.Balancer balancer = rig.start("n1", 1024, discovery.server.address, discovery.entries(), SETTINGS);
        AtomicInteger open = new AtomicInteger();
        long callsEndAt = rig.ms() + 25_000;
        Thread calls = Rig.thread(() -> {
            for (int n = 0; rig.ms() < callsEndAt; n++) {
                String key = String.format(Locale.ROOT, "%032x", n);
                open.incrementAndGet();
                Rig.thread(() -> {
                    call(rig, balancer, key);
                    open.decrementAndGet();
                });
                Rig.sleep(15);
            }
        });
        Rig.sleep(10_000);
        for (int i = 0; rig.trouble && i < RACK; i++) {
            replace(rig, discovery, rack[i], i);
        }
        calls.join();
        while (open.get() > 0) {
            Rig.sleep(50);
        }
        int twice = 0;
        for (Map.Entry<String, Map<Integer, String>> run : RUNS.entrySet()) {
            if (run.getValue().size() > 1) {
                twice++;
                rig.say("ran in two groups: key=" + run.getKey() + " " + run.getValue());
            }
        }
        rig.say("calls=" + RUNS.size() + " run_in_two_groups=" + twice);
        if (!balancer.alive() || RUNS.size() < 500) {
            return Rig.COULD_NOT_RUN;
        }
        return twice > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Replaces one upstream by a new one at its address; the list tells of both changes later, in one event. */
    private static void replace(Rig rig, Rig.Discovery discovery, Rig.Server old, int i) throws Exception {
        long begin = rig.ms();
        rig.note("upstream s-a" + i + " dies");
        old.close();
        Rig.sleep(DOWN_MS);
        upstream(rig, "s-c" + i, 3, old.address);
        rig.note("upstream s-c" + i + " of group 3 starts at the address of s-a" + i);
        long since = System.currentTimeMillis();
        Rig.thread(() -> {
            Rig.sleep(begin + LIST_DELAY_MS - rig.ms());
            Map<String, String> changes = new LinkedHashMap<>();
            changes.put("s-a" + i, Rig.endpoint("s-a" + i, old.address, "bandung", 1, "terminated", 0));
            changes.put("s-c" + i, Rig.endpoint("s-c" + i, old.address, "bandung", 3, "in_service", since));
            discovery.tell(changes);
        });
        Rig.sleep(begin + STEP_MS - rig.ms());
    }

    private static void call(Rig rig, Rig.Balancer balancer, String key) {
        String id = Rig.newId();
        rig.note("call id=" + id + " key=" + key);
        try (Rig.Client client = new Rig.Client(balancer.address)) {
            client.send(Rig.request("/file-pull/x", id, 3_000, "Idempotency-Key: " + key + "\r\n", new byte[20]));
            rig.note("answer id=" + id + " status=" + client.answer(4_000).status());
        } catch (Exception e) {
            rig.note("no answer id=" + id + " " + e);
        }
    }
}
