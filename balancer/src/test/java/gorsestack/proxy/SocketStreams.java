package gorsestack.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** Reads and writes at the test's end of a real connection. */
final class SocketStreams {
    private static final String LENGTH_FIELD = "Content-Length: ";

    private SocketStreams() {}

    /** Sends text as bytes. */
    static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads one message: its head, and the number of bytes that its content length states. */
    static String readMessage(Socket socket) throws IOException {
        InputStream input = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                return text.toString();
            }
            text.append((char) next);
        }
        int field = text.indexOf(LENGTH_FIELD);
        int length = field < 0
                ? 0
                : Integer.parseInt(text.substring(field + LENGTH_FIELD.length(), text.indexOf("\r\n", field)));
        return text.append(new String(input.readNBytes(length), StandardCharsets.ISO_8859_1))
                .toString();
    }

    /** Reads what has arrived, without waiting, and returns how often it contains this character. */
    static int drain(Socket socket, char counted) throws IOException {
        byte[] bytes =
                socket.getInputStream().readNBytes(socket.getInputStream().available());
        int count = 0;
        for (byte next : bytes) {
            count += next == counted ? 1 : 0;
        }
        return count;
    }

    /** Reads to the end of the stream; appends "<reset>" if it is reset, or "<still open>" if the end is not reached in time. */
    static String readToEnd(Socket socket) {
        StringBuilder text = new StringBuilder();
        try {
            for (int next; (next = socket.getInputStream().read()) >= 0; ) {
                text.append((char) next);
            }
        } catch (IOException e) {
            text.append(e instanceof SocketTimeoutException ? "<still open>" : "<reset>");
        }
        return text.toString();
    }

    /** Closes the connection with a reset. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }
}
