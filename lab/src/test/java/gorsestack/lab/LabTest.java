package gorsestack.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.lab.report.RunComparison;
import gorsestack.lab.report.RunResult;
import gorsestack.lab.run.ScenarioRun;
import gorsestack.lab.scenario.ScenarioReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests complete runs, with the real balancer and with a test double that violates rules. Guards against a lab that gives the wrong
 * verdict, for example because a rule does not detect its violations.
 */
class LabTest {
    /** How many runs a test starts at most until one is not void; if the machine is too busy for all, the test is reported as skipped. */
    private static final int MAX_RUNS = 3;

    private static final Path ROOT = Path.of("").toAbsolutePath();

    @TempDir
    private Path folder;

    private static String java() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    private static String ruleBreakingCommand(String mode) {
        return "exec " + java() + " -Xrs -Xmx32m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -cp "
                + System.getProperty("java.class.path") + " gorsestack.lab.RuleBreakingBalancer " + mode;
    }

    private static String balancerCommand() {
        return "exec " + java()
                + " -Xmx36m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -jar balancer/target/gorsestack.jar serve";
    }

    private RunResult runScenario(String text, String command) throws Exception {
        PrintStream discarded = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
        RunResult result = null;
        for (int i = 0; i < MAX_RUNS && (result == null || result.verdict().equals("VOID")); i++) {
            result = new ScenarioRun(new ScenarioRun.Plan(
                            ScenarioReader.read("test", text),
                            text,
                            1,
                            ROOT,
                            command,
                            null,
                            "test",
                            folder.resolve("run"),
                            discarded))
                    .run();
        }
        Assumptions.assumeFalse(result.verdict().equals("VOID"), result.line());
        return result;
    }

    private static final String SMALL = """
            name = "small"
            about = "one balancer"
            seconds = 5
            lead = 0.3
            zones = ["a"]
            [fleet]
            balancers = 1
            [rules]
            drain_grace = 0.5
            told_within = 1
            cold = 20
            cold_share = 0.1
            [discovery]
            late = 0.1
            [[tiers]]
            upstreams = 4
            cells = 1
            slots = 3
            [load]
            rate = 60
            tries = 1
            [[faults]]
            kind = "replace"
            at = 1.5
            from = "u0"
            """;

    @ParameterizedTest
    @CsvSource({"ok,", "twice,lost", "silent,lost", "wrong,lost", "repeat,dup", "drain,drain"})
    void runFailsWithRuleThatBalancerViolatesAndPassesWithoutViolation(String mode, String rule) throws Exception {
        RunResult result = runScenario(SMALL, ruleBreakingCommand(mode));
        if (rule == null) {
            assertEquals("PASS", result.line(), result.firstViolations().toString());
            assertTrue(result.metrics().get("served") > 0.9);
        } else {
            assertEquals("FAIL", result.verdict());
            assertTrue(
                    result.violationCounts().containsKey(rule),
                    result.violationCounts() + " " + result.firstViolations());
            assertEquals(1, result.exitCode());
        }
    }

    @Test
    void overloadOfUpstreamInSlowStartIsDetected() throws Exception {
        // The balancer sends all calls to the first endpoint, which restarts and is then in slow start.
        String overloading = SMALL.replace("slots = 3", "slots = 1\nqueue = 500")
                .replace("kind = \"replace\"", "kind = \"crash\"\nrestart_after = 0.2");
        RunResult result = runScenario(overloading, ruleBreakingCommand("topple"));
        assertTrue(result.violationCounts().containsKey("cold"), result.violationCounts() + " " + result.line());
        RunResult compliant = runScenario(
                SMALL.replace("kind = \"replace\"", "kind = \"crash\"\nrestart_after = 0.2")
                        .replace("rate = 60", "rate = 10"),
                ruleBreakingCommand("ok"));
        assertFalse(
                compliant.violationCounts().containsKey("cold"),
                compliant.firstViolations().toString());
    }

    /** Guards against a balancer that stays running because it ignores SIGTERM, and against a run that passes nevertheless. */
    @Test
    void processThatIgnoresSigtermIsKilledAndFailsInvariant() throws Exception {
        String shortScenario = SMALL.replace("seconds = 5", "seconds = 2").replaceAll("(?s)\\[\\[faults.*", "");
        RunResult result = runScenario(
                shortScenario + "[[invariants]]\nfigure = \"killed_after_term\"\nat_most = 0\n",
                "trap '' TERM; " + ruleBreakingCommand("ok"));
        assertEquals("FAIL: killed_after_term, 1.0, wanted at most 0.0", result.line());
        assertEquals(
                "PASS",
                runScenario(
                                shortScenario + "[[invariants]]\nfigure = \"killed_after_term\"\nat_most = 0\n",
                                ruleBreakingCommand("ok"))
                        .line());
    }

