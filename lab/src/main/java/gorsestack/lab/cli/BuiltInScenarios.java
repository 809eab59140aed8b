package gorsestack.lab.cli;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Gives the commands access to the scenarios that are packaged with the lab. */
final class BuiltInScenarios {
    /** The names of the built-in scenarios, in the order in which they are listed. */
    static final List<String> NAMES = List.of(
            "calm",
            "restart-70",
            "restart-all",
            "restart-dark",
            "restart-over",
            "restart-state",
            "restart-rolling",
            "restart-cut",
            "restart-cold",
            "restart-jam",
            "restart-peers",
            "restart-seventy",
            "cut-zone",
            "stall",
            "flap",
            "smoke",
            "restart",
            "return",
            "cut");

    private BuiltInScenarios() {}

    /** Returns the text of a built-in scenario, or of a scenario file if there is no built-in one of that name. */
    static String text(String nameOrFile) throws IOException {
        if (NAMES.contains(nameOrFile)) {
            try (InputStream in = BuiltInScenarios.class.getResourceAsStream("/scenarios/" + nameOrFile + ".toml")) {
                return new String(in.readAllBytes(), StandardCharsets.UTF_8);
            }
        }
        Path file = Path.of(nameOrFile);
        if (!Files.isRegularFile(file)) {
            throw new IOException(nameOrFile + ": neither a file nor one of " + String.join(", ", NAMES));
        }
        return Files.readString(file);
    }
}
