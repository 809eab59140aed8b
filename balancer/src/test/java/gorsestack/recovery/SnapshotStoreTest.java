package gorsestack.recovery;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.decision.LearnedLocality;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against state that is lost or damaged by a crash or a failed write, and against restoring state that is no longer valid. */
class SnapshotStoreTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long NOW = 1_764_000_000L * SECOND;

    @TempDir
    private Path folder;

    private final List<String> warnings = new ArrayList<>();

    private static PersistentState state(long incarnation, String... inMaintenance) {
        Map<String, PersistentState.MaintenanceOrder> orders = new TreeMap<>();
        for (String upstream : inMaintenance) {
            orders.put(upstream, new PersistentState.MaintenanceOrder(PersistentState.NOT_ENDED, NOW));
        }
        return new PersistentState(
                "n1",
                incarnation,
                NOW,
                orders,
                List.of(LearnedLocality.ofRow(4, 0.2, 0.01, 33)),
                NOW,
                new PersistentState.EndpointSnapshot(
                        41,
                        "127.0.0.1:8500",
                        NOW - 5,
                        List.of(
                                new PersistentState.StoredEndpoint(
                                        "s1", "127.0.0.1:80", "a", "m", 3, "in_service", 1, 7),
                                new PersistentState.StoredEndpoint(
                                        "s \"2\"\n", "", "b", "", 0, "terminating", 0.5, 0))));
    }

    private static String text(PersistentState state) {
        return StateCodec.write(state);
    }

    /** An unknown group is left out, so that an earlier version reads the file too, and is no group that a real upstream can have. */
    @Test
    void keepsAnUnknownGroupUnknown() {
        PersistentState.EndpointSnapshot snapshot = new PersistentState.EndpointSnapshot(
                41,
                "127.0.0.1:8500",
                NOW - 5,
                List.of(new PersistentState.StoredEndpoint("s1", "127.0.0.1:80", "", "m", null, "in_service", 1, 7)));
        String written = text(new PersistentState("n1", 7, NOW, Map.of(), List.of(), NOW, snapshot));
        assertFalse(written.contains("group"), written);
        assertEquals(snapshot, StateCodec.read(written).state().endpointSnapshot());
    }

    @Test
    void readsStateThatItHasWritten() {
        PersistentState state = state(7, "s1", "é \n\"x\"")
                .with(Map.of(
                        "s1",
                        new PersistentState.MaintenanceOrder(PersistentState.NOT_ENDED, 3),
                        "s2",
                        new PersistentState.MaintenanceOrder(9, 9)));
        StateCodec.DecodedState read = StateCodec.read(text(state));
        assertTrue(read.complete());
        assertEquals(state.maintenanceOrders(), read.state().maintenanceOrders());
        assertEquals(state.endpointSnapshot(), read.state().endpointSnapshot());
        assertArrayEquals(
                state.learned().get(0).toRow(), read.state().learned().get(0).toRow());
        assertEquals(text(state), text(read.state()));
    }

    /** Truncated or changed at any byte, a text causes no exception, yields no value that was not written, and loses no intact order. */
    @Test
    void readsOnlyOrdersFromDamagedText() {
        String text = text(state(7, "s1", "s2"));
        for (int cut = 0; cut < text.length(); cut++) {
            StateCodec.DecodedState read = StateCodec.read(text.substring(0, cut));
            assertFalse(read.complete(), "cut at " + cut);
            assertFalse(read.damage().isEmpty());
            assertNull(read.state().endpointSnapshot());
            int lines =
                    (int) text.substring(0, cut).chars().filter(c -> c == '\n').count();
            assertEquals(
                    Math.max(0, Math.min(2, lines - 2)),
                    read.state().maintenanceOrders().size(),
                    "cut at " + cut);
        }
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < bytes.length; i++) {
            byte[] changed = bytes.clone();
            changed[i] ^= 4;
            StateCodec.DecodedState read = StateCodec.read(new String(changed, StandardCharsets.UTF_8));
            assertFalse(read.complete(), "changed at " + i);
            assertTrue(
                    List.of("s1", "s2")
                            .containsAll(read.state().maintenanceOrders().keySet()),
                    "changed at " + i);
            assertTrue(
                    i <= text.indexOf('\n')
                            || bytes[i] == '\n'
                            || read.state().maintenanceOrders().size() >= 1,
                    "changed at " + i);
        }
    }

    @Test
    void readsOnlyOrdersOfLaterVersion() {
        String text = text(state(7, "s1"));
        StateCodec.DecodedState later = StateCodec.read(text.replace("state 1\n", "state 9\n"));
        assertFalse(later.complete());
        assertEquals(1, later.state().maintenanceOrders().size());
        assertNull(later.state().endpointSnapshot());
        assertTrue(later.damage().contains("version 9"), later.damage());
        assertEquals("it is not a state file", StateCodec.read("hello\n").damage());
    }

    /** Storage in memory that stops at a given step, as after a power failure, or throws an exception there. */
    private static final class FakeDisk implements Storage {
        private final Map<String, byte[]> files = new HashMap<>();
        private int steps;
        private int stopAt = Integer.MAX_VALUE;
        private boolean fails;

        private static final class Stopped extends RuntimeException {
            private static final long serialVersionUID = 1L;
        }

        private boolean step() throws IOException {
            if (steps++ == stopAt) {
                if (fails) {
                    throw new IOException("No space left on device");
                }
                throw new Stopped();
            }
            return true;
        }

        @Override
        public byte[] read(String file) {
            return files.get(file);
        }

        /** Writes 16 bytes per step. */
        @Override
        public void write(String file, byte[] bytes) throws IOException {
            for (int i = 0; i <= bytes.length; i += 16) {
                files.put(file, Arrays.copyOf(bytes, i));
                step();
            }
            files.put(file, bytes);
            step();
        }

        @Override
        public void append(String file, byte[] bytes) {
            throw new AssertionError("a state file must not be appended to");
        }

        @Override
        public void sync(String file) throws IOException {
            step();
        }

        @Override
        public void rename(String oldName, String newName) throws IOException {
            step();
            assertNotNull(files.get(oldName), oldName);
            files.put(newName, files.remove(oldName));
        }

        @Override
        public void syncFolder() throws IOException {
            step();
        }
    }

    /** After a crash or an error at any step of a write, the previous or the new state is loaded, with all orders of the previous one. */
    @Test
    void loadsCompleteStateAfterCrashOrErrorAtAnyStep() throws Exception {
        for (boolean fails : new boolean[] {false, true}) {
            int steps = 0;
            for (int stopAt = 0; ; stopAt++) {
                FakeDisk disk = new FakeDisk();
                disk.fails = fails;
                SnapshotStore store = new SnapshotStore(disk, "s", true, warnings::add);
                store.save(state(1, "s1"));
                store.save(state(2, "s1", "s2"));
                disk.steps = 0;
                disk.stopAt = stopAt;
                boolean saved = false;
                try {
                    store.save(state(3, "s1", "s2", "s3"));
                    saved = true;
                } catch (FakeDisk.Stopped | IOException e) {
                    steps++;
                }
                PersistentState loaded = new SnapshotStore(disk, "s", true, warnings::add).load();
                assertTrue(
                        loaded.incarnation() == 2 || loaded.incarnation() == 3,
                        "at " + stopAt + ": " + loaded.incarnation());
                assertTrue(loaded.maintenanceOrders().keySet().containsAll(List.of("s1", "s2")), "at " + stopAt);
                assertNotNull(loaded.endpointSnapshot());
                if (saved) {
                    assertEquals(3, loaded.incarnation());
                    break;
                }
                if (fails) {
                    disk.stopAt = Integer.MAX_VALUE;
                    store.save(state(4));
                    assertEquals(
                            4,
                            new SnapshotStore(disk, "s", true, warnings::add)
                                    .load()
                                    .incarnation(),
                            "a write after the error succeeds");
                }
            }
            assertTrue(steps > 20, steps + " steps");
        }
        assertTrue(warnings.stream().allMatch(line -> line.contains("could not be written")), warnings.toString());
    }

    @Test
    void warnsOncePerSeriesOfFailedWrites() throws Exception {
        FakeDisk disk = new FakeDisk();
        disk.fails = true;
        SnapshotStore store = new SnapshotStore(disk, "s", true, warnings::add);
        for (int i = 0; i < 3; i++) {
            disk.steps = 0;
            disk.stopAt = 0;
            assertThrows(IOException.class, () -> store.save(state(1)));
        }
        assertEquals(1, warnings.size());
        disk.stopAt = Integer.MAX_VALUE;
        store.save(state(1));
        disk.steps = 0;
        disk.stopAt = 0;
        assertThrows(IOException.class, () -> store.save(state(1)));
        assertEquals(2, warnings.size());
    }

    /** If the current copy is damaged, the backup is loaded, with the orders of both copies. */
    @Test
    void loadsBackupWithOrdersOfBothCopiesWhenCurrentCopyIsDamaged() throws Exception {
        FileStorage disk = new FileStorage(folder);
        SnapshotStore store = new SnapshotStore(disk, "s", true, warnings::add);
        store.save(state(1, "s1"));
        store.save(state(2, "s2"));
        Path file = folder.resolve("s");
        String text = Files.readString(file);
        Files.writeString(file, text.substring(0, text.length() - 3));
        assertTrue(store.changed());
        PersistentState found = store.load();
        assertFalse(store.changed());
        assertEquals(1, found.incarnation());
        assertEquals("[s1, s2]", found.maintenanceOrders().keySet().toString());
        assertEquals(1, warnings.size());
        Files.delete(file);
        Files.createDirectory(file);
        warnings.clear();
        assertEquals(1, store.load().incarnation());
        assertEquals(1, warnings.size());
        assertThrows(IOException.class, () -> store.save(state(3)));
    }

    @Test
    void laterOfTwoOrdersForAnUpstreamApplies() {
        Map<String, PersistentState.MaintenanceOrder> a = Map.of(
                "x",
                new PersistentState.MaintenanceOrder(PersistentState.NOT_ENDED, 5),
                "y",
                new PersistentState.MaintenanceOrder(6, 6),
                "z",
                new PersistentState.MaintenanceOrder(PersistentState.NOT_ENDED, 7));
        Map<String, PersistentState.MaintenanceOrder> b = Map.of(
                "x",
                new PersistentState.MaintenanceOrder(8, 8),
                "y",
                new PersistentState.MaintenanceOrder(PersistentState.NOT_ENDED, 5),
                "z",
                new PersistentState.MaintenanceOrder(7, 7));
        Map<String, PersistentState.MaintenanceOrder> both = PersistentState.merged(a, b);
        assertEquals(both, PersistentState.merged(b, a), "the result does not depend on the order of the arguments");
        assertEquals(
                "8 6 " + PersistentState.NOT_ENDED,
                both.get("x").endedAt() + " " + both.get("y").endedAt() + " "
                        + both.get("z").endedAt());
    }

    private RestorePolicy.Restored restored(PersistentState state, long now) {
        return RestorePolicy.of(state, "n1", now, "127.0.0.1:8500", 40, 20 * SECOND);
    }

    @Test
    void restoresOnlyWhatIsValidByAgeAndOrigin() {
        RestorePolicy.Restored fresh = restored(state(7, "s1"), NOW + SECOND);
        assertEquals(
                "1 2 1 []",
                fresh.maintenanceOrders().size() + " "
                        + fresh.endpointSnapshot().members().size() + " "
                        + fresh.learned().size() + " " + fresh.rejections());
        assertEquals(4 * StrictMath.exp(-0.2), fresh.learned().get(0).concurrencyLimit(), 1e-9);
        assertEquals(0.2, fresh.learned().get(0).latencyRatio(), 1e-9);
        RestorePolicy.Restored afterMaxAge = restored(state(7, "s1"), NOW + 20 * SECOND);
        assertEquals(
                "1 2 0",
                afterMaxAge.maintenanceOrders().size() + " "
                        + afterMaxAge.endpointSnapshot().members().size() + " "
                        + afterMaxAge.learned().size());
        assertEquals(1, afterMaxAge.rejections().size());
        RestorePolicy.Restored afterOneDay = restored(state(7, "s1"), NOW + 86_400 * SECOND);
        assertEquals(
                "1 true 0",
                afterOneDay.maintenanceOrders().size() + " " + (afterOneDay.endpointSnapshot() != null) + " "
                        + afterOneDay.learned().size());
        RestorePolicy.Restored inFuture = restored(state(7, "s1"), NOW - 2 * SECOND);
        assertEquals(
                "1 null 0",
                inFuture.maintenanceOrders().size() + " " + inFuture.endpointSnapshot() + " "
                        + inFuture.learned().size());
        RestorePolicy.Restored foreign = RestorePolicy.of(state(7, "s1"), "n2", NOW, "127.0.0.1:8500", 40, 20 * SECOND);
        assertEquals(
                "0 null 0 1",
                foreign.maintenanceOrders().size() + " " + foreign.endpointSnapshot() + " "
                        + foreign.learned().size() + " "
                        + foreign.rejections().size());
        assertNull(
                RestorePolicy.of(state(7), "n1", NOW, "127.0.0.1:8501", 40, SECOND)
                        .endpointSnapshot(),
                "the index of another discovery service is not comparable");
        assertNull(
                RestorePolicy.of(state(7), "n1", NOW, "127.0.0.1:8500", 42, SECOND)
                        .endpointSnapshot(),
                "the list in the configuration is newer");
        assertEquals(List.of(), restored(PersistentState.NONE, NOW).rejections());
    }

    /** The incarnation increases at each start: from the stored one, or with the clock if the state is lost. */
    @Test
    void incarnationIncreasesAtEachStart() {
        long fromClock = NOW / 1_000_000;
        assertEquals(fromClock, restored(PersistentState.NONE, NOW).incarnation());
        assertEquals(fromClock, restored(state(7), NOW).incarnation());
        assertEquals(fromClock + 6, restored(state(fromClock + 5), NOW).incarnation(), "the clock was set back");
        assertTrue(restored(PersistentState.NONE, NOW + SECOND).incarnation()
                > restored(state(7), NOW).incarnation());
    }

    /**
     * When up to 1000 balancers restart at once, all send their request by the deadline or, if that is sooner than two seconds, within two
     * seconds, and no more per second than allowed.
     */
    @Test
    void spreadsListRequestsOfRestartingFleet() {
        for (int count : new int[] {1, 8, 24, 1000}) {
            for (long remainingSeconds : new long[] {-3, 0, 1, 5, 9}) {
                long deadline = NOW + remainingSeconds * SECOND;
                long[] times = new long[count];
                for (int i = 0; i < count; i++) {
                    times[i] = RestorePolicy.listRequestTime(NOW, deadline, 10 * SECOND, count, (i + 0.5) / count);
                    assertTrue(times[i] >= NOW && times[i] <= Math.max(deadline, NOW + 2 * SECOND));
                }
                Arrays.sort(times);
                double maxRate = Math.max(4, Math.min(count / 2.0, count / Math.max(1.0, (double) remainingSeconds)));
                for (int i = 0; i < count; i++) {
                    long until = times[i] + SECOND;
                    assertTrue(
                            Arrays.stream(times)
                                            .skip(i)
                                            .takeWhile(t -> t < until)
                                            .count()
                                    <= Math.ceil(maxRate) + 1,
                            count + " " + remainingSeconds);
                }
            }
        }
    }

    @Test
    void reducesLimitsOnlyWhereUpstreamsAreFewer() {
        List<LearnedLocality> restored = List.of(
                LearnedLocality.ofRow(12, 0.2, 0.1, 30, 6),
                LearnedLocality.ofRow(8, 0.2, 0.1, 30, 4),
                LearnedLocality.ofRow(1, 0, 0, 0));
        List<LearnedLocality> current = List.of(
                LearnedLocality.ofRow(10, 0.3, 0.1, 9, 3),
                LearnedLocality.ofRow(8, 0.2, 0.1, 30, 5),
                LearnedLocality.ofRow(1, 0, 0, 0, 1));
        List<LearnedLocality> now = RestorePolicy.limitsReducedToMembers(restored, current);
        assertArrayEquals(new double[] {5, 0.3, 0.1, 9, 3}, now.get(0).toRow());
        assertArrayEquals(new double[] {8, 0.2, 0.1, 30, 5}, now.get(1).toRow());
        assertArrayEquals(new double[] {1, 0, 0, 0, 1}, now.get(2).toRow());
        assertNull(RestorePolicy.limitsReducedToMembers(
                restored,
                List.of(LearnedLocality.ofRow(10, 0.3, 0.1, 9, 6), LearnedLocality.ofRow(8, 0.2, 0.1, 30, 4))));
    }
}
