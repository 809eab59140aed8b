package gorsestack.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the table of calls that may have been executed, within one process and between two. */
class ExecutedCallsTest {
    private static final long SECOND = 1_000_000_000L;

    @TempDir
    private Path folder;

    /** Few enough that no bucket of the table is full. */
    private static final int IDS = 2_000;

    private long now = 70_000 * SECOND;

    @Test
    void remembersAnIdForAMinute() {
        ExecutedCalls calls = ExecutedCalls.inMemory(() -> now);
        assertTrue(calls.add("a"));
        assertTrue(calls.add("b"));
        now += 59 * SECOND;
        assertFalse(calls.add("a"));
        now += 2 * SECOND;
        assertTrue(calls.add("a"));
        assertFalse(calls.add("a"));
    }

    @Test
    void forgetsAnIdThatIsRemoved() {
        ExecutedCalls calls = ExecutedCalls.inMemory(() -> now);
        assertTrue(calls.add("a"));
        calls.remove("unknown");
        assertFalse(calls.add("a"));
        calls.remove("a");
        assertTrue(calls.add("a"));
    }

    /** Guards against memory that grows with the number of calls, and against a new id that is taken for an old one. */
    @Test
    void acceptsAnyNumberOfIds() {
        ExecutedCalls calls = ExecutedCalls.inMemory(() -> now);
        for (int i = 0; i < 500_000; i++) {
            assertTrue(calls.add("call-" + i));
        }
        assertFalse(calls.add("call-499999"), "the newest ones are remembered");
    }

    /** Guards against a call that is executed a second time by the other process of an upgrade, or by the next process. */
    @Test
    void sharesIdsBetweenProcesses() throws IOException {
        Path file = folder.resolve("calls");
        ExecutedCalls first = ExecutedCalls.shared(file, () -> now);
        assertTrue(first.add("before"));
        ExecutedCalls second = ExecutedCalls.shared(file, () -> now);
        assertFalse(second.add("before"));
        assertTrue(second.add("at the second"));
        assertFalse(first.add("at the second"));
        second.remove("before");
        assertTrue(first.add("before"));
    }

    @Test
    void letsOnlyOneOfTwoProcessesAddAnId() throws Exception {
        Path file = folder.resolve("calls");
        ExecutedCalls first = ExecutedCalls.shared(file, () -> now);
        ExecutedCalls second = ExecutedCalls.shared(file, () -> now);
        AtomicInteger added = new AtomicInteger();
        Thread other = new Thread(() -> addAll(first, added));
        other.start();
        addAll(second, added);
        other.join();
        assertEquals(IDS, added.get());
    }

    private static void addAll(ExecutedCalls calls, AtomicInteger added) {
        for (int i = 0; i < IDS; i++) {
            if (calls.add("id" + i)) {
                added.incrementAndGet();
            }
        }
    }

    @Test
    void completesAShortFileAndKeepsItsEntries() throws IOException {
        Path file = folder.resolve("calls");
        Files.write(file, new byte[100]);
        assertTrue(ExecutedCalls.shared(file, () -> now).add("a"));
        assertFalse(ExecutedCalls.shared(file, () -> now).add("a"));
    }

    @Test
    void failsWhereNoFileCanBeCreated() {
        assertThrows(
                IOException.class,
                () -> ExecutedCalls.shared(folder.resolve("missing").resolve("calls")));
    }
}
