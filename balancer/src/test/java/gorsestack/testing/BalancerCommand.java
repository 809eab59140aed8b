package gorsestack.testing;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Builds the command that runs a balancer from the classes under test as a process of its own. */
public final class BalancerCommand {
    private BalancerCommand() {}

    /**
     * Returns the command {@code serve} with these options of the JVM. Callers append arguments or wrap it, so the list can be changed.
     *
     * @param jvmOptions options such as the heap's size
     */
    public static List<String> serve(String... jvmOptions) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(jvmOptions));
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "gorsestack.Main", "serve"));
        return command;
    }
}
