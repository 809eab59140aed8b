package gorsestack.lab.report;

import java.util.Map;

/**
 * The facts about a run that are not in its records; a {@link RunResult} is computed from both.
 *
 * @param seed the seed of the run
 * @param version the version of the balancer
 * @param startedAt the wall-clock time of the start, in ISO 8601 format
 * @param machine the properties and the load of the machine
 * @param failure the reason if the run failed before its load started, otherwise null
 * @param voidReason the reason if the run is inconclusive, otherwise null
 */
public record RunContext(
        long seed, String version, String startedAt, Map<String, Object> machine, String failure, String voidReason) {}
