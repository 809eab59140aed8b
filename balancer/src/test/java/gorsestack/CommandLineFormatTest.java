package gorsestack;

import gorsestack.testing.Fixture;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import picocli.CommandLine.Help;

/**
 * Compares the output of the command line with the stored forms: help, usage errors, errors of invalid configurations and the report of a
 * state file, each with its exit code.
 */
class CommandLineFormatTest {
    private static final Fixture HELP = new Fixture("command-line-help.txt");
    private static final Fixture USAGE_ERRORS = new Fixture("command-line-usage-errors.txt");
    private static final Fixture BAD_CONFIGURATIONS = new Fixture("command-line-bad-configurations.txt");
    private static final Fixture STATE_REPORT = new Fixture("command-line-state-report.txt");

    @TempDir
    private Path folder;

    private static String execute(String... arguments) {
        StringWriter output = new StringWriter();
        PrintWriter writer = new PrintWriter(output);
        int exitCode = new CommandLine(new Main())
                .setColorScheme(Help.defaultColorScheme(Help.Ansi.OFF))
                .setOut(writer)
                .setErr(writer)
                .execute(arguments);
        return section(String.join(" ", arguments), exitCode, output.toString());
    }

    private static String section(String title, int exitCode, String output) {
        return "== " + title + "\n" + output + "== exit code " + exitCode + "\n";
    }

    /** Runs the program in a separate process, without the environment variables that would override its configuration. */
    private String run(String title, String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Dfile.encoding=UTF-8",
                "-Dstdout.encoding=UTF-8",
                "-cp",
                System.getProperty("java.class.path"),
                "gorsestack.Main"));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().keySet().removeIf(key -> key.startsWith("ROUTER_") || key.equals("JAVA_TOOL_OPTIONS"));
        Process process = builder.start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return section(title, process.waitFor(), output.replace(folder.toString(), "FOLDER"));
    }

    private String serve(String title, String content) throws IOException, InterruptedException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, content);
        return run(title, "serve", "--check", "--config", file.toString());
    }

    @Test
    void printsHelpOfEachCommand() throws IOException {
        HELP.assertSame(execute("--help")
                + execute("serve", "--help")
                + execute("simhost", "--help")
                + execute("status", "--help")
                + execute("state", "--help")
                + execute("state", "show", "--help"));
    }

    @Test
    void printsUsageForUnknownOptionsAndMissingParameters() throws IOException {
        USAGE_ERRORS.assertSame(execute("--unknown")
                + execute("nothing")
                + execute("status")
                + execute("state", "show")
                + execute("serve", "--config"));
    }

    @Test
    void printsOneLineForInvalidConfiguration() throws Exception {
        String example = Files.readString(Path.of("deploy/example.json"));
        BAD_CONFIGURATIONS.assertSame(serve("an array", "[]")
                + serve("no JSON", "{")
                + serve("no sockets", example.replace("\"sockets\": 1024", "\"socket\": 1024"))
                + serve("listen by name", example.replace("127.0.0.1:18000", "localhost:18000"))
                + serve("bad seed", example.replace("8c1f30d27a5be964", "xyz"))
                + serve("no products", example.replace("\"products\": [", "\"others\": ["))
                + serve("state is a number", example.replace("\"seed\"", "\"state\": 3, \"seed\""))
                + run(
                        "no file",
                        "serve",
                        "--config",
                        folder.resolve("absent.json").toString()));
    }

    @Test
    void printsStateFileAsTextAndJson() throws Exception {
        Path file = folder.resolve("n1.state");
        Files.write(file, new Fixture("state-file.txt").input());
        Path damaged = folder.resolve("damaged.state");
        Files.writeString(damaged, "gorsestack state 1\nnoise\n");
        STATE_REPORT.assertSame(run("text", "state", "show", file.toString())
                + run("json", "state", "show", "--json", file.toString())
                + run("damaged", "state", "show", damaged.toString())
                + run("absent", "state", "show", folder.resolve("absent").toString()));
    }
}
