package gorsestack.fleet;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** A member's disk: of what was not flushed a crash leaves as much as chance has it, from the front. */
final class SimStore implements RaftStore {
    private RaftEndpointPersistentState local;
    private RaftGroupMembersView members;
    private RaftTermPersistentState term;
    private final TreeMap<Long, LogEntry> log = new TreeMap<>();
    private final List<SnapshotChunk> chunks = new ArrayList<>();
    private final List<Runnable> unflushed = new ArrayList<>();
    /** Each write fails from now on. */
    boolean failing;

    private void check() throws IOException {
        if (failing) {
            throw new IOException("the disk is full");
        }
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        check();
        local = state;
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView view) throws IOException {
        check();
        members = view;
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        check();
        term = state;
    }

    @Override
    public void persistLogEntries(List<LogEntry> entries) throws IOException {
        check();
        List<LogEntry> some = List.copyOf(entries);
        unflushed.add(() -> some.forEach(e -> log.put(e.getIndex(), e)));
    }

    @Override
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        check();
        unflushed.add(() -> chunks.add(chunk));
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        check();
        unflushed.add(() -> log.tailMap(index, true).clear());
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        check();
        unflushed.add(() -> log.headMap(index, true).clear());
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        check();
        unflushed.add(() -> chunks.removeIf(c -> c.getIndex() == index));
    }

    @Override
    public void flush() throws IOException {
        check();
        unflushed.forEach(Runnable::run);
        unflushed.clear();
    }

    /** The process is gone; so many of what it had not flushed are there all the same. */
    void crash(double share) {
        unflushed.subList(0, (int) (share * unflushed.size())).forEach(Runnable::run);
        unflushed.clear();
        failing = false;
    }

    /** What the next process finds; null for nothing. */
    RestoredRaftState restored() {
        if (local == null || members == null) {
            return null;
        }
        SnapshotEntry snapshot = null;
        if (!chunks.isEmpty()) {
            SnapshotChunk last = chunks.get(chunks.size() - 1);
            List<Object> all = new ArrayList<>();
            chunks.stream().filter(c -> c.getIndex() == last.getIndex()).forEach(all::add);
            snapshot = new io.microraft.model.impl.log.DefaultSnapshotEntryOrBuilder().setIndex(last.getIndex()).setTerm(last.getTerm())
                    .setSnapshotChunks(all.stream().map(c -> (SnapshotChunk) c).toList()).setGroupMembersView(last.getGroupMembersView()).build();
        }
        RaftTermPersistentState held = term != null ? term
                : new io.microraft.model.impl.persistence.DefaultRaftTermPersistentStateOrBuilder().setTerm(0).setVotedFor((RaftEndpoint) null).build();
        return new RestoredRaftState(local, members, held, snapshot, new ArrayList<>(log.values()));
    }
}
