import java.io.EOFException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case: some bad clients connect by hundreds and say nothing, a few send half of a request; all come again as soon as they are turned away.
 * Usual clients open a connection and send a request meanwhile; the rule is that each gets its answer in time or half a second later.
 */
final class PlacesHeld {
    private static final int SILENT = 300;
    private static final int HALF = 12;
    private static final int PATIENCE_MS = 1_500;
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
        Rig.main(PlacesHeld::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        for (int i : Rig.range(8)) {
            Rig.Server upstream = rig.upstream(new InetSocketAddress("127.0.0.1", 0), request -> {
                rig.note("ran id=" + request.field("x-correlation-id") + " upstream=s-" + i);
                Rig.sleep(100);
                return Rig.response(200, "", "done".getBytes(StandardCharsets.US_ASCII));
            });
            discovery.put("s-" + i, Rig.endpoint("s-" + i, upstream.address, "a", 1, "in_service", 0));
        }
        Rig.Balancer balancer = rig.start("n1", 256, discovery.server.address, discovery.entries(), SETTINGS);
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger open = new AtomicInteger();
        for (int i = 0; i < 20; i++) {
            call(rig, balancer, answered, lost);
        }
        long troubleEndsAt = rig.ms() + 12_000;
        if (rig.trouble) {
            for (int i = 0; i < HALF; i++) {
                Rig.thread(() -> bad(rig, balancer, troubleEndsAt, true));
            }
            Rig.sleep(100);
            for (int i = 0; i < SILENT; i++) {
                Rig.thread(() -> bad(rig, balancer, troubleEndsAt, false));
            }
        }
        while (rig.ms() < troubleEndsAt - 1_000) {
            open.incrementAndGet();
            Rig.thread(() -> {
                call(rig, balancer, answered, lost);
                open.decrementAndGet();
            });
            Rig.sleep(100);
        }
        while (open.get() > 0) {
            Rig.sleep(50);
        }
        rig.say("answered=" + answered + " lost=" + lost);
        if (!balancer.alive() || answered.get() < 20) {
            return Rig.COULD_NOT_RUN;
        }
        return lost.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** One bad client: connects, says nothing or half of a head, waits to be turned away, and comes again. */
    private static void bad(Rig rig, Rig.Balancer balancer, long until, boolean half) {
        while (rig.ms() < until) {
            try (Rig.Client client = new Rig.Client(balancer.address)) {
                if (half) {
                    client.send("GET /buscar/x HTTP/1.1\r\nHost: ser".getBytes(StandardCharsets.US_ASCII));
                }
                client.answer(until - rig.ms());
            } catch (Exception e) {
                // Turned away without an answer.
            }
        }
    }

    /** One call on a new connection. If the connection is closed unread, the request is sent once more on a new one. */
    private static void call(Rig rig, Rig.Balancer balancer, AtomicInteger answered, AtomicInteger lost) {
        String id = Rig.newId();
        long sentAt = rig.ms();
        for (int tries = 0; tries < 2; tries++) {
            try (Rig.Client client = new Rig.Client(balancer.address)) {
                sentAt = rig.ms();
                client.send(Rig.request("/buscar/x", id, PATIENCE_MS, "", null));
                rig.note("sent id=" + id);
                Rig.Message answer = client.answer(PATIENCE_MS + 600);
                rig.note("answer id=" + id + " status=" + answer.status() + " after_ms=" + (rig.ms() - sentAt));
                answered.incrementAndGet();
                return;
            } catch (SocketTimeoutException e) {
                rig.note("LOST id=" + id + " no answer after_ms=" + (rig.ms() - sentAt));
                lost.incrementAndGet();
                return;
            } catch (EOFException | java.net.SocketException e) {
                rig.note("closed unread id=" + id + " after_ms=" + (rig.ms() - sentAt));
            } catch (Exception e) {
                rig.note("failed id=" + id + " " + e);
                return;
            }
        }
    }
}
