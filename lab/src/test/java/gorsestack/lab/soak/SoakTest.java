package gorsestack.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.lab.report.RunResult;
import gorsestack.lab.run.ScenarioRun;
import gorsestack.lab.scenario.Scenario;
import gorsestack.lab.scenario.ScenarioReader;
import gorsestack.lab.shim.Shim;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests the soak itself. Guards against a soak that always passes, because its schedules are invalid, its shim has no effect, or its
 * checks do not detect a violation.
 */
class SoakTest {
    private static final Path ROOT = Path.of("").toAbsolutePath();
    private static final PrintStream DISCARDED =
            new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
    /** The time after the disturbances in seconds: 10 s of full service, and some time for late notifications. */
    private static final double RECOVERY_SECONDS = 12;

    @TempDir
    private Path folder;

    private static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    private static String balancerCommand() {
        return "exec " + java()
                + " -Xmx36m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar balancer/target/gorsestack.jar serve";
    }

    private static String ruleBreakingCommand(String mode) {
        return "exec " + java() + " -Xrs -Xmx32m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp "
                + System.getProperty("java.class.path") + " gorsestack.lab.RuleBreakingBalancer " + mode;
    }

    private Soak soak(String command, int balancers) throws Exception {
        return new Soak(new Soak.Plan(ROOT, command, "test", folder, balancers, RECOVERY_SECONDS, false, DISCARDED));
    }

    /** A seed determines its schedule: a valid scenario with two or three overlapping disturbances. Over many seeds all kinds occur. */
    @Test
    void drawsSameValidScheduleForSameSeed() throws Exception {
        Set<String> names = new HashSet<>();
        for (long seed = 1; seed <= 400; seed++) {
            Schedule schedule = Schedule.of(seed, 10, RECOVERY_SECONDS);
            assertEquals(
                    schedule.scenario(), Schedule.of(seed, 10, RECOVERY_SECONDS).scenario());
            Scenario scenario = ScenarioReader.read("soak", schedule.scenario());
            assertTrue(schedule.disturbances().size() == 2
                    || schedule.disturbances().size() == 3);
            double first = scenario.faults().stream()
                    .mapToDouble(Scenario.Fault::at)
                    .min()
                    .orElseThrow();
            double last = scenario.faults().stream()
                    .mapToDouble(Scenario.Fault::at)
                    .max()
                    .orElseThrow();
            assertTrue(last - first <= 3.2, schedule.names());
            schedule.disturbances()
                    .forEach(disturbance -> names.add(disturbance.name().split(" E[A-Z]+| SHORT")[0]));
            assertEquals(
                    schedule.disturbances().size() - 1,
                    schedule.without(0).disturbances().size());
        }
        assertEquals(36, names.size(), names.toString());
    }

    /** The balancer logs the failing system calls, and requests still get their responses. */
    @Test
    void shimMakesSystemCallsFailAndRunPasses() throws Exception {
        Shim shim = Shim.build(folder.resolve("shim"));
        Assumptions.assumeTrue(shim != null, "no C compiler is installed, so the shim cannot be built");
        String text = """
                name = "shim"
                about = "accept, connect and write fail, the wall clock is set"
                seconds = 5
                lead = 0.5
                zones = ["a"]
                [fleet]
                balancers = 1
                mgmt = true
                [[tiers]]
                upstreams = 3
                calls = 0
                [load]
                rate = 40
                [[faults]]
                kind = "calls"
                call = "accept ENFILE"
                size = 1
                at = 1
                lasts = 1
                from = "n0"
                [[faults]]
                kind = "calls"
                call = "write ENOBUFS"
                size = 0.5
                at = 1
                lasts = 2
                from = "n0"
                [[faults]]
                kind = "reset"
                at = 1.5
                from = "clients"
                to = "n0"
                [[faults]]
                kind = "clock"
                size = -3600
                at = 2
                from = "n0"
                """;
        Path out = folder.resolve("run");
        RunResult result = new ScenarioRun(new ScenarioRun.Plan(
                        ScenarioReader.read("test", text),
                        text,
                        1,
                        ROOT,
                        shim.command(balancerCommand()),
                        null,
                        "test",
                        out,
                        DISCARDED))
                .run();
        String log = Files.readString(out.resolve("n0/log"));
        assertTrue(log.contains("accept failed"), log);
        assertFalse(log.contains("violation"), log);
        Assumptions.assumeFalse(result.verdict().equals("VOID"), result.line());
        assertEquals("PASS", result.line(), result.firstViolations().toString());
    }

    /** A planted fault is found within two seeds. Void runs, which happen on a busy machine, do not count as one of them. */
    @Test
    void findsPlantedFaultWithinTwoConclusiveSeeds() throws Exception {
        Soak.Outcome found = soak(ruleBreakingCommand("twice"), 2).run(2);
        int conclusive = found.inconclusive() ? 0 : 1;
        for (long seed = 3; (found.inconclusive() || !found.failed()) && conclusive < 2 && seed <= 6; seed++) {
            found = soak(ruleBreakingCommand("twice"), 2).run(seed);
            conclusive += found.inconclusive() ? 0 : 1;
        }
        assertTrue(found.failed(), found.findings().toString());
        assertTrue(
                found.findings().stream().anyMatch(finding -> finding.contains("lost")),
                found.findings().toString());
    }

    @Test
    void balancerPassesSeed() throws Exception {
        Soak.Outcome outcome = soak(balancerCommand(), 4).run(2);
        assertFalse(outcome.failed(), outcome.findings().toString());
        Assumptions.assumeFalse(outcome.inconclusive(), "the run is void, because the machine was too busy");
    }
}
