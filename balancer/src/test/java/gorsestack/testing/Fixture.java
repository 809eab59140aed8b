package gorsestack.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Represents a resource file with bytes that the program stores or sends, for tests that compare their output with it byte for byte. With
 * the system property {@code gorsestack.test.fixtures.write=true} the file is rewritten instead, and every test that uses one fails.
 */
public final class Fixture {
    private static final String WRITE_PROPERTY = "gorsestack.test.fixtures.write";
    private static final Path SOURCE_FOLDER = Path.of("balancer/src/test/resources/stored-forms");

    private final String name;

    public Fixture(String name) {
        this.name = name;
    }

    /** Returns the fixture's bytes; fails while fixtures are written. */
    public byte[] bytes() throws IOException {
        if (Boolean.getBoolean(WRITE_PROPERTY)) {
            fail(name + " is not read while fixtures are written");
        }
        return input();
    }

    /** Returns the fixture's bytes for a test that uses them as input and ends with {@link #assertSame} of another fixture. */
    public byte[] input() throws IOException {
        return Files.readAllBytes(SOURCE_FOLDER.resolve(name));
    }

    public String text() throws IOException {
        return new String(bytes(), StandardCharsets.UTF_8);
    }

    /** Fails unless the text equals the fixture byte for byte. */
    public void assertSame(String actual) throws IOException {
        if (Boolean.getBoolean(WRITE_PROPERTY)) {
            Files.createDirectories(SOURCE_FOLDER);
            Files.writeString(SOURCE_FOLDER.resolve(name), actual);
            fail("wrote " + name + ", compared nothing");
        }
        assertEquals(text(), actual, name);
    }

    /** Fails unless the bytes, which must be UTF-8 text, equal the fixture. */
    public void assertSame(byte[] actual) throws IOException {
        String decoded = StandardCharsets.UTF_8
                .newDecoder()
                .decode(ByteBuffer.wrap(actual))
                .toString();
        assertSame(decoded);
    }
}
