import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Case: now and then an upstream sends an answer a second time, some milliseconds behind the first, when nothing else waits on the connection.
 * Each way takes 4 ms. The rule is that a client gets no answer but the one made for its request.
 */
final class SecondAnswer {
    private static final long WAY_NANOS = 4_000_000;
    private static final int LATE_MS = Integer.parseInt(System.getenv().getOrDefault("LATE_MS", "12"));
    private static final int CLIENTS = 40;
    private static final long QUIET_MS = 10_500;
    private static final int PER_BURST = 8;
    private static final long CALLS_MS = 85_000;
    private static final String SETTINGS = """
            {"az":"xela","zones":["xela","mixco"],"tier":0,"tiers":["api"],"replicasOfMe":1,"step":5.0,"membershipMode":"subscribe",
             "weightSource":"none","billedValueBy":"work",
             "limits":{"connIdle":30000.0,"connectTimeout":120.0,"mayCancel":true,"mostShots":4,"secondCopies":true,
                       "retryAfter":true,"maxRetryAfter":1500.0},
             "rules":{"askWithin":10000.0,"cold":22000.0,"coldShare":0.14,"fallMultiple":2.5,"fall":1000.0,"drainGrace":2000.0},
             "products":[
              {"name":"buscar","semantics":"free","clientTimeout":3000.0,"latencySlo":1200.0,"billedValue":2.0}]}""";

    private static final AtomicInteger LEFT = new AtomicInteger();
    private static final AtomicInteger SECOND = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        Rig.main(SecondAnswer::run);
    }

    private record Piece(byte[] bytes, long at) {}

    /** Passes bytes on, each 4 ms after it came. */
    private static void way(InputStream in, Socket to) {
        LinkedBlockingQueue<Piece> queue = new LinkedBlockingQueue<>();
        Rig.thread(() -> {
            try (to) {
                OutputStream out = to.getOutputStream();
                for (Piece piece = queue.take(); piece.bytes != null; piece = queue.take()) {
                    long left = piece.at - System.nanoTime();
                    if (left > 0) {
                        java.util.concurrent.locks.LockSupport.parkNanos(left);
                    }
                    out.write(piece.bytes);
                }
            } catch (IOException | InterruptedException e) {
                // Closed.
            }
        });
        byte[] buffer = new byte[16 << 10];
        try {
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                queue.add(new Piece(java.util.Arrays.copyOf(buffer, count), System.nanoTime() + WAY_NANOS));
            }
        } catch (IOException e) {
            // Closed.
        }
        queue.add(new Piece(null, 0));
    }

    private static Rig.Server link(Rig rig, InetSocketAddress upstream) throws IOException {
        return rig.server(from -> {
            Socket to = new Socket();
            to.setTcpNoDelay(true);
            to.connect(upstream);
            Rig.thread(() -> {
                try {
                    way(to.getInputStream(), from);
                } catch (IOException e) {
                    // Closed.
                }
            });
            way(from.getInputStream(), to);
        });
    }

    private static void serve(Rig rig, String name, Socket socket) throws Exception {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        while (true) {
            String id = Rig.Message.read(in, true).field("x-correlation-id");
            Rig.sleep(ThreadLocalRandom.current().nextInt(10, 60));
            byte[] answer = Rig.response(200, "", ("answer to " + id).getBytes(StandardCharsets.US_ASCII));
            out.write(answer);
            if (LEFT.get() > 0 && LEFT.getAndDecrement() > 0) {
                Rig.sleep(LATE_MS);
                if (in.available() == 0) {
                    SECOND.incrementAndGet();
                    out.write(answer);
                    rig.note("second answer id=" + id + " upstream=" + name + " late_ms=" + LATE_MS);
                }
            }
        }
    }

    private static int run(Rig rig) throws Exception {
        Rig.Discovery discovery = rig.new Discovery();
        for (int i : Rig.range(3)) {
            String name = "s-" + i;
            Rig.Server upstream = rig.server(socket -> serve(rig, name, socket));
            discovery.put(
                    name, Rig.endpoint(name, link(rig, upstream.address).address, "xela", 1, "in_service", 0));
        }
        Rig.Balancer balancer = rig.start("n1", 1024, discovery.server.address, discovery.entries(), SETTINGS);
        long until = rig.ms() + CALLS_MS;
        AtomicInteger live = new AtomicInteger();
        AtomicInteger calls = new AtomicInteger();
        AtomicInteger foreign = new AtomicInteger();
        for (int i = 0; i < CLIENTS; i++) {
            live.incrementAndGet();
            Rig.thread(() -> {
                while (rig.ms() < until && foreign.get() == 0) {
                    client(rig, balancer, until, calls, foreign);
                }
                live.decrementAndGet();
            });
        }
        AtomicLong bursts = new AtomicLong();
        while (live.get() > 0) {
            Rig.sleep(50);
            if (rig.trouble && rig.ms() < until - 1_000 && rig.ms() > (bursts.get() + 1) * QUIET_MS) {
                bursts.incrementAndGet();
                LEFT.set(PER_BURST);
            }
        }
        rig.say("calls=" + calls + " second_answers=" + SECOND + " foreign=" + foreign);
        if (!balancer.alive() || calls.get() < 1_000 || (rig.trouble && SECOND.get() == 0)) {
            return Rig.COULD_NOT_RUN;
        }
        return foreign.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static void client(Rig rig, Rig.Balancer balancer, long until, AtomicInteger calls, AtomicInteger foreign) {
        try (Rig.Client client = new Rig.Client(balancer.address)) {
            while (rig.ms() < until && foreign.get() == 0) {
                String id = Rig.newId();
                client.send(Rig.request("/buscar/x", id, 2_500, "", null));
                Rig.Message answer = client.answer(4_000);
                String body = new String(answer.body(), StandardCharsets.US_ASCII);
                calls.incrementAndGet();
                if (answer.status() == 200 && !body.equals("answer to " + id)) {
                    foreign.incrementAndGet();
                    rig.say("FOREIGN answer id=" + id + " body=\"" + body + "\"");
                } else {
                    rig.note("answer id=" + id + " status=" + answer.status());
                }
                if (answer.field("connection").equalsIgnoreCase("close")) {
                    return;
                }
                Rig.sleep(ThreadLocalRandom.current().nextInt(10, 120));
            }
        } catch (Exception e) {
            rig.note("client " + e);
        }
    }
}
