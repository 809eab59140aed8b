import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/**
 * Stand-ins and helpers that the cases 6 to 10 share: it starts balancers by the command {@code run} of the deploy file, and offers a
 * discovery, upstreams and clients on loopback addresses. Only the JDK is used. Exit codes of a case: 0 the rule held, 1 it was broken, 2 the
 * case could not run.
 */
final class Rig implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** A body of a case; returns its exit code. */
    interface Case {
        int run(Rig rig) throws Exception;
    }

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final long startedAt = System.nanoTime();
    private final Path root = Path.of(System.getProperty("rig.root")).toAbsolutePath();
    private final Path folder;
    private final PrintWriter record;
    private final List<AutoCloseable> closing = new CopyOnWriteArrayList<>();
    private final Set<Process> processes = ConcurrentHashMap.newKeySet();

    private Rig() throws IOException {
        folder = Files.createTempDirectory("gorsestack-review-");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getProperty("rig.record"))));
    }

    /** Runs a case and ends the JVM with its exit code, after all processes that it started have ended. */
    static void main(Case body) throws IOException {
        Rig rig = new Rig();
        Thread watchdog = new Thread(() -> {
            sleep(115_000);
            rig.note("could not run: the case took over 115 s");
            rig.endAll();
            Runtime.getRuntime().halt(COULD_NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        Thread hook = new Thread(rig::endAll);
        Runtime.getRuntime().addShutdownHook(hook);
        int code;
        try {
            rig.note("begin trouble=" + rig.trouble);
            code = body.run(rig);
        } catch (Throwable e) {
            rig.note("could not run: " + e);
            e.printStackTrace();
            code = COULD_NOT_RUN;
        }
        rig.note("end exit_code=" + code);
        System.out.println(code == HELD ? "held" : code == BROKEN ? "BROKEN" : "could not run");
        rig.endAll();
        rig.record.flush();
        Runtime.getRuntime().halt(code);
    }

    /** Milliseconds since the start of the case. */
    long ms() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    /** Writes one line into record.txt, with the time in milliseconds since the start of the case. */
    void note(String line) {
        synchronized (record) {
            record.println(String.format(Locale.ROOT, "%7d %s", ms(), line));
            record.flush();
        }
    }

    void say(String line) {
        note(line);
        System.out.println(line);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread thread(Runnable body) {
        Thread thread = new Thread(null, body, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Returns a port that was free a moment ago. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    <T extends AutoCloseable> T closeAtEnd(T resource) {
        closing.add(resource);
        return resource;
    }

    private synchronized void endAll() {
        for (Process process : processes) {
            process.descendants().forEach(ProcessHandle::destroyForcibly);
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        for (AutoCloseable resource : closing) {
            try {
                resource.close();
            } catch (Exception e) {
                note("close failed: " + e);
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | RuntimeException e) {
            // A temporary folder that is left does no harm.
        }
    }

    @Override
    public void close() {
        endAll();
    }

    // Balancers.

    /** A balancer, started by the command of the deploy file. */
    final class Balancer {
        final String name;
        final InetSocketAddress address;
        private final InetSocketAddress admin;
        final Path log;
        final Process process;

        private Balancer(
                String name, InetSocketAddress address, InetSocketAddress admin, Path log, Process process) {
            this.name = name;
            this.address = address;
            this.admin = admin;
            this.log = log;
            this.process = process;
        }

        boolean alive() {
            return process.isAlive();
        }

        /** Returns a number of the status document that the balancer gives its operators. */
        long status(String key) throws IOException {
            try (Client client = new Client(admin)) {
                client.send("GET /status HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                String text = new String(client.answer(2_000).body(), StandardCharsets.ISO_8859_1);
                int at = text.indexOf("\"" + key + "\":");
                int end = at + key.length() + 3;
                while (Character.isDigit(text.charAt(end))) {
                    end++;
                }
                return Long.parseLong(text.substring(at + key.length() + 3, end));
            }
        }

        /** Ends the process as SIGKILL does. */
        void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
        }

        String log() throws IOException {
            return Files.readString(log, StandardCharsets.ISO_8859_1);
        }
    }

    /** The value of a key of deploy/balancer.toml. */
    private String deployed(String key) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(key + " = \"")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("deploy/balancer.toml has no " + key);
    }

    /**
     * Starts a balancer and waits until /_health answers 200.
     *
     * @param sockets the limit on descriptors that it is told
     * @param known the entries of its list at the start, in discovery's form
     * @param settings its settings, as JSON
     */
    Balancer start(String name, int sockets, InetSocketAddress discovery, String known, String settings)
            throws Exception {
        InetSocketAddress listen = new InetSocketAddress("127.0.0.1", freePort());
        InetSocketAddress admin = new InetSocketAddress("127.0.0.1", freePort());
        Path own = Files.createDirectories(folder.resolve(name));
        Path temporary = Files.createDirectories(own.resolve("tmp"));
        Path config = own.resolve("config.json");
        Files.writeString(
                config,
                "{\"name\":\"" + name + "\",\"listen\":\"" + text(listen) + "\",\"mgmt\":\"" + text(admin) + "\",\"discovery\":\"" + text(discovery)
                        + "\",\"seed\":\"" + Long.toHexString(System.nanoTime())
                        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
                        + "},\"known\":{\"index\":41,\"snapshot\":true,\"endpoints\":[" + known + "]},\"settings\":"
                        + settings + "}");
        Path log = own.resolve("log.txt");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployed("run"));
        builder.directory(root.toFile());
        builder.environment().put("ROUTER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", temporary.toString());
        for (String variable : List.of("ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_MGMT")) {
            builder.environment().remove(variable);
        }
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Process process = builder.start();
        processes.add(process);
        Balancer balancer = new Balancer(name, listen, admin, log, process);
        long giveUpAt = ms() + 30_000;
        while (!healthy(listen)) {
            if (!process.isAlive() || ms() > giveUpAt) {
                throw new IOException("balancer " + name + " did not become ready: " + balancer.log());
            }
            sleep(50);
        }
        note("balancer " + name + " pid=" + process.pid() + " ready on " + text(listen));
        return balancer;
    }

    private static boolean healthy(InetSocketAddress address) {
        try (Socket socket = new Socket()) {
            socket.connect(address, 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return Message.read(new BufferedInputStream(socket.getInputStream()), false).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** An entry of discovery's list. */
    static String endpoint(String name, InetSocketAddress address, String zone, int group, String status, long sinceMs) {
        return "{\"name\":\"" + name + "\",\"address\":\"" + text(address) + "\",\"zone\":\"" + zone
                + "\",\"type\":\"m2\",\"group\":" + group + ",\"status\":\"" + status
                + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + "}";
    }

    // Messages.

    /** An HTTP/1.1 message that was read whole. */
    record Message(String start, Map<String, String> fields, byte[] body) {
        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String path() {
            return start.split(" ")[1];
        }

        String product() {
            String path = path().substring(1);
            int end = path.indexOf('/');
            return end < 0 ? path : path.substring(0, end);
        }

        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        /** Reads a message; throws EOFException if the stream ends before its end. */
        static Message read(InputStream in, boolean request) throws IOException {
            Message head = readHead(in);
            String length = head.field("content-length");
            byte[] body;
            if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
                body = readChunks(in);
            } else if (!length.isEmpty()) {
                body = readFully(in, Integer.parseInt(length));
            } else {
                body = request ? new byte[0] : in.readAllBytes();
            }
            return new Message(head.start, head.fields, body);
        }

        /** Reads a head alone; its body is left in the stream. */
        static Message readHead(InputStream in) throws IOException {
            String start = readLine(in);
            Map<String, String> fields = new TreeMap<>();
            for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
            }
            return new Message(start, fields, new byte[0]);
        }

        static byte[] readFully(InputStream in, int length) throws IOException {
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new EOFException("the body ended after " + bytes.length + " of " + length + " bytes");
            }
            return bytes;
        }

        private static byte[] readChunks(InputStream in) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
                if (size == 0) {
                    while (!readLine(in).isEmpty()) {}
                    return body.toByteArray();
                }
                body.writeBytes(readFully(in, size));
                readLine(in);
            }
        }

        private static String readLine(InputStream in) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new EOFException("the stream ended");
                }
                line.write(next);
            }
            String text = line.toString(StandardCharsets.ISO_8859_1);
            return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
        }
    }

    static byte[] response(int status, String fields, byte[] body) {
        byte[] head = ("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n" + fields + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] bytes = new byte[head.length + body.length];
        System.arraycopy(head, 0, bytes, 0, head.length);
        System.arraycopy(body, 0, bytes, head.length, body.length);
        return bytes;
    }

    // Servers.

    /** Handles one accepted connection, on a thread of its own, until it returns; the connection is closed then. */
    interface Handler {
        void handle(Socket socket) throws Exception;
    }

    /** A listener of which each connection has a thread. */
    static class Server implements AutoCloseable {
        final InetSocketAddress address;
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private volatile boolean closed;
        private volatile boolean vanished;

        Server(InetSocketAddress address, int receiveBuffer, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            if (receiveBuffer > 0) {
                listener.setReceiveBufferSize(receiveBuffer);
            }
            listener.bind(address, 512);
            this.address = (InetSocketAddress) listener.getLocalSocketAddress();
            thread(this::accept);
        }

        private void accept() {
            while (!closed && !vanished) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    if (closed) {
                        reset(socket);
                    }
                    thread(() -> serve(socket));
                } catch (IOException e) {
                    if (!closed && !vanished) {
                        sleep(5);
                    }
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                handler.handle(socket);
            } catch (Exception e) {
                // The other side has gone, or this server has been closed.
            } finally {
                open.remove(socket);
            }
        }

        boolean isClosed() {
            return closed;
        }

        /** Ends the server as a machine that vanishes does: its connections stay open and silent. */
        void vanish() throws IOException {
            vanished = true;
            listener.close();
        }

        boolean hasVanished() {
            return vanished;
        }

        /** Ends the server as a process that dies does: its connections are reset, new ones are refused. */
        @Override
        public void close() {
            closed = true;
            try {
                listener.close();
            } catch (IOException e) {
                // Closed all the same.
            }
            open.forEach(Server::reset);
        }

        private static void reset(Socket socket) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    Server server(Handler handler) throws IOException {
        return server(new InetSocketAddress("127.0.0.1", 0), 0, handler);
    }

    Server server(InetSocketAddress address, int receiveBuffer, Handler handler) throws IOException {
        return closeAtEnd(new Server(address, receiveBuffer, handler));
    }

    /** Answers one request of an upstream's connection; returns null to close the connection without an answer. */
    interface Upstream {
        byte[] answer(Message request) throws Exception;
    }

    /** An upstream: reads one request after the other from each connection and sends what {@code upstream} returns. */
    Server upstream(InetSocketAddress address, Upstream upstream) throws IOException {
        return server(address, 0, socket -> {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                byte[] answer = upstream.answer(Message.read(in, true));
                if (answer == null) {
                    return;
                }
                socket.getOutputStream().write(answer);
            }
        });
    }

    // Discovery.

    /** A discovery: a list, and watches that are told its changes. A change is told to all open watches at once. */
    final class Discovery {
        private final Map<String, String> entries = new TreeMap<>();
        private final Set<OutputStream> watches = ConcurrentHashMap.newKeySet();
        private int index = 42;
        final Server server;

        Discovery() throws IOException {
            server = server(socket -> {
                String path = Message.read(new BufferedInputStream(socket.getInputStream()), true).path();
                OutputStream out = socket.getOutputStream();
                if (!path.contains("watch=1")) {
                    out.write(response(200, "", snapshot().getBytes(StandardCharsets.US_ASCII)));
                    return;
                }
                synchronized (this) {
                    out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                    line(out, snapshot());
                    watches.add(out);
                }
                note("discovery watch=" + path);
                try {
                    while (true) {
                        sleep(2_000);
                        synchronized (this) {
                            line(out, "");
                        }
                    }
                } finally {
                    watches.remove(out);
                }
            });
        }

        private synchronized String snapshot() {
            return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + String.join(",", entries.values()) + "]}";
        }

        private void line(OutputStream out, String text) throws IOException {
            byte[] bytes = (text + "\n").getBytes(StandardCharsets.US_ASCII);
            ByteArrayOutputStream chunk = new ByteArrayOutputStream();
            chunk.writeBytes((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            chunk.writeBytes(bytes);
            chunk.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.write(chunk.toByteArray());
            out.flush();
        }

        synchronized void put(String name, String entry) {
            entries.put(name, entry);
        }

        synchronized String entries() {
            return String.join(",", entries.values());
        }

        /** Tells changes in one event: each name with its entry; those with the status terminated leave the list. */
        synchronized void tell(Map<String, String> changes) {
            index++;
            changes.forEach((name, entry) -> {
                if (entry.contains("\"terminated\"")) {
                    entries.remove(name);
                } else {
                    entries.put(name, entry);
                }
            });
            String event = "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":["
                    + String.join(",", changes.values()) + "]}";
            note("discovery tells " + event);
            for (OutputStream out : watches) {
                try {
                    line(out, event);
                } catch (IOException e) {
                    watches.remove(out);
                }
            }
        }
    }

    // Clients.

    private static final AtomicInteger IDS = new AtomicInteger();

    /** Returns an id that no other request of the case has. */
    static String newId() {
        return String.format(Locale.ROOT, "%08x%08x", System.nanoTime() & 0xffffffffL, IDS.incrementAndGet());
    }

    /** Returns the bytes of a request. A body of null makes it a GET. */
    static byte[] request(String path, String id, long timeLeftMs, String fields, byte[] body) {
        String head = (body == null ? "GET " : "POST ") + path + " HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: "
                + id + "\r\nX-Time-Left: " + timeLeftMs + "m\r\n" + fields
                + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) {
            bytes.writeBytes(body);
        }
        return bytes.toByteArray();
    }

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        private InputStream in;

        Client(InetSocketAddress address) throws IOException {
            this(address, 0);
        }

        Client(InetSocketAddress address, int receiveBuffer) throws IOException {
            if (receiveBuffer > 0) {
                socket.setReceiveBufferSize(receiveBuffer);
            }
            socket.setTcpNoDelay(true);
            socket.connect(address, 5_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(byte[] bytes) throws IOException {
            socket.getOutputStream().write(bytes);
        }

        /** Reads an answer within the time. */
        Message answer(long millis) throws IOException {
            socket.setSoTimeout((int) Math.max(1, millis));
            return Message.read(in, false);
        }

        InputStream in() {
            return in;
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    static List<Integer> range(int count) {
        List<Integer> numbers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            numbers.add(i);
        }
        return numbers;
    }

    static BufferedOutputStream buffered(Socket socket) throws SocketException, IOException {
        return new BufferedOutputStream(socket.getOutputStream(), 64 << 10);
    }
}
