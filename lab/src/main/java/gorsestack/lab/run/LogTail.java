package gorsestack.lab.run;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads the log of a running balancer and returns each complete line once. Confined to the event loop. */
final class LogTail {
    private final Path log;
    /** The number of bytes of the log that have been returned. */
    private int readBytes;

    LogTail(Path log) {
        this.log = log;
    }

    /** Returns the complete lines that were written since the last call; none if the file does not exist yet. */
    List<String> newLines() {
        if (!Files.exists(log)) {
            return List.of();
        }
        try {
            byte[] content = Files.readAllBytes(log);
            int start = Math.min(readBytes, content.length);
            int end = content.length;
            while (end > start && content[end - 1] != '\n') {
                end--;
            }
            readBytes = end;
            return new String(content, start, end - start, StandardCharsets.UTF_8)
                    .lines()
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read the log " + log, e);
        }
    }
}
