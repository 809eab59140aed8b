package gorsestack.lab.cli;

import gorsestack.lab.soak.Schedule;
import gorsestack.lab.soak.Soak;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs random schedules of overlapping disturbances, one per seed, until all seeds have run or the time is up. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = "Runs random schedules of overlapping disturbances, one per seed, and"
                + " shrinks each schedule that fails. The exit code is 0 if all pass, 1 if one fails,"
                + " and 3 if none fails but the machine was too busy for one.")
public final class SoakCommand implements Callable<Integer> {
    private static final int MIN_BALANCERS = 2;
    private static final int MAX_BALANCERS = 40;
    private static final String RANGE_SEPARATOR = "..";

    @Option(
            names = "--seeds",
            paramLabel = "A..B",
            defaultValue = "1..3",
            description = "a seed or a range of seeds, for example 1..20")
    private String seeds;

    @Option(
            names = "--minutes",
            paramLabel = "M",
            description = "the time in minutes after which no further seed is started")
    private double minutes = 1e6;

    @Option(
            names = "--balancers",
            paramLabel = "N",
            description = "the number of balancer processes, 2 to 40; 10 by default")
    private int balancers = 10;

    @Option(names = "--out", paramLabel = "DIR", description = "the folder for the runs; lab-results/soak by default")
    private Path output = Path.of("lab-results", "soak");

    @Mixin
    private Deployment deployment;

    @Override
    public Integer call() throws Exception {
        if (!seeds.matches("\\d{1,9}(\\.\\.\\d{1,9})?")) {
            throw new IOException("--seeds must be a number or a range, for example 1..20, not " + seeds);
        }
        if (balancers < MIN_BALANCERS || balancers > MAX_BALANCERS) {
            throw new IOException(
                    "--balancers must be from " + MIN_BALANCERS + " to " + MAX_BALANCERS + ", not " + balancers);
        }
        int separator = seeds.indexOf(RANGE_SEPARATOR);
        String first = separator < 0 ? seeds : seeds.substring(0, separator);
        String last = separator < 0 ? seeds : seeds.substring(separator + RANGE_SEPARATOR.length());
        return runSeeds(Long.parseLong(first), Long.parseLong(last));
    }

    private int runSeeds(long first, long last) throws Exception {
        Path root = deployment.root();
        Soak soak = new Soak(new Soak.Plan(
                root,
                deployment.command(root),
                LabVersion.ofBalancer(),
                output,
                balancers,
                Schedule.RECOVERY_SECONDS,
                true,
                System.out));
        long deadline = System.nanoTime() + (long) (minutes * 60e9);
        int completed = 0;
        int failed = 0;
        int inconclusive = 0;
        for (long seed = first; seed <= last && System.nanoTime() < deadline; seed++) {
            Soak.Outcome outcome = soak.run(seed);
            completed++;
            if (outcome.failed()) {
                failed++;
                System.out.println(
                        "seed " + seed + " fails with " + outcome.schedule().names() + "; kept in " + outcome.folder());
            } else if (outcome.inconclusive()) {
                inconclusive++;
            }
        }
        System.out.println(completed + " seeds played, " + failed + " failed, " + inconclusive + " void");
        return failed > 0 ? 1 : inconclusive > 0 ? 3 : 0;
    }
}
