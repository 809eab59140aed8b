import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

/**
 * Clients send bodies of 72,000 bytes of a product that must not run twice. With the disruption they write them at 64 kB a second in small
 * pieces, else at once. Upstreams turn some of the requests away, as their queues are full. Each request that an upstream has whole must have the body that
 * its client sent.
 */
final class BodyCase {
    private static final int UPSTREAMS = 12;
    private static final int BODY_BYTES = 72_000;
    private static final int PIECE_BYTES = 64;
    private static final double BYTES_PER_SECOND = 64_000;
    private static final int BODIES = 800;
    private static final long BODY_EVERY_MILLIS = 80;
    private static final int CALLERS = 2;
    /** The share of bodies for which an upstream has no place, as the work of other balancers has taken all. */
    private static final double SHARE_TURNED_AWAY = 0.5;

    private final Rig rig;
    private final Map<String, byte[]> sent = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
    private final AtomicInteger ran = new AtomicInteger();
    private final AtomicInteger wrong = new AtomicInteger();
    private final AtomicInteger turnedAway = new AtomicInteger();
    private final AtomicBoolean stop = new AtomicBoolean();

    private BodyCase(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new BodyCase(rig).play());
    }

    private boolean play() throws Exception {
        List<Rig.Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            Rig.Upstream upstream = rig.new Upstream("s-" + i, Site.ZONES.get(i % Site.ZONES.size()), 512, null);
            Rig.thread(() -> accept(upstream));
            upstreams.add(upstream);
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
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            Rig.thread(() -> ordinaryCalls(port, number));
        }
        Rig.sleep(2_000);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < BODIES; i++) {
            String id = "body" + i;
            byte[] body = new byte[BODY_BYTES];
            new Random(i).nextBytes(body);
            sent.put(id, body);
            clients.add(Rig.thread(() -> send(port, id, body)));
            Rig.sleep(BODY_EVERY_MILLIS);
        }
        for (Thread client : clients) {
            client.join();
        }
        stop.set(true);
        Rig.sleep(500);
        rig.noteAndPrint(
                "bodies sent %d, answers %s, turned away by upstreams %d, run %d, of these with another body %d",
                BODIES, answers, turnedAway.get(), ran.get(), wrong.get());
        if (ran.get() < BODIES / 4) {
            throw new IOException("too few bodies were run");
        }
        return wrong.get() == 0;
    }

    private void ordinaryCalls(int port, int number) {
        Rig.Caller caller = rig.new Caller(port, 3_000);
        for (int i = 0; !stop.get(); i++) {
            caller.call("GET", "/buscar/x", "call" + number + "-" + i, "", new byte[0], 550);
            Rig.sleep(ThreadLocalRandom.current().nextInt(150));
        }
    }

    /** Sends one body, chunked, and reads the answer; it stops sending when the answer comes early. */
    private void send(int port, String id, byte[] body) {
        String outcome;
        try (Rig.Client client = new Rig.Client(port, 8_000)) {
            client.send(
                    "POST /importar/x HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: " + id
                            + "\r\nX-Time-Left: 3000m\r\nTransfer-Encoding: chunked\r\n\r\n",
                    new byte[0]);
            int piece = rig.trouble ? PIECE_BYTES : BODY_BYTES;
            long startedAt = System.nanoTime();
            int offset = 0;
            while (offset < body.length && client.in.available() == 0) {
                int count = Math.min(piece, body.length - offset);
                client.send(Integer.toHexString(count) + "\r\n", join(Arrays.copyOfRange(body, offset, offset + count)));
                offset += count;
                long due = startedAt + (long) (offset / BYTES_PER_SECOND * 1e9);
                if (rig.trouble && due > System.nanoTime()) {
                    LockSupport.parkNanos(due - System.nanoTime());
                }
            }
            if (offset == body.length) {
                client.send("0\r\n\r\n", new byte[0]);
            }
            Rig.Message answer = Rig.read(client.in, false);
            outcome = answer == null ? "closed" : Integer.toString(answer.status);
        } catch (IOException e) {
            outcome = e.toString();
        }
        rig.note("client id=%s answer=%s", id, outcome);
        answers.computeIfAbsent(outcome, key -> new AtomicInteger()).incrementAndGet();
    }

    private static byte[] join(byte[] data) {
        byte[] chunk = Arrays.copyOf(data, data.length + 2);
        chunk[data.length] = '\r';
        chunk[data.length + 1] = '\n';
        return chunk;
    }

    private void accept(Rig.Upstream upstream) {
        while (!upstream.listener.isClosed()) {
            try {
                Socket connection = upstream.listener.accept();
                upstream.connections.add(connection);
                Rig.thread(() -> serve(upstream, connection));
            } catch (IOException e) {
                Rig.sleep(1);
            }
        }
    }

    /** Serves one connection. A request for which there is no place is turned away when its head has come. */
    private void serve(Rig.Upstream upstream, Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (Rig.Message request = Rig.readHead(in, true); request != null; request = Rig.readHead(in, true)) {
                if (request.start[0].equals("GET")) {
                    Rig.sleep(20 + ThreadLocalRandom.current().nextInt(40));
                    Rig.answer(out, 200, "", "found\n".getBytes(StandardCharsets.US_ASCII));
                } else if (ThreadLocalRandom.current().nextDouble() < SHARE_TURNED_AWAY) {
                    turnedAway.incrementAndGet();
                    rig.note("upstream name=%s id=%s event=turned_away", upstream.name, request.field("x-correlation-id"));
                    Rig.answer(out, 503, "X-Unprocessed: 1\r\nConnection: close\r\n", new byte[0]);
                    while (in.read() >= 0) {} // Reads on, so that the answer is not lost by a reset.
                    return;
                } else {
                    run(upstream, request, in, out);
                }
            }
        } catch (IOException e) {
            rig.note("upstream name=%s event=connection_ended reason=\"%s\"", upstream.name, e.getMessage());
        }
    }

    private void run(Rig.Upstream upstream, Rig.Message request, InputStream in, OutputStream out) throws IOException {
        String id = request.field("x-correlation-id");
        rig.note("upstream name=%s id=%s event=begun", upstream.name, id);
        Rig.readBody(in, request, true);
        byte[] expected = sent.get(id);
        boolean unchanged = Arrays.equals(expected, request.body);
        ran.incrementAndGet();
        rig.note(
                "upstream name=%s id=%s event=run bytes=%d unchanged=%s",
                upstream.name, id, request.body.length, unchanged);
        if (!unchanged) {
            wrong.incrementAndGet();
            System.out.println("upstream " + upstream.name + " ran " + id + " with " + request.body.length + " bytes of "
                    + expected.length);
        }
        Rig.answer(out, 200, "", "done\n".getBytes(StandardCharsets.US_ASCII));
    }
}
