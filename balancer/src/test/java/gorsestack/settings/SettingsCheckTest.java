package gorsestack.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Checks which settings are rejected, and that the error names the invalid field and what it must be. */
class SettingsCheckTest {
    private ObjectNode configuration;

    @BeforeEach
    void readExample() throws IOException {
        configuration = (ObjectNode)
                new ObjectMapper().readTree(Path.of("deploy/example.json").toFile());
    }

    private InvalidSettingsException rejected() {
        return assertThrows(
                InvalidSettingsException.class,
                () -> SettingsCheck.check(configuration.path("limits"), configuration.path("settings")));
    }

    private void assertRejected(String field, String message) {
        InvalidSettingsException rejected = rejected();
        assertEquals(field, rejected.field());
        assertEquals(message, rejected.getMessage());
    }

    @Test
    void acceptsExampleConfiguration() throws IOException {
        SettingsCheck.check(configuration.path("limits"), configuration.path("settings"));
    }

    @Test
    void namesMissingField() {
        ((ObjectNode) configuration.at("/settings/rules")).remove("cold");
        assertRejected("settings.rules.cold", "settings.rules.cold is missing; it must be a number above 0");
    }

    @Test
    void namesFieldOfWrongType() {
        ((ObjectNode) configuration.at("/settings/limits")).put("mayCancel", 1);
        assertRejected("settings.limits.mayCancel", "settings.limits.mayCancel must be true or false, not 1");
    }

    @Test
    void namesProductThatOccursTwice() {
        ArrayNode products = (ArrayNode) configuration.at("/settings/products");
        JsonNode first = products.get(0).deepCopy();
        String name = first.path("name").asText();
        products.insert(1, first);
        assertRejected("settings.products[1].name", "settings.products: " + name + ": named twice");
    }

    @Test
    void readerNamesMissingFieldOfProduct() {
        InvalidSettingsException rejected = assertThrows(
                InvalidSettingsException.class,
                () -> SettingsReader.read(new ObjectMapper().readTree("{\"products\":[{\"name\":\"a\"}]}")));
        assertEquals("settings.products.clientTimeout", rejected.field());
        assertEquals("settings: product a lacks clientTimeout", rejected.getMessage());
    }
}
