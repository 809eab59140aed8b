package gorsestack.lab.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests that valid scenarios are read and invalid ones rejected. Guards against messages that do not tell the user which key in which
 * line is invalid.
 */
class ScenarioReaderTest {
    private static final String VALID = """
            name = "x"
            about = "y"
            seconds = 10
            [[tiers]]
            slots = 3
            [load]
            rate = 10
            [[faults]]
            kind = "drop"
            at = 1
            lasts = 2
            from = "front@zone:a@share:0.5"
            to = "!zone:a"
            [[invariants]]
            figure = "served"
            over = "after"
            at_least = 0.9
            """;

    @Test
    void readsValidScenario() throws Exception {
        Scenario scenario = ScenarioReader.read("f", VALID);
        assertEquals(
                "x 10.0 3 drop at least 0.9",
                scenario.name() + " " + scenario.seconds() + " "
                        + scenario.tiers().get(0).slots() + " "
                        + scenario.faults().get(0).kind() + " "
                        + scenario.invariants().get(0).expected());
        assertEquals(3, scenario.products().size(), "by default there is one product of each kind");
        assertEquals(24, scenario.processes());
        assertEquals(
                36,
                ScenarioReader.read("f", VALID.replace("[load]", "[[tiers]]\nname=\"b\"\n[load]"))
                        .processes());
    }

    @Test
    void rejectsInvalidValueWithItsKeyAndLine() {
        String[][] rows = {
            {"slots = 3", "slots = 0", "f:5: tiers[0].slots must be a number from 1 to 10000, not 0"},
            {"slots = 3", "slots = 2.5", "f:5: tiers[0].slots must be a whole number"},
            {"slots = 3", "slot = 3", "f:5: tiers[0].slot is not known here"},
            {"rate = 10", "", "f:6: load.rate is missing"},
            {"kind = \"drop\"", "kind = \"explode\"", "f:9: faults[0].kind must be one of"},
            {"at = 1", "at = 11", "f:10: faults[0].at must be a number from 0 to 10, not 11"},
            {"lasts = 2", "", "faults[0].lasts is missing"},
            {"zone:a@share:0.5", "zone:a@shore:1", "f:12: faults[0].from must be"},
            {"to = \"!zone:a\"", "to = 3", "f:13: faults[0].to must be text, not 3"},
            {"figure = \"served\"", "figure = \"saved\"", "f:15: invariants[0].figure must be one of"},
            {"at_least = 0.9", "", "needs at_least or at_most"},
            {"[[tiers]]", "[tiers]", "f:4: tiers must be a list of tables"},
            {"name = \"x\"", "name = x", "f:1: "},
            {"about = \"y\"", "", "about is missing"},
            {"slots = 3", "upstreams = 190\n[[tiers]]\nname = \"b\"\n[[tiers]]", "processes; 200 at most"}
        };
        for (String[] row : rows) {
            String message = assertThrows(
                            InvalidScenarioException.class,
                            () -> ScenarioReader.read("f", VALID.replace(row[0], row[1])),
                            row[1])
                    .getMessage();
            assertTrue(message.contains(row[2]), message);
            assertEquals(1, message.lines().count());
        }
    }
}
