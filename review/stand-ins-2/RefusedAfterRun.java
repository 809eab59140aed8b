import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: many clients send large bodies to upstreams that read slowly. A non-idempotent call with a body of some hundred KB, whose upstream
 * pauses and then reads it to its end, ends meanwhile. The rule is that it is not refused (429, 503) once its last byte has reached an upstream.
 */
final class RefusedAfterRun {
    private static final int SUBJECTS = 32;
    private static final int BULK = 160;
    private static final int BULK_BYTES = 32_000_000;
    private static final int SLOW = 40;
    private static final String SETTINGS = """
            {"az":"a","zones":["a"],"tier":0,"tiers":["api"],"replicasOfMe":1,"step":5.0,"membershipMode":"subscribe",
             "weightSource":"none","billedValueBy":"request",
             "limits":{"connIdle":30000.0,"connectTimeout":120.0,"mayCancel":true,"mostShots":4,"secondCopies":true,
                       "retryAfter":true,"maxRetryAfter":1500.0},
             "rules":{"askWithin":10000.0,"cold":20000.0,"coldShare":0.2,"fallMultiple":2.5,"fall":1000.0},
             "products":[
              {"name":"publicar","semantics":"guarded","keyScope":"zone","repeatWindow":6000.0,"clientTimeout":3000.0,
               "latencySlo":1500.0,"billedValue":3.0},
              {"name":"importar","semantics":"single_shot","clientTimeout":3000.0,"latencySlo":1200.0,"billedValue":2.0}]}""";

