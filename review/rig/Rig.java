import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What the cases share: it starts balancers with the command {@code run} of the deploy file, and stands in for clients, upstreams and
 * discovery on loopback addresses and the real clock. Each case is a program that uses it.
 */
final class Rig implements AutoCloseable {
    static final String LOOPBACK = "127.0.0.1";
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final long LONGEST_RUN_MILLIS = 115_000;

    /** One case. */
    interface Case {
        /** Plays the case and returns whether the rule was kept. */
        boolean play(Rig rig) throws Exception;
    }

    final Path root;
    final Path folder;
    final Path temporary;
    final boolean trouble;
    final long startedAt = System.nanoTime();
    final PrintWriter record;
    private final List<AutoCloseable> opened = new CopyOnWriteArrayList<>();
    private final Thread cleanUp = new Thread(this::endAll);

    /** @param folder the folder of the case, to which record.txt is written */
    Rig(Path root, Path folder) throws IOException {
        this.root = root;
        this.folder = folder;
        trouble = !"0".equals(System.getenv("TROUBLE"));
        temporary = Files.createTempDirectory("review");
        Thread watchdog = thread(() -> {
            sleep(LONGEST_RUN_MILLIS);
            System.err.println("the case takes too long");
            System.exit(COULD_NOT_RUN);
        });
        watchdog.setName("watchdog");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        Runtime.getRuntime().addShutdownHook(cleanUp);
        note("trouble=%s", trouble);
    }

