package gorsestack.fleet.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.fleet.ConsensusNode.Member;
import gorsestack.fleet.CrashingStorage;
import gorsestack.fleet.LeaseCommand;
import gorsestack.fleet.LeaseOwner;
import gorsestack.fleet.LeaseTable;
import gorsestack.recovery.FileStorage;
import io.microraft.RaftEndpoint;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that the member log restores what was written, detects damage, stays bounded and rejects writes after a failed one. */
class MemberLogTest {
    private static final DefaultRaftModelFactory MODELS = new DefaultRaftModelFactory();
    private static final LeaseOwner OWNER = new LeaseOwner(2, 5);
    private static final List<Object> OPERATIONS = List.of(
            "term",
            new LeaseCommand.Acquire("d \"é\"\n", OWNER, 1, 0, 3_000, 7),
            new LeaseCommand.Renew("d", OWNER, 2, 1, 1_000, 3),
            new LeaseCommand.BeginWork("d", OWNER, 3, 1, "w", "what\n{}"),
            new LeaseCommand.FinishWork("d", OWNER, 4, 1, "w"),
            new LeaseCommand.Release("d", OWNER, 5, 1));

    @TempDir
    private Path folder;

    private static RaftGroupMembersView members() {
        List<RaftEndpoint> endpoints = List.of(new Member(0, 1), new Member(1, 1), new Member(2, 9));
        return MODELS.createRaftGroupMembersViewBuilder()
                .setLogIndex(0)
                .setMembers(endpoints)
                .setVotingMembers(endpoints.subList(0, 2))
                .build();
    }

    private static LogEntry entry(long index, Object operation) {
        return MODELS.createLogEntryBuilder()
                .setIndex(index)
                .setTerm(3)
                .setOperation(operation)
                .build();
    }

    private static void writeEntries(MemberLog log) throws IOException {
        log.persistAndFlushLocalEndpoint(MODELS.createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(new Member(2, 9))
                .setVoting(true)
                .build());
        log.persistAndFlushInitialGroupMembers(members());
        log.persistAndFlushTerm(MODELS.createRaftTermPersistentStateBuilder()
                .setTerm(3)
                .setVotedFor(new Member(1, 1))
                .build());
        for (int i = 0; i < OPERATIONS.size(); i++) {
            log.persistLogEntries(List.of(entry(i + 1, OPERATIONS.get(i))));
        }
        log.flush();
    }

    private static String describe(RestoredRaftState state) {
        return state.getLocalEndpointPersistentState().getLocalEndpoint() + " "
                + state.getTermPersistentState().getTerm() + " "
                + state.getTermPersistentState().getVotedFor() + " "
                + state.getInitialGroupMembers().getVotingMembers().size() + " "
                + state.getLogEntries().stream()
                        .map(e -> e.getIndex() + ":" + e.getTerm() + ":" + e.getOperation())
                        .toList()
                + " "
                + (state.getSnapshotEntry() == null
                        ? ""
                        : state.getSnapshotEntry().getIndex());
    }

    @Test
    void restoresStateThatWasWritten() throws Exception {
        MemberLog log = new MemberLog(new FileStorage(folder), "log");
        assertNull(log.restored());
        writeEntries(log);
        RestoredRaftState restored = new MemberLog(new FileStorage(folder), "log").restored();
        assertEquals(describe(log.restored()), describe(restored));
        assertEquals(
                OPERATIONS,
                restored.getLogEntries().stream().map(LogEntry::getOperation).toList());
        assertEquals(new Member(1, 1), restored.getTermPersistentState().getVotedFor());
    }

