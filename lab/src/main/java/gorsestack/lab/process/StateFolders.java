package gorsestack.lab.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/**
 * Applies faults to the state folders of balancers between the end and the restart of their processes. Used by {@link BalancerFleet} on the
 * thread that manages the processes.
 */
final class StateFolders {
    private interface FileTask {
        void run(Path file) throws IOException;
    }

    private final List<BalancerProcess> balancers;

    StateFolders(List<BalancerProcess> balancers) {
        this.balancers = balancers;
    }

    /** Replaces the backups of all state folders by copies of them, for faults that restore older state. */
    void backUp() throws IOException {
        for (BalancerProcess balancer : balancers) {
            Files.createDirectories(balancer.stateBackup());
            clear(balancer.stateBackup());
            copy(balancer.stateFolder(), balancer.stateBackup());
        }
    }

    /**
     * Changes the state folder of one balancer. The change is a value from a scenario: kept, lost, truncated, older (the backup is
     * restored), swapped (the backup of the next balancer is restored) or unwritable.
     */
    void change(int number, String change) throws IOException {
        BalancerProcess balancer = balancers.get(number);
        Path folder = balancer.stateFolder();
        switch (change) {
            case "lost" -> clear(folder);
            case "truncated" -> forEachFile(folder, StateFolders::truncate);
            case "older" -> replace(folder, balancer.stateBackup());
            case "swapped" ->
                replace(folder, balancers.get((number + 1) % balancers.size()).stateBackup());
            case "unwritable" -> {
                clear(folder);
                // A file replaces the folder, because root can write to a folder whatever its permissions are.
                Files.delete(folder);
                Files.writeString(folder, "no folder\n");
            }
            default -> {}
        }
    }

    private static void truncate(Path file) throws IOException {
        byte[] content = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(content, content.length / 2));
    }

    private static void replace(Path folder, Path replacement) throws IOException {
        clear(folder);
        copy(replacement, folder);
    }

    private static void forEachFile(Path folder, FileTask task) throws IOException {
        if (Files.isDirectory(folder)) {
            try (Stream<Path> files = Files.list(folder)) {
                for (Path file : files.filter(Files::isRegularFile).toList()) {
                    task.run(file);
                }
            }
        }
    }

    private static void clear(Path folder) throws IOException {
        forEachFile(folder, Files::delete);
    }

    private static void copy(Path source, Path target) throws IOException {
        forEachFile(source, file -> {
            try {
                Files.copy(file, target.resolve(file.getFileName()));
            } catch (NoSuchFileException e) {
                // The balancer has replaced the file since the folder was listed.
            }
        });
    }
}
