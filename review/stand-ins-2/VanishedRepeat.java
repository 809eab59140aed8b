import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: one upstream vanishes with deduplicated calls under way; a new one of its group starts at its address and is listed before the list
 * knows that the first is gone. The rule is that the calls are repeated in the group of their first attempt alone, so that none runs in two.
 */
final class VanishedRepeat {
    private static final int GROUP_SIZE = 4;
    private static final long NEW_AFTER_MS = 500;
    private static final long LISTED_AFTER_MS = 500;
    private static final String SETTINGS = """
            {"az":"room-a","zones":["room-a"],"tier":0,"tiers":["portal-front"],"replicasOfMe":1,"step":5.0,
             "membershipMode":"subscribe","weightSource":"none","billedValueBy":"work",
             "limits":{"connIdle":60000.0,"connectTimeout":120.0,"mayCancel":true,"mostShots":4,"secondCopies":true,
                       "retryAfter":true,"maxRetryAfter":2000.0},
             "rules":{"askWithin":10000.0,"cold":24000.0,"coldShare":0.15,"fallMultiple":3.0,"fall":1000.0,"drainGrace":100.0,
                      "goneIsAdvice":true},
             "products":[
              {"name":"bundle-buy","semantics":"guarded","keyScope":"cell","repeatWindow":2000.0,"clientTimeout":6000.0,
               "latencySlo":2500.0,"billedValue":5.0,"lateBilledValue":0.5}]}""";
    /** Which upstream of each group has run a call, by key. A group's upstreams answer a key that one of them has seen, and do not run it. */
    private static final Map<String, Map<Integer, String>> RUNS = new ConcurrentHashMap<>();

    public static void main(String[] arguments) throws Exception {
        Rig.main(VanishedRepeat::run);
    }

    private static Rig.Server upstream(Rig rig, String name, int group, InetSocketAddress address) throws Exception {
        Rig.Server[] self = new Rig.Server[1];
        self[0] = rig.server(address, 0, socket -> {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Rig.Message request = Rig.Message.read(in, true);
                if (!self[0].hasVanished()) {
                    String key = request.field("idempotency-key");
                    boolean first =
                            RUNS.computeIfAbsent(key, k -> new ConcurrentHashMap<>()).putIfAbsent(group, name) == null;
                    rig.note((first ? "ran" : "repeat-dropped") + " key=" + key + " upstream=" + name + " group=" + group);
                    Rig.sleep(400);
                }
                while (self[0].hasVanished()) {
                    Rig.sleep(1_000); // The connection stays open and silent.
                }
                socket.getOutputStream().write(Rig.response(200, "", "done".getBytes(StandardCharsets.US_ASCII)));
            }
        });
        return self[0];
    }

    private static int run(Rig rig) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        Rig.Server vanishing = null;
        for (int group : new int[] {0, 1}) {
            for (int i : Rig.range(GROUP_SIZE)) {
                String name = "s-" + group + i;
                Rig.Server server = upstream(rig, name, group, new InetSocketAddress("127.0.0.1", 0));
                discovery.put(name, Rig.endpoint(name, server.address, "room-a", group, "in_service", 0));
                vanishing = server; // In the end the last one of group 1: s-13.
            }
        }
        Rig.Balancer balancer = rig.start("n1", 1024, discovery.server.address, discovery.entries(), SETTINGS);
        AtomicInteger open = new AtomicInteger();
        long callsEndAt = rig.ms() + 18_000;
        Thread calls = Rig.thread(() -> {
            for (int n = 0; rig.ms() < callsEndAt; n++) {
                String key = String.format(Locale.ROOT, "%032x", n);
                open.incrementAndGet();
                Rig.thread(() -> {
                    call(rig, balancer, key);
                    open.decrementAndGet();
                });
                Rig.sleep(20);
            }
        });
        Rig.sleep(12_000);
        if (rig.trouble) {
            rig.note("upstream s-13 vanishes");
            vanishing.vanish();
            Rig.sleep(NEW_AFTER_MS);
            upstream(rig, "s-14", 1, vanishing.address);
            long since = System.currentTimeMillis();
            rig.note("upstream s-14 starts at the address of s-13");
            Rig.sleep(LISTED_AFTER_MS);
            discovery.tell(Map.of("s-14", Rig.endpoint("s-14", vanishing.address, "room-a", 1, "in_service", since)));
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
        if (!balancer.alive() || RUNS.size() < 400) {
            return Rig.COULD_NOT_RUN;
        }
        return twice > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static void call(Rig rig, Rig.Balancer balancer, String key) {
        String id = Rig.newId();
        rig.note("call id=" + id + " key=" + key);
        try (Rig.Client client = new Rig.Client(balancer.address)) {
            client.send(Rig.request("/bundle-buy/x", id, 3_300, "Idempotency-Key: " + key + "\r\n", new byte[20]));
            rig.note("answer id=" + id + " status=" + client.answer(5_000).status());
        } catch (Exception e) {
            rig.note("no answer id=" + id + " " + e);
        }
    }
}