    /**
     * A file that is cut off at any byte is restored up to its last whole line. A file with a changed byte before an intact line is
     * rejected.
     */
    @Test
    void dropsTruncatedLastLineAndRejectsOtherDamage() throws Exception {
        CrashingStorage disk = new CrashingStorage(() -> 0);
        MemberLog log = new MemberLog(disk, "log");
        writeEntries(log);
        byte[] content = disk.read("log");
        int lastEntries = 0;
        for (int length = 0; length <= content.length; length++) {
            CrashingStorage truncated = new CrashingStorage(() -> 0);
            truncated.write("log", Arrays.copyOf(content, length));
            RestoredRaftState restored = new MemberLog(truncated, "log").restored();
            int entries = restored == null ? 0 : restored.getLogEntries().size();
            assertTrue(entries == lastEntries || entries == lastEntries + 1, "truncated at byte " + length);
            lastEntries = entries;
            // An entry that is appended after the truncation is restored after the intact ones.
            if (restored != null && length % 7 == 0) {
                MemberLog reopened = new MemberLog(truncated, "log");
                reopened.persistLogEntries(List.of(entry(99, "more")));
                reopened.flush();
                List<LogEntry> entriesNow =
                        new MemberLog(truncated, "log").restored().getLogEntries();
                assertEquals("more", entriesNow.get(entriesNow.size() - 1).getOperation());
            }
        }
        assertEquals(OPERATIONS.size(), lastEntries);
        int lastLine =
                new String(content, java.nio.charset.StandardCharsets.ISO_8859_1).lastIndexOf('\n', content.length - 2)
                        + 1;
        for (int i = 0; i < lastLine - 1; i++) {
            CrashingStorage damaged = new CrashingStorage(() -> 0);
            byte[] changed = content.clone();
            changed[i] ^= 1;
            damaged.write("log", changed);
            assertThrows(IOException.class, () -> new MemberLog(damaged, "log"), "changed at byte " + i);
        }
    }

    @Test
    void restoresSnapshotAndTruncationsAndKeepsFileBounded() throws Exception {
        CrashingStorage disk = new CrashingStorage(() -> 0);
        MemberLog log = new MemberLog(disk, "log");
        writeEntries(log);
        int maxBytes = 0;
        for (int i = 7; i < 60_000; i++) {
            log.persistLogEntries(List.of(entry(i, new LeaseCommand.Renew("d", OWNER, i, 1, 1_000, 3))));
            if (i % 2_000 == 0) {
                log.persistSnapshotChunk(MODELS.createSnapshotChunkBuilder()
                        .setIndex(i)
                        .setTerm(3)
                        .setSnapshotChunkIndex(0)
                        .setSnapshotChunkCount(1)
                        .setGroupMembersView(members())
                        .setOperation(Map.of("d", new LeaseTable.Entry(i, OWNER, 1, 3_000, Map.of("w", "what"))))
                        .build());
                log.flush();
                log.deleteSnapshotChunks(i - 2_000, 1);
                log.truncateLogEntriesUntil(i);
            }
            if (i % 500 == 0) {
                log.flush();
                maxBytes = Math.max(maxBytes, disk.read("log").length);
            }
        }
        log.truncateLogEntriesFrom(59_999);
        log.flush();
        assertTrue(maxBytes < 3 << 20, maxBytes + " bytes");
        RestoredRaftState restored = new MemberLog(disk, "log").restored();
        assertEquals(58_000, restored.getSnapshotEntry().getIndex());
        assertEquals(1_998, restored.getLogEntries().size());
        Object entries = restored.getSnapshotEntry().getOperation();
        assertTrue(entries.toString().contains("what"), entries.toString());
    }

    /** Guards against whole lines after the half line of a failed write, which a later process would take for damage and reject. */
    @Test
    void rejectsWritesAfterAFailedWrite() throws Exception {
        CrashingStorage disk = new CrashingStorage(() -> 0.5);
        MemberLog log = new MemberLog(disk, "log");
        writeEntries(log);
        disk.full = true;
        log.persistLogEntries(List.of(entry(7, "x")));
        assertThrows(IOException.class, log::flush);
        disk.full = false;
        assertThrows(IOException.class, () -> log.persistLogEntries(List.of(entry(7, "y"))));
        assertThrows(IOException.class, log::flush);
        assertEquals(
                OPERATIONS.size(),
                new MemberLog(disk, "log").restored().getLogEntries().size());
    }
}
