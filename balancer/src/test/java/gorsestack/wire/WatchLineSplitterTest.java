package gorsestack.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against watch events that are cut in two or joined, when a document spans several lines or strings hold brackets. */
class WatchLineSplitterTest {
    private static List<String> split(String text) {
        WatchLineSplitter splitter = new WatchLineSplitter();
        List<String> events = new ArrayList<>();
        for (byte next : text.getBytes(StandardCharsets.ISO_8859_1)) {
            if (splitter.add(next)) {
                events.add(new String(splitter.take(), StandardCharsets.ISO_8859_1));
                assertEquals(0, splitter.size());
            }
        }
        return events;
    }

    @Test
    void splitsEventsAtLineEnds() {
        assertEquals(List.of("{\"a\":1}\n", "\n", "{}\n"), split("{\"a\":1}\n\n{}\nrest"));
    }

    @Test
    void keepsIndentedDocumentInOnePiece() {
        assertEquals(List.of("{\n \"a\": [\n1\n]\n}\n", "\n"), split("{\n \"a\": [\n1\n]\n}\n\n"));
    }

    @Test
    void ignoresBracketsAndQuotesWithinStrings() {
        assertEquals(List.of("{\"a\":\"}\\\"]{\\\\\"}\n", "x\n"), split("{\"a\":\"}\\\"]{\\\\\"}\nx\n"));
    }
}
