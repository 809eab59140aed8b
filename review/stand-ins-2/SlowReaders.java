import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: many clients read long answers at 64 kB a second, without a pause. Upstreams send each answer whole; the rule is that no answer is cut
 * off.
 */
final class SlowReaders {
    private static final int CLIENTS = Integer.getInteger("clients", 100);
    private static final int ANSWER_BYTES = 250_000;
    private static final int PIECE = 3_200;
    private static final int PIECE_MS = 50;
    private static final String SETTINGS = """
            {"az":"a","zones":["a"],"tier":0,"tiers":["api"],"replicasOfMe":1,"step":5.0,"membershipMode":"subscribe",
             "weightSource":"none","billedValueBy":"request",
             "limits":{"connIdle":30000.0,"connectTimeout":120.0,"mayCancel":true,"mostShots":4,"secondCopies":true,
                       "retryAfter":true,"maxRetryAfter":1500.0},
             "rules":{"askWithin":10000.0,"cold":20000.0,"coldShare":0.2,"fallMultiple":2.5,"fall":1000.0},
             "products":[
              {"name":"buscar","semantics":"free","clientTimeout":3000.0,"latencySlo":1200.0,"billedValue":2.0},
              {"name":"importar","semantics":"single_shot","clientTimeout":3000.0,"latencySlo":1200.0,"billedValue":2.0}]}""";

    public static void main(String[] arguments) throws Exception {
        Rig.main(SlowReaders::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        byte[] body = new byte[ANSWER_BYTES];
        for (int i : Rig.range(12)) {
            Rig.Server upstream = rig.upstream(new InetSocketAddress("127.0.0.1", 0), request -> {
                rig.note("ran id=" + request.field("x-correlation-id") + " upstream=s-" + i);
                Rig.sleep(30);
                return Rig.response(200, "", body);
            });
            discovery.put("s-" + i, Rig.endpoint("s-" + i, upstream.address, "a", 1, "in_service", 0));
        }
        Rig.Balancer balancer = rig.start("n1", 1024, discovery.server.address, discovery.entries(), SETTINGS);
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger cut = new AtomicInteger();
        AtomicInteger open = new AtomicInteger();
        for (int i = 0; i < CLIENTS; i++) {
            open.incrementAndGet();
            Rig.thread(() -> {
                for (int n = 0; n < 3; n++) {
                    call(rig, balancer, whole, cut);
                }
                open.decrementAndGet();
            });
            Rig.sleep(25);
        }
        while (open.get() > 0) {
            Rig.sleep(50);
        }
        rig.say("whole=" + whole + " cut=" + cut);
        for (String line : balancer.log().split("\n")) {
            if (line.contains("WARN") || line.contains("ERROR")) {
                rig.note("log " + line);
            }
        }
        if (!balancer.alive() || whole.get() < CLIENTS) {
            return Rig.COULD_NOT_RUN;
        }
        return cut.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static void call(Rig rig, Rig.Balancer balancer, AtomicInteger whole, AtomicInteger cut) {
        String id = Rig.newId();
        int read = 0;
        long begunAt = 0;
        boolean begun = false;
        try (Rig.Client client = new Rig.Client(balancer.address, 16 << 10)) {
            client.send(Rig.request("/buscar/x", id, 2_900, "", null));
            rig.note("sent id=" + id);
            client.socket.setSoTimeout(10_000);
            Rig.Message head = Rig.Message.readHead(client.in());
            if (head.status() != 200) {
                rig.note("answer id=" + id + " status=" + head.status());
                return;
            }
            begun = true;
            begunAt = rig.ms();
            int length = Integer.parseInt(head.field("content-length"));
            InputStream in = client.in();
            while (read < length) {
                // As fast as the case lets it without its trouble; else 64 kB a second, counted from the first byte.
                read += Rig.Message.readFully(in, Math.min(PIECE, length - read)).length;
                if (rig.trouble) {
                    Rig.sleep(begunAt + (long) read / PIECE * PIECE_MS - rig.ms());
                }
            }
            whole.incrementAndGet();
            rig.note("whole id=" + id + " after_ms=" + (rig.ms() - begunAt));
        } catch (Exception e) {
            if (begun) {
                cut.incrementAndGet();
                rig.note("CUT id=" + id + " bytes=" + read + " after_ms=" + (rig.ms() - begunAt) + " " + e);
            } else {
                rig.note("no answer id=" + id + " " + e);
            }
        }
    }
}