    /** Plays a case with the arguments of its program, the project's root and the folder of the case, and ends with its exit code. */
    static void main(String[] arguments, Case played) {
        int code = COULD_NOT_RUN;
        try (Rig rig = new Rig(Path.of(arguments[0]), Path.of(arguments[1]))) {
            code = played.play(rig) ? HELD : BROKEN;
            rig.noteAndPrint("%s", code == HELD ? "the rule was kept" : "THE RULE WAS BROKEN");
        } catch (Throwable e) { // Also of an error: its exit code must not be that of a broken rule.
            e.printStackTrace();
            code = COULD_NOT_RUN;
        }
        System.exit(code);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    /** Writes a line to record.txt, with the time since the start in seconds. */
    void note(String format, Object... values) {
        String line = String.format(Locale.ROOT, format, values);
        synchronized (this) {
            record.printf(Locale.ROOT, "%9.4f %s%n", seconds(), line);
            record.flush();
        }
    }

    void noteAndPrint(String format, Object... values) {
        note(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(null, task, "rig", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            return socket.getLocalPort();
        }
    }

    private void endAll() {
        for (int i = opened.size() - 1; i >= 0; i--) {
            try {
                opened.get(i).close();
            } catch (Exception e) {
                // The next one is closed all the same.
            }
        }
        record.flush();
        try (var files = Files.walk(temporary)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // A file that is left in the temporary folder does no harm.
        }
    }

    @Override
    public void close() {
        endAll();
        opened.clear();
        record.close();
    }

    // Balancers.

    /** Returns the command {@code run} of the deploy file. */
    String runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring("run = \"".length(), line.lastIndexOf('"')).replace("\\\"", "\"");
            }
        }
        throw new IOException("the deploy file has no run");
    }

    /** One process of a balancer. */
    final class Balancer implements AutoCloseable {
        final String name;
        final int port;
        final int mgmt;
        final Path config;
        final Path log;
        final Process process;

        Balancer(String name, int port, int mgmt, Path tmp, String configuration) throws IOException {
            this.name = name;
            this.port = port;
            this.mgmt = mgmt;
            config = temporary.resolve(name + ".json");
            log = folder.resolve(name + ".log");
            Files.writeString(config, configuration);
            Files.createDirectories(tmp);
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand()).directory(root.toFile());
            builder.environment().keySet().removeIf(key -> key.startsWith("ROUTER_"));
            builder.environment().put("ROUTER_CONFIG", config.toString());
            builder.environment().put("TMPDIR", tmp.toString());
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            process = builder.start();
            opened.add(this);
            note("process name=%s pid=%d event=started", name, process.pid());
            process.onExit().thenAccept(ended -> note("process name=%s event=ended code=%d", name, ended.exitValue()));
        }

        void signal(String signal) throws IOException {
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            note("process name=%s event=signal signal=%s", name, signal);
        }

        /** Waits until the balancer is ready for clients; throws if it is not within 30 s. */
        void awaitReady() throws IOException {
            long until = System.nanoTime() + 30_000_000_000L;
            while (System.nanoTime() < until && process.isAlive()) {
                try (Client client = new Client(port, 1000)) {
                    if (client.exchange("GET /_health HTTP/1.1\r\nHost: b\r\n\r\n", new byte[0]).status == 200) {
                        note("process name=%s event=ready", name);
                        return;
                    }
                } catch (IOException e) {
                    // Not yet.
                }
                sleep(50);
            }
            throw new IOException(name + " is not ready");
        }

        @Override
        public void close() throws IOException {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    // Clients.

    /** A parsed HTTP message. */
    static final class Message {
        String[] start = {"", "", ""};
        int status;
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String text() {
            return new String(body, StandardCharsets.UTF_8).strip();
        }

        String field(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** Reads one message; null at the end of the stream before its first byte. Throws if it ends early. */
    static Message read(InputStream in, boolean request) throws IOException {
        Message message = readHead(in, request);
        if (message != null) {
            readBody(in, message, request);
        }
        return message;
    }

    static Message readHead(InputStream in, boolean request) throws IOException {
        Message message = new Message();
        String line = line(in);
        while (line != null && line.isEmpty()) {
            line = line(in);
        }
        if (line == null) {
            return null;
        }
        message.start = line.split(" ", 3);
        message.status = request ? 0 : Integer.parseInt(message.start[1]);
        while (true) {
            line = line(in);
            if (line == null) {
                throw new IOException("the head ends early");
            }
            if (line.isEmpty()) {
                return message;
            }
            int colon = line.indexOf(':');
            message.fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
    }

    static void readBody(InputStream in, Message message, boolean request) throws IOException {
        if ("chunked".equalsIgnoreCase(message.field("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String line = line(in);
                if (line == null) {
                    throw new IOException("a chunk ends early");
                }
                int size = Integer.parseInt(line.strip(), 16);
                body.writeBytes(exactly(in, size));
                line(in);
                if (size == 0) {
                    message.body = body.toByteArray();
                    return;
                }
            }
        }
        String length = message.field("content-length");
        message.body = length == null ? new byte[0] : exactly(in, Integer.parseInt(length));
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new IOException("the body ends early");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            line.write(next);
        }
        if (line.size() > 0) {
            throw new IOException("a line ends early");
        }
        return null;
    }

    /** A client's connection, which carries one request at a time. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Client(int port, int timeoutMillis) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            in = new BufferedInputStream(socket.getInputStream(), 4 << 10);
            out = socket.getOutputStream();
        }

        void send(String head, byte[] body) throws IOException {
            byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] bytes = java.util.Arrays.copyOf(headBytes, headBytes.length + body.length);
            System.arraycopy(body, 0, bytes, headBytes.length, body.length);
            out.write(bytes);
            out.flush();
        }

        Message exchange(String head, byte[] body) throws IOException {
            send(head, body);
            Message answer = read(in, false);
            if (answer == null) {
                throw new IOException("closed with no answer");
            }
            return answer;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Calls an operator's address and returns the answer. */
    Message operator(int mgmt, String method, String target) throws IOException {
        try (Client client = new Client(mgmt, 3000)) {
            Message answer =
                    client.exchange(method + " " + target + " HTTP/1.1\r\nHost: m\r\nContent-Length: 0\r\n\r\n", new byte[0]);
            note("operator mgmt=%d call=\"%s %s\" status=%d answer=\"%s\"", mgmt, method, target, answer.status, answer.text());
            return answer;
        }
    }

    /**
     * A usual client: it keeps its connection, sends one call at a time, and waits for each answer as long as it says. If its connection
     * ends between two calls just as it sends one, it sends that once more on a new connection, as the protocol page says.
     */
    final class Caller {
        final int port;
        final long waitMillis;
        private Client client;

        Caller(int port, long waitMillis) {
            this.port = port;
            this.waitMillis = waitMillis;
        }

        /** Sends a call; returns its answer, or null if there was none within the time that it waits and {@code graceMillis}. */
        Message call(String method, String path, String id, String fields, byte[] body, long graceMillis) {
            long sentAt = System.nanoTime();
            String head = method + " " + path + " HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: " + id
                    + "\r\nX-Time-Left: " + waitMillis + "m\r\n" + fields
                    + (method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
            for (boolean again = false; ; again = true) {
                boolean kept = client != null;
                try {
                    if (client == null) {
                        client = new Client(port, 1000);
                    }
                    long left = waitMillis + graceMillis - (System.nanoTime() - sentAt) / 1_000_000;
                    client.socket.setSoTimeout((int) Math.max(1, left));
                    Message answer = client.exchange(head, body);
                    if ("close".equalsIgnoreCase(answer.field("connection"))) {
                        end();
                    }
                    return answer;
                } catch (java.net.SocketTimeoutException e) {
                    note("call id=%s event=no_answer kept_connection=%s after_ms=%d", id, kept,
                            (System.nanoTime() - sentAt) / 1_000_000);
                    end();
                    return null;
                } catch (IOException e) {
                    end();
                    if (!kept || again) {
                        note("call id=%s event=no_answer reason=\"%s\"", id, e.getMessage());
                        return null;
                    }
                    note("call id=%s event=sent_once_more reason=\"%s\"", id, e.getMessage());
                }
            }
        }

        void end() {
            if (client != null) {
                try {
                    client.close();
                } catch (IOException e) {
                    // It is closed already.
                }
                client = null;
            }
        }
    }

    // Upstreams.

    /** Answers the requests of one upstream. */
    interface Service {
        /** Handles a request; the connection is closed if this throws, or returns false. */
        boolean handle(Message request, Socket connection, OutputStream out) throws IOException, InterruptedException;
    }

    static void answer(OutputStream out, int status, String fields, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n" + fields + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(body);
        out.write(bytes.toByteArray());
        out.flush();
    }

    /** An upstream on a port of its own. */
    final class Upstream implements AutoCloseable {
        final String name;
        final String zone;
        final ServerSocket listener;
        volatile Service service;
        volatile String status = "in_service";
        volatile long sinceMs;
        final List<Socket> connections = new CopyOnWriteArrayList<>();

        Upstream(String name, String zone, Service service) throws IOException {
            this(name, zone, 512, service);
            thread(this::accept);
        }

        /** Creates an upstream that accepts nothing before {@link #accept} is called. */
        Upstream(String name, String zone, int backlog, Service service) throws IOException {
            this.name = name;
            this.zone = zone;
            this.service = service;
            listener = new ServerSocket(0, backlog, InetAddress.getByName(LOOPBACK));
            opened.add(this);
        }

        int port() {
            return listener.getLocalPort();
        }

        void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket connection = listener.accept();
                    connections.add(connection);
                    thread(() -> serve(connection));
                } catch (IOException e) {
                    sleep(1);
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                connection.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(connection.getInputStream(), 4 << 10);
                OutputStream out = connection.getOutputStream();
                while (true) {
                    Message request = read(in, true);
                    if (request == null || !service.handle(request, connection, out)) {
                        return;
                    }
                }
            } catch (IOException | InterruptedException | RuntimeException e) {
                // The connection ends.
            } finally {
                connections.remove(connection);
            }
        }

        String entry() {
            return String.format(
                    Locale.ROOT,
                    "{\"name\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"type\":\"m2\",\"group\":1,\"status\":\"%s\","
                            + "\"weight\":1.0,\"since_ms\":%d}",
                    name, LOOPBACK, port(), zone, status, sinceMs);
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket connection : connections) {
                connection.close();
            }
        }
    }

    static String list(long index, boolean whole, List<Upstream> upstreams) {
        List<String> entries = new ArrayList<>();
        upstreams.forEach(upstream -> entries.add(upstream.entry()));
        return "{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":[" + String.join(",", entries) + "]}";
    }

    // Discovery.

    /** Discovery at one address: answers each watch with the whole list after a delay, then tells changes, with a heartbeat every 2 s. */
    final class Discovery implements AutoCloseable {
        final String name;
        final List<Upstream> upstreams;
        final AtomicLong index;
        final ServerSocket listener;
        /** The time from the request for a watch to the first line of its answer. */
        volatile long answerDelayMillis;
        final Map<Socket, OutputStream> watches = new ConcurrentHashMap<>();
        final AtomicInteger calls = new AtomicInteger();
        final AtomicInteger answers = new AtomicInteger();
        private final List<Socket> connections = new CopyOnWriteArrayList<>();

        Discovery(String name, List<Upstream> upstreams, AtomicLong index) throws IOException {
            this.name = name;
            this.upstreams = upstreams;
            this.index = index;
            listener = new ServerSocket(0, 512, InetAddress.getByName(LOOPBACK));
            opened.add(this);
            thread(this::accept);
            thread(this::heartbeats);
        }

        String address() {
            return LOOPBACK + ":" + listener.getLocalPort();
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket connection = listener.accept();
                    connections.add(connection);
                    thread(() -> serve(connection));
                } catch (IOException e) {
                    sleep(1);
                }
            }
        }

        private void serve(Socket connection) {
            int call = calls.incrementAndGet();
            try {
                connection.setTcpNoDelay(true);
                Message request = read(new BufferedInputStream(connection.getInputStream()), true);
                if (request == null) {
                    return;
                }
                note("discovery name=%s call=%d event=asked target=%s", name, call, request.start[1]);
                thread(() -> awaitEnd(connection, call));
                sleep(answerDelayMillis);
                synchronized (this) {
                    OutputStream out = connection.getOutputStream();
                    out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
                    line(out, list(index.get(), true, upstreams));
                    watches.put(connection, out);
                }
                answers.incrementAndGet();
                note("discovery name=%s call=%d event=answered", name, call);
            } catch (IOException e) {
                note("discovery name=%s call=%d event=answer_failed reason=\"%s\"", name, call, e.getMessage());
            }
        }

        private void awaitEnd(Socket connection, int call) {
            try {
                while (connection.getInputStream().read() >= 0) {}
                note("discovery name=%s call=%d event=closed_by_balancer", name, call);
            } catch (IOException e) {
                note("discovery name=%s call=%d event=ended reason=\"%s\"", name, call, e.getMessage());
            }
            watches.remove(connection);
            connections.remove(connection);
            try {
                connection.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }

        private static void line(OutputStream out, String text) throws IOException {
            byte[] bytes = (text + "\n").getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream chunk = new ByteArrayOutputStream();
            chunk.writeBytes((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            chunk.writeBytes(bytes);
            chunk.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.write(chunk.toByteArray());
            out.flush();
        }

        private void heartbeats() {
            while (!listener.isClosed()) {
                sleep(2000);
                tell("");
            }
        }

        synchronized void tell(String text) {
            watches.forEach((connection, out) -> {
                try {
                    line(out, text);
                } catch (IOException e) {
                    watches.remove(connection);
                }
            });
        }

        /** Tells a change of one upstream; the index must have been raised. */
        void tellChange(Upstream upstream) {
            tell(list(index.get(), false, List.of(upstream)));
        }

        /** Stops listening; open connections stay. */
        void stopListening() throws IOException {
            listener.close();
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket connection : connections) {
                connection.close();
            }
        }
    }
}
