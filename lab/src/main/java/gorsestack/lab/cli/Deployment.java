package gorsestack.lab.cli;

import java.io.File;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import picocli.CommandLine.Option;

/** The options of the commands that start balancers: the root of the repository, and the shell command that starts a balancer in it. */
final class Deployment {
    private static final String DEPLOY_FILE = "deploy/balancer.toml";
    private static final Pattern JAR = Pattern.compile("-jar (\\S+)");
    private static final Pattern CLASS_ARCHIVE = Pattern.compile("-XX:SharedArchiveFile=(\\S+)");

    @Option(
            names = "--root",
            paramLabel = "DIR",
            description = "the root of the repository, which contains deploy/balancer.toml; searched for by default")
    private Path root;

    @Option(
            names = "--run",
            paramLabel = "COMMAND",
            description = "the command that starts a balancer; the run line of the deploy file by default")
    private String command;

    /** Returns the root from the command line, or the one found above the working directory or the lab's jar. */
    Path root() throws IOException {
        return root != null ? root.toAbsolutePath() : findRoot();
    }

    /** Returns the start command from the command line, or the run line of the deploy file in a root. */
    String command(Path deployedRoot) throws IOException, InterruptedException {
        return command != null ? command : deployedCommand(deployedRoot);
    }

    private static Path findRoot() throws IOException {
        for (Path start : List.of(Path.of("").toAbsolutePath(), aboveJar())) {
            for (Path folder = start; folder != null; folder = folder.getParent()) {
                if (Files.exists(folder.resolve(DEPLOY_FILE))) {
                    return folder;
                }
            }
        }
        throw new IOException(
                "no " + DEPLOY_FILE + " found above the working directory or the lab's jar; specify --root");
    }

    private static Path aboveJar() throws IOException {
        try {
            Path jar = Path.of(Deployment.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            return jar.resolve("../../..").normalize();
        } catch (URISyntaxException e) {
            throw new IOException("cannot locate the lab's jar", e);
        }
    }

    /** Returns the run line of a root's deploy file. Creates the class archive that it names if that is missing or older than the jar. */
    static String deployedCommand(Path root) throws IOException, InterruptedException {
        Path deployFile = root.resolve(DEPLOY_FILE);
        String command = Toml.parse(deployFile).getString("run");
        if (command == null) {
            throw new IOException(deployFile + ": the key run is missing");
        }
        Matcher jar = JAR.matcher(command);
        if (!jar.find()) {
            return command;
        }
        File jarFile = root.resolve(jar.group(1)).toFile();
        if (!jarFile.exists()) {
            throw new IOException(jarFile + " does not exist; build it with mvn -q -DskipTests package");
        }
        Matcher archive = CLASS_ARCHIVE.matcher(command);
        if (archive.find() && root.resolve(archive.group(1)).toFile().lastModified() < jarFile.lastModified()) {
            createClassArchive(root, jar.group(1), archive.group(1));
        }
        return command;
    }

    /** Creates a class archive with the same options as the build line of the deploy file, and waits until it is written. */
    private static void createClassArchive(Path root, String jar, String archive)
            throws IOException, InterruptedException {
        new ProcessBuilder(
                        "java",
                        "-XX:ArchiveClassesAtExit=" + archive,
                        "-Xlog:cds=off",
                        "-Xlog:cds+dynamic=off",
                        "-XX:+UseSerialGC",
                        "-jar",
                        jar,
                        "serve",
                        "--check",
                        "--config",
                        "deploy/example.json")
                .directory(root.toFile())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
    }
}