    private static final int ROUNDS = 4;
    private static volatile CountDownLatch go;
    private static final Map<String, Integer> RUNS = new ConcurrentHashMap<>();
    private static final AtomicInteger REACHED = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Rig.main(RefusedAfterRun::run);
    }

    /** An upstream: reads bulk bodies at 64 kB a second, pauses before the subject's body, takes 2.3 s for a slow call. */
    private static void serve(Rig rig, String name, Socket socket) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 10);
        while (true) {
            Rig.Message head = Rig.Message.readHead(in);
            String id = head.field("x-correlation-id");
            String kind = head.path().split("/")[2];
            int length = Integer.parseInt(head.field("content-length"));
            if (kind.equals("bulk")) {
                byte[] piece = new byte[6_400];
                for (int left = length; left > 0; left -= piece.length) {
                    Rig.Message.readFully(in, Math.min(left, piece.length));
                    Rig.sleep(100);
                }
            } else if (kind.equals("probe")) {
                Rig.sleep(350);
                return;
            } else if (kind.equals("subject")) {
                REACHED.incrementAndGet();
                rig.note("upstream " + name + " has the head of id=" + id);
                go.await();
                Rig.Message.readFully(in, length);
                RUNS.merge(id, 1, Integer::sum);
                rig.note("ran id=" + id + " upstream=" + name + " its last byte has come");
            } else {
                Rig.Message.readFully(in, length);
                Rig.sleep(2_300);
            }
            Rig.sleep(50);
            socket.getOutputStream().write(Rig.response(200, "", "done".getBytes(StandardCharsets.US_ASCII)));
        }
    }

    /** Plays up to four rounds, each with a balancer of its own, until the rule is broken. */
    private static int run(Rig rig) throws Exception {
        int code = Rig.HELD;
        for (int round = 1; round <= ROUNDS && code == Rig.HELD; round++) {
            rig.note("round " + round);
            code = round(rig, "n" + round);
        }
        return code;
    }

    private static int round(Rig rig, String name) throws Exception {
        go = new CountDownLatch(1);
        RUNS.clear();
        REACHED.set(0);
        Rig.Discovery discovery = rig.new Discovery();
        for (int i : Rig.range(12)) {
            Rig.Server upstream = rig.server(
                    new InetSocketAddress("127.0.0.1", 0), 16 << 10, socket -> serve(rig, "s-" + i, socket));
            discovery.put("s-" + i, Rig.endpoint("s-" + i, upstream.address, "a", 1, "in_service", 0));
        }
        Rig.Balancer balancer = rig.start(name, 1024, discovery.server.address, discovery.entries(), SETTINGS);
        Rig.sleep(500);
        int paused = bytesUntilPause(rig, balancer);
        AtomicInteger refusedAfterRun = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        Thread[] subjects = new Thread[SUBJECTS];
        for (int i = 0; i < SUBJECTS; i++) {
            int size = paused + 600 * (i - 6);
            subjects[i] = Rig.thread(() -> subject(rig, balancer, size, answered, refusedAfterRun));
        }
        Rig.sleep(200);
        if (rig.trouble) {
            for (int i = 0; i < SLOW; i++) {
                Rig.thread(() -> post(rig, balancer, "slow", 63_000));
            }
            Rig.sleep(200);
            for (int i = 0; i < BULK; i++) {
                Rig.thread(() -> post(rig, balancer, "bulk", BULK_BYTES));
            }
        }
        Rig.sleep(1_300);
        rig.note("memory of requests and read ahead: "
                + (balancer.status("requests") + balancer.status("readAhead")));
        rig.note("the upstreams of the subjects read on; reached=" + REACHED);
        go.countDown();
        for (Thread subject : subjects) {
            subject.join();
        }
        for (String line : balancer.log().split("\n")) {
            if (line.contains("WARN") || line.contains("ERROR")) {
                rig.note("log " + line);
            }
        }
        boolean alive = balancer.alive();
        balancer.kill();
        rig.say("subjects answered=" + answered + " ran=" + RUNS.size() + " refused_after_run=" + refusedAfterRun);
        if (!alive || answered.get() < SUBJECTS || (!rig.trouble && RUNS.size() < SUBJECTS)) {
            return Rig.COULD_NOT_RUN;
        }
        return refusedAfterRun.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Returns the size of the smallest body that the balancer does not pass on whole while its upstream reads nothing. */
    private static int bytesUntilPause(Rig rig, Rig.Balancer balancer) throws Exception {
        int low = 70_000;
        int high = 4_000_000;
        while (high - low > 400) {
            int size = (low + high) / 2;
            try (Rig.Client client = new Rig.Client(balancer.address)) {
                Thread sending = Rig.thread(() -> {
                    try {
                        client.send(request("probe", size, Rig.newId()));
                    } catch (Exception e) {
                        // Closed when the answer is known.
                    }
                });
                sending.join(150);
                Rig.sleep(50);
                if (balancer.status("readAhead") > 0) {
                    high = size;
                } else {
                    low = size;
                }
            }
            while (balancer.status("readAhead") > 0) {
                Rig.sleep(20);
            }
        }
        rig.note("a body waits in the balancer from " + high + " bytes on");
        return high;
    }

    private static byte[] request(String kind, int size, String id) {
        String cookie = "Cookie: sid=" + "0123456789abcdef".repeat(270) + "\r\n";
        return Rig.request("/importar/" + kind, id, 2_900, cookie, new byte[size]);
    }

    /** A non-idempotent call with a head of over 4 KiB. */
    private static void subject(Rig rig, Rig.Balancer balancer, int size, AtomicInteger answered, AtomicInteger refusedAfterRun) {
        String id = Rig.newId();
        try (Rig.Client client = new Rig.Client(balancer.address)) {
            rig.note("sent id=" + id + " body=" + size);
            client.send(request("subject", size, id));
            Rig.Message answer = client.answer(6_000);
            answered.incrementAndGet();
            Rig.sleep(1_000);
            boolean refused = answer.status() == 429 || answer.status() == 503;
            rig.note("answer id=" + id + " body=" + size + " status=" + answer.status() + " "
                    + new String(answer.body(), StandardCharsets.US_ASCII).strip() + " ran=" + RUNS.getOrDefault(id, 0));
            if (refused && RUNS.containsKey(id)) {
                rig.say("refused although its last byte had reached an upstream: id=" + id + " status=" + answer.status());
                refusedAfterRun.incrementAndGet();
            }
        } catch (Exception e) {
            rig.note("no answer id=" + id + " " + e);
        }
    }

    /** Another client's call, with its body sent as fast as the balancer takes it. */
    private static void post(Rig rig, Rig.Balancer balancer, String kind, int length) {
        String id = Rig.newId();
        try (Rig.Client client = new Rig.Client(balancer.address)) {
            byte[] piece = new byte[32_000];
            client.send(("POST /publicar/" + kind + " HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: " + id
                            + "\r\nX-Time-Left: 2900m\r\nIdempotency-Key: " + id + id + "\r\nContent-Length: " + length
                            + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
            rig.note("sends " + kind + " id=" + id);
            for (int left = length; left > 0; left -= piece.length) {
                client.socket.getOutputStream().write(piece, 0, Math.min(left, piece.length));
            }
            rig.note("answer " + kind + " id=" + id + " status=" + client.answer(10_000).status());
        } catch (Exception e) {
            rig.note(kind + " id=" + id + " " + e);
        }
    }
}
