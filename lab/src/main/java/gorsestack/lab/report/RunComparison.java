package gorsestack.lab.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** Compares two runs or two folders of runs by the mean and the range of each metric over the seeds, for the compare command. */
public final class RunComparison {
    /** The mean and the range of a metric over several runs. */
    private record Summary(double mean, double min, double max) {
        static Summary of(List<RunResult> results, String metric) {
            double sum = 0;
            double min = Double.POSITIVE_INFINITY;
            double max = Double.NEGATIVE_INFINITY;
            for (RunResult result : results) {
                double value = result.metrics().getOrDefault(metric, Double.NaN);
                sum += value;
                min = Math.min(min, value);
                max = Math.max(max, value);
            }
            return new Summary(sum / results.size(), min, max);
        }

        boolean disjoint(Summary other) {
            return other.min > max || other.max < min;
        }
    }

    private RunComparison() {}

    /** Returns the folder itself if it holds a run, otherwise the folders of runs directly below it. */
    public static List<Path> runs(Path folder) throws IOException {
        if (isRun(folder)) {
            return List.of(folder);
        }
        if (!Files.isDirectory(folder)) {
            throw new IOException(folder + " is not a folder");
        }
        try (Stream<Path> children = Files.list(folder)) {
            List<Path> found = children.filter(RunComparison::isRun).sorted().toList();
            if (found.isEmpty()) {
                throw new IOException(folder + " contains no run: no result.json in it or one level below");
            }
            return found;
        }
    }

    private static boolean isRun(Path folder) {
        return Files.exists(folder.resolve(RunResult.FILE));
    }

    /**
     * Returns a table for each scenario that both folders have runs of. It shows all metrics, or only those whose ranges are disjoint.
     */
    public static String table(Path leftFolder, Path rightFolder, boolean allMetrics) throws IOException {
        List<RunResult> left = results(leftFolder);
        List<RunResult> right = results(rightFolder);
        Set<String> scenarios =
                new LinkedHashSet<>(left.stream().map(RunResult::scenario).toList());
        scenarios.retainAll(right.stream().map(RunResult::scenario).toList());
        if (scenarios.isEmpty()) {
            throw new IOException("the two folders have no scenario in common");
        }
        StringBuilder table = new StringBuilder();
        for (String scenario : scenarios) {
            appendScenario(table, scenario, ofScenario(left, scenario), ofScenario(right, scenario), allMetrics);
        }
        return table.append("mean [min max] over the seeds; * marks metrics whose ranges do not overlap")
                .toString();
    }

    private static void appendScenario(
            StringBuilder table, String scenario, List<RunResult> left, List<RunResult> right, boolean allMetrics) {
        table.append(scenario)
                .append(": seeds ")
                .append(left.stream().map(RunResult::seed).toList())
                .append(" and ")
                .append(right.stream().map(RunResult::seed).toList())
                .append("; ")
                .append(left.stream().map(RunResult::verdict).toList())
                .append(" and ")
                .append(right.stream().map(RunResult::verdict).toList())
                .append('\n');
        for (String metric : left.get(0).metrics().keySet()) {
            Summary leftSummary = Summary.of(left, metric);
            Summary rightSummary = Summary.of(right, metric);
            boolean disjoint = leftSummary.disjoint(rightSummary);
            if (allMetrics || disjoint) {
                table.append(String.format(
                        "  %-34s %12.4f [%.4f %.4f] %12.4f [%.4f %.4f]%s%n",
                        metric,
                        leftSummary.mean,
                        leftSummary.min,
                        leftSummary.max,
                        rightSummary.mean,
                        rightSummary.min,
                        rightSummary.max,
                        disjoint ? "  *" : ""));
            }
        }
    }

    private static List<RunResult> ofScenario(List<RunResult> results, String scenario) {
        return results.stream()
                .filter(result -> result.scenario().equals(scenario))
                .toList();
    }

    private static List<RunResult> results(Path folder) throws IOException {
        List<RunResult> results = new ArrayList<>();
        for (Path run : runs(folder)) {
            results.add(RunResult.read(run));
        }
        return results;
    }
}
