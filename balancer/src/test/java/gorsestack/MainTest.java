package gorsestack;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Tests the options of the program itself. */
class MainTest {
    /** Guards against a release whose pom, newest changelog entry and printed version differ. */
    @Test
    void printsVersionOfPomAndChangelog() throws IOException {
        StringWriter out = new StringWriter();
        assertEquals(0, new CommandLine(new Main()).setOut(new PrintWriter(out)).execute("--version"));
        assertEquals(
                "gorsestack " + firstMatch("CHANGELOG.md", "(?m)^## (\\d+\\.\\d+\\.\\d+)"),
                out.toString().strip());
        assertEquals(
                "gorsestack " + firstMatch("pom.xml", "<version>([^<]+)</version>"),
                out.toString().strip());
    }

    private static String firstMatch(String file, String pattern) throws IOException {
        Matcher found = Pattern.compile(pattern).matcher(Files.readString(Path.of(file)));
        return found.find() ? found.group(1) : "none in " + file;
    }
}