    @Test
    void runFailsIfBalancerDoesNotStart() throws Exception {
        RunResult result = runScenario(SMALL.replace("balancers = 1", "balancers = 1\nready_within = 2"), "exit 1");
        assertEquals("FAIL: start: 0 of 1 balancers ready after 2.0 s, wanted all", result.line());
    }

    private static List<ProcessHandle> balancers(ProcessHandle lab) {
        return lab.descendants()
                .filter(process -> process.info().commandLine().orElse("").contains("RuleBreakingBalancer")
                        && !process.info().commandLine().orElse("").startsWith("/bin/sh"))
                .toList();
    }

    private static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + 20_000_000_000L;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "not reached within 20 s: " + description);
            Thread.sleep(20);
        }
    }

    /** Guards against balancers that outlive a killed lab; they would load the machine and occupy the addresses of the next lab. */
    @Test
    void balancersTerminateWhenLabIsKilledAndNextLabStartsImmediately() throws Exception {
        Path scenario = folder.resolve("s.toml");
        Files.writeString(
                scenario, SMALL.replace("seconds = 5", "seconds = 60").replace("balancers = 1", "balancers = 3"));
        List<Process> labs = new ArrayList<>();
        try {
            List<ProcessHandle> killed = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                Process lab = new ProcessBuilder(
                                java(),
                                "-cp",
                                System.getProperty("java.class.path"),
                                "gorsestack.lab.Main",
                                "run",
                                scenario.toString(),
                                "--out",
                                folder.resolve("out" + i).toString(),
                                "--run",
                                ruleBreakingCommand("ok"))
                        .redirectErrorStream(true)
                        .redirectOutput(folder.resolve("lab" + i).toFile())
                        .start();
                labs.add(lab);
                await(
                        "three balancers are running",
                        () -> balancers(lab.toHandle()).size() == 3);
                if (i == 0) {
                    await("load", () -> text(folder.resolve("lab0")).contains("ready after"));
                }
                killed.addAll(balancers(lab.toHandle()));
                lab.destroyForcibly();
            }
            await(
                    "all balancers of killed labs have terminated",
                    () -> killed.stream().noneMatch(ProcessHandle::isAlive));
        } finally {
            labs.forEach(Process::destroyForcibly);
        }
    }

    private static String text(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            return "";
        }
    }

    /** Runs the short scenarios that are part of the build. */
    @ParameterizedTest
    @ValueSource(strings = {"smoke", "restart", "return", "cut"})
    void balancerPassesScenario(String scenario) throws Exception {
        String text = new String(
                LabTest.class
                        .getResourceAsStream("/scenarios/" + scenario + ".toml")
                        .readAllBytes(),
                StandardCharsets.UTF_8);
        RunResult result = runScenario(text, balancerCommand());
        assertEquals("PASS", result.line(), result.firstViolations() + " " + result.invariants());
    }

    @Test
    void storedRunYieldsSameResultWhenVerifiedAgainAndCompared() throws Exception {
        RunResult result = runScenario(SMALL.replaceAll("(?s)\\[\\[faults.*", ""), ruleBreakingCommand("twice"));
        Path run = folder.resolve("run");
        RunResult reverified = RunResult.reverify(run);
        assertEquals(result.line(), reverified.line());
        assertEquals(result.metrics(), reverified.metrics());
        String page = Files.readString(run.resolve("report.html"));
        assertTrue(
                page.contains("<svg") && page.contains("Rules broken") && !page.contains("http://127"),
                "the page contains charts and violations, and no local address");
        assertFalse(page.matches("(?s).*(src|href)=\"https?:.*"), "the page refers to no resource on a network");
        assertTrue(RunComparison.table(run, run, true).contains("served_worst_second"));
        assertEquals(
                Optional.empty(),
                RunComparison.table(run, run, false)
                        .lines()
                        .filter(tableLine -> tableLine.endsWith("*"))
                        .findFirst());
    }

    @Test
    void invalidInputYieldsOneErrorLineAndExitCodeTwo() throws Exception {
        PrintStream standardError = System.err;
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        Path invalid = folder.resolve("bad.toml");
        Files.writeString(invalid, SMALL.replace("slots = 3", "slots = 3\nslotz = 4"));
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
        try {
            assertEquals(2, Main.run("check", invalid.toString()));
            assertEquals(2, Main.run("run", "no-such-scenario"));
            assertEquals(2, Main.run("compare", folder.toString(), folder.toString()));
            assertEquals(2, Main.run("report", folder.resolve("none").toString()));
            assertEquals(2, Main.run("run", "smoke", "--seed", "x"));
        } finally {
            System.setErr(standardError);
        }
        List<String> lines = errors.toString(StandardCharsets.UTF_8).lines().toList();
        assertTrue(lines.get(0).contains("bad.toml:19: tiers[0].slotz is not known here"), lines.get(0));
        assertTrue(lines.get(1).contains("no-such-scenario: neither a file nor one of calm"), lines.get(1));
    }
}
