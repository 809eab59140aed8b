package gorsestack.lab.cli;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * An upstream on a real socket with a thread for each connection. The second part of a request's path tells how it behaves: {@code stuck} reads
 * nothing but the head, {@code lumps-FRAMING} responds in lumps with pauses between them, {@code slow} responds after a while, and anything
 * else responds at once.
 */
final class ScriptedUpstream implements AutoCloseable {
    static final int LUMPS = 5;
    static final int LUMP_BYTES = 30_000;
    static final int PAUSE_MILLIS = 400;

    private static final int SLOW_MILLIS = 600;
    private static final int RECEIVE_BUFFER_BYTES = 16 << 10;
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String ID_FIELD = "X-Correlation-Id: ";

    /** The ids of the requests that were read to their end, in order. */
    final List<String> executed = new CopyOnWriteArrayList<>();

    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final ServerSocket listener = new ServerSocket();

    ScriptedUpstream() throws IOException {
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new java.net.InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void start(Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        // The connection, or the upstream, was closed.
                    }
                },
                "upstream");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() throws IOException {
        while (true) {
            Socket connection = listener.accept();
            connections.add(connection);
            start(() -> serve(connection));
        }
    }

    private void serve(Socket connection) throws IOException, InterruptedException {
        InputStream input = new BufferedInputStream(connection.getInputStream());
        while (true) {
            String head = readHead(input);
            String behavior = head.split(" ", 3)[1].split("/", 3)[2];
            if (behavior.equals("stuck")) {
                return; // The connection stays open, and nothing more is read.
            }
            skipBody(head, input);
            int id = head.indexOf(ID_FIELD) + ID_FIELD.length();
            executed.add(head.substring(id, head.indexOf("\r\n", id)));
            if (!respond(behavior, connection.getOutputStream())) {
                connection.close();
                return;
            }
        }
    }

    private static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("end of stream");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static void skipBody(String head, InputStream input) throws IOException {
        if (head.contains("Transfer-Encoding: chunked")) {
            for (int size = -1; size != 0; ) {
                size = Integer.parseInt(readLine(input), 16);
                input.skipNBytes(size + 2L);
            }
        } else if (head.contains("Content-Length: ")) {
            int begin = head.indexOf("Content-Length: ") + "Content-Length: ".length();
            input.skipNBytes(Long.parseLong(head.substring(begin, head.indexOf("\r\n", begin))));
        }
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new IOException("end of stream");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    /** Sends a response; returns whether the connection stays open. */
    private static boolean respond(String behavior, OutputStream output) throws IOException, InterruptedException {
        if (!behavior.startsWith("lumps-")) {
            Thread.sleep(behavior.equals("slow") ? SLOW_MILLIS : 0);
            write(output, OK + "Content-Length: 2\r\n\r\nok");
            return true;
        }
        boolean chunked = behavior.equals("lumps-chunked");
        boolean untilClose = behavior.equals("lumps-close");
        write(
                output,
                OK
                        + (chunked ? "Transfer-Encoding: chunked\r\n" : "")
                        + (chunked || untilClose ? "" : "Content-Length: " + LUMPS * LUMP_BYTES + "\r\n")
                        + "\r\n");
        for (int i = 0; i < LUMPS; i++) {
            Thread.sleep(PAUSE_MILLIS);
            String lump = "y".repeat(LUMP_BYTES);
            write(output, chunked ? Integer.toHexString(LUMP_BYTES) + "\r\n" + lump + "\r\n" : lump);
        }
        write(output, chunked ? "0\r\n\r\n" : "");
        return !untilClose;
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
