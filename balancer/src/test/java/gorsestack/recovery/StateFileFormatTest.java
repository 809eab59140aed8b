package gorsestack.recovery;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.LearnedLocality;
import gorsestack.testing.Fixture;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against changes of the state file's format, by which an upgrade would lose maintenance orders. Compares files with fixtures. */
class StateFileFormatTest {
    private static final Fixture CURRENT = new Fixture("state-file.txt");
    private static final Fixture EMPTY = new Fixture("state-file-empty.txt");
    private static final Fixture VERSION_0_5 = new Fixture("state-file-0.5.txt");
    private static final Fixture UPGRADED = new Fixture("state-file-0.5-rewritten.txt");
    private static final long SECOND = 1_000_000_000L;
    private static final long NOW = 1_764_000_000L * SECOND;

    @TempDir
    private Path folder;

    private final List<String> warnings = new ArrayList<>();

    private SnapshotStore store() {
        return new SnapshotStore(new FileStorage(folder), "state", true, warnings::add);
    }

    private Path file() {
        return folder.resolve("state");
    }

    private static PersistentState state() {
        Map<String, PersistentState.MaintenanceOrder> orders = Map.of(
                "s1",
                new PersistentState.MaintenanceOrder(PersistentState.NOT_ENDED, NOW - 3),
                "s \"2\"\n/é€",
                new PersistentState.MaintenanceOrder(NOW - SECOND, NOW - SECOND + 1));
        List<LearnedLocality> learned = List.of(
                LearnedLocality.ofRow(4, 0.2, 0.01, 33), LearnedLocality.ofRow(2e-9, 1e20), LearnedLocality.ofRow());
        return new PersistentState(
                "n1 é",
                1_764_000_000_123L,
                NOW,
                orders,
                learned,
                NOW - 7,
                endpointSnapshot(),
                new ClockOrigin("0f5e8a52-0000-4000-8000-000000000001", NOW - 12_345));
    }

    private static PersistentState.EndpointSnapshot endpointSnapshot() {
        return new PersistentState.EndpointSnapshot(
                41,
                "127.0.0.1:8500",
                NOW - 5,
                List.of(
                        new PersistentState.StoredEndpoint("s1", "127.0.0.1:80", "a", "m2", 3, "in_service", 1, 7),
                        new PersistentState.StoredEndpoint("s \"2\"\n", "", "b", "", 0, "terminating", 0.5, 0)));
    }

    @Test
    void writesStateFileOfFixture() throws IOException {
        store().save(state());
        CURRENT.assertSame(Files.readAllBytes(file()));
    }

    @Test
    void writesStateFileOfFixtureForEmptyState() throws IOException {
        store().save(PersistentState.NONE);
        EMPTY.assertSame(Files.readAllBytes(file()));
    }

    @Test
    void keepsPreviousCopyAsBackup() throws IOException {
        SnapshotStore store = store();
        store.save(state());
        store.save(PersistentState.NONE);
        CURRENT.assertSame(Files.readAllBytes(folder.resolve("state.old")));
    }

    @Test
    void readsStateFileOfFixture() throws IOException {
        Files.write(file(), CURRENT.bytes());
        PersistentState read = store().load();
        PersistentState expected = state();
        assertEquals(List.of(), warnings);
        assertEquals(expected.name(), read.name());
        assertEquals(expected.incarnation(), read.incarnation());
        assertEquals(expected.writtenAt(), read.writtenAt());
        assertEquals(expected.maintenanceOrders(), read.maintenanceOrders());
        assertEquals(expected.learnedAt(), read.learnedAt());
        assertArrayEquals(expected.learned().toArray(), read.learned().toArray());
        assertEquals(expected.endpointSnapshot(), read.endpointSnapshot());
        assertEquals(expected.clock(), read.clock());
    }

    @Test
    void writesSameFileAfterReadingIt() throws IOException {
        Files.write(file(), CURRENT.bytes());
        SnapshotStore store = store();
        store.save(store.load());
        CURRENT.assertSame(Files.readAllBytes(file()));
    }

    /** Version 0.5 wrote this format. The current version reads it and writes its own. */
    @Test
    void readsStateFileOfVersion05() throws IOException {
        StateCodec.DecodedState read = StateCodec.read(VERSION_0_5.text());
        assertTrue(read.complete(), read.damage());
        assertEquals(
                Map.of(
                        "s/1 é+",
                        new PersistentState.MaintenanceOrder(PersistentState.NOT_ENDED, 0),
                        "s2",
                        new PersistentState.MaintenanceOrder(1_764_000_000_000_000_000L, 1_764_000_000_000_000_000L)),
                read.state().maintenanceOrders());
    }

    @Test
    void writesCurrentFormatAfterReadingVersion05() throws IOException {
        Files.write(file(), VERSION_0_5.input());
        SnapshotStore store = store();
        store.save(store.load());
        UPGRADED.assertSame(Files.readAllBytes(file()));
    }
}
