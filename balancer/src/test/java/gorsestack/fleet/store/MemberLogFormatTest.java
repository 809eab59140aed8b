package gorsestack.fleet.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorsestack.fleet.ConsensusNode.Member;
import gorsestack.fleet.LeaseCommand;
import gorsestack.fleet.LeaseOwner;
import gorsestack.fleet.LeaseTable;
import gorsestack.recovery.FileStorage;
import gorsestack.testing.Fixture;
import io.microraft.RaftEndpoint;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compares the member log with stored fixtures, as it is appended to and as the next process compacts it. The format must stay readable for
 * later versions.
 */
class MemberLogFormatTest {
    private static final Fixture ENTRIES = new Fixture("member-log-entries.txt");
    private static final Fixture APPENDED = new Fixture("member-log-appended.txt");
    private static final Fixture COMPACTED = new Fixture("member-log-rewritten.txt");
    private static final DefaultRaftModelFactory MODELS = new DefaultRaftModelFactory();
    private static final int TERM = 3;
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

    private MemberLog log() throws IOException {
        return new MemberLog(new FileStorage(folder), "log");
    }

    private byte[] stored() throws IOException {
        return Files.readAllBytes(folder.resolve("log"));
    }

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
                .setTerm(TERM)
                .setOperation(operation)
                .build();
    }

    private static void writeEntries(MemberLog log) throws IOException {
        log.persistAndFlushLocalEndpoint(MODELS.createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(new Member(2, 9))
                .setVoting(true)
                .build());
        log.persistAndFlushInitialGroupMembers(members());
        log.persistAndFlushTerm(
                MODELS.createRaftTermPersistentStateBuilder().setTerm(TERM - 1).build());
        log.persistAndFlushTerm(MODELS.createRaftTermPersistentStateBuilder()
                .setTerm(TERM)
                .setVotedFor(new Member(1, 1))
                .build());
        for (int i = 0; i < OPERATIONS.size(); i++) {
            log.persistLogEntries(List.of(entry(i + 1, OPERATIONS.get(i))));
        }
        log.flush();
    }

    private static Map<String, LeaseTable.Entry> leases() {
        Map<String, LeaseTable.Entry> leases = new TreeMap<>();
        leases.put("d", new LeaseTable.Entry(4, OWNER, 1, 3_000, Map.of("w", "what\n{}")));
        leases.put("free", new LeaseTable.Entry(2, null, 1, 500, Map.of()));
        return leases;
    }

    private static void writeSnapshot(MemberLog log, long index) throws IOException {
        log.persistSnapshotChunk(MODELS.createSnapshotChunkBuilder()
                .setIndex(index)
                .setTerm(TERM)
                .setSnapshotChunkIndex(0)
                .setSnapshotChunkCount(1)
                .setGroupMembersView(members())
                .setOperation(leases())
                .build());
    }

    private static void writeAll(MemberLog log) throws IOException {
        writeEntries(log);
        writeSnapshot(log, 2);
        writeSnapshot(log, 4);
        log.deleteSnapshotChunks(2, 1);
        log.truncateLogEntriesUntil(3);
        log.truncateLogEntriesFrom(6);
        log.flush();
    }

    @Test
    void writesEntriesAsInFixture() throws IOException {
        writeEntries(log());
        ENTRIES.assertSame(stored());
    }

    @Test
    void appendsSnapshotsAndTruncationsAsInFixture() throws IOException {
        writeAll(log());
        APPENDED.assertSame(stored());
    }

    @Test
    void compactsAppendedFixtureToCompactedFixtureWhenOpened() throws IOException {
        Files.write(folder.resolve("log"), APPENDED.input());
        log();
        COMPACTED.assertSame(stored());
    }

    @Test
    void restoresStateFromFixtureOfEntries() throws IOException {
        Files.write(folder.resolve("log"), ENTRIES.bytes());
        RestoredRaftState restored = log().restored();
        assertEquals(
                new Member(2, 9), restored.getLocalEndpointPersistentState().getLocalEndpoint());
        assertTrue(restored.getLocalEndpointPersistentState().isVoting());
        assertEquals(TERM, restored.getTermPersistentState().getTerm());
        assertEquals(new Member(1, 1), restored.getTermPersistentState().getVotedFor());
        assertEquals(
                List.copyOf(members().getMembers()),
                List.copyOf(restored.getInitialGroupMembers().getMembers()));
        assertEquals(
                List.copyOf(members().getVotingMembers()),
                List.copyOf(restored.getInitialGroupMembers().getVotingMembers()));
        assertEquals(
                OPERATIONS,
                restored.getLogEntries().stream().map(LogEntry::getOperation).toList());
    }

    @Test
    void restoresSnapshotFromAppendedAndCompactedFixtures() throws IOException {
        for (Fixture fixture : List.of(APPENDED, COMPACTED)) {
            Files.write(folder.resolve("log"), fixture.bytes());
            RestoredRaftState restored = log().restored();
            assertEquals(4, restored.getSnapshotEntry().getIndex());
            assertEquals(
                    List.of(5L),
                    restored.getLogEntries().stream().map(LogEntry::getIndex).toList());
            assertTrue(restored.getSnapshotEntry().getOperation().toString().contains(leases().toString()));
        }
    }
}
