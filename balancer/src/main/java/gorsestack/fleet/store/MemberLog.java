package gorsestack.fleet.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorsestack.fleet.ConsensusNode.Member;
import gorsestack.fleet.LeaseTable.Entry;
import gorsestack.recovery.StateCodec;
import gorsestack.recovery.Storage;
import io.microraft.RaftEndpoint;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The durable Raft log of a member: an append-only file in which each line has a checksum and a JSON object. The file is compacted when
 * snapshots have made most of it obsolete. Everything is synced before it is acknowledged. Used by the thread of the member's {@link
 * gorsestack.fleet.ConsensusNode}; not thread-safe.
 *
 * <p>A tail without intact lines comes from a write that was cut off. It was never acknowledged and is dropped. After any other damage, or
 * after a failed write, the member must not vote any more, because it would confirm entries and votes that it may have lost.
 */
public final class MemberLog implements RaftStore {
    /**
     * Maximum size of the file that is read, in bytes. The entries of two snapshots, of some 300 bytes each, come to a tenth of it, so a
     * larger file is not a log of this program.
     */
    static final int MAX_BYTES = 16 << 20;

    private static final int FORMAT_VERSION = 1;
    /** Number of obsolete bytes, in addition to as many as there are live bytes, above which the file is compacted. */
    private static final int MAX_OBSOLETE_BYTES = 1 << 20;

    private static final DefaultRaftModelFactory MODELS = new DefaultRaftModelFactory();

    private final Storage storage;
    private final String file;
    private final StringBuilder unwritten = new StringBuilder();
    private final TreeMap<Long, ObjectNode> entries = new TreeMap<>();
    private ObjectNode local;
    private ObjectNode members;
    private ObjectNode term;
    private List<ObjectNode> chunks = new ArrayList<>();
    private long fileBytes;
    private long liveBytes;
    private boolean failed;

    /**
     * Reads the log of an earlier process of this member, if there is one, and compacts it.
     *
     * @throws IOException if the log cannot be read, is too large, is damaged before an intact line, or has an unknown format
     */
    public MemberLog(Storage storage, String file) throws IOException {
        this.storage = storage;
        this.file = file;
        byte[] content = storage.read(file);
        if (content != null) {
            if (content.length > MAX_BYTES) {
                throw new IOException(file + " is too large for a member log: " + content.length + " bytes");
            }
            read(new String(content, StandardCharsets.UTF_8));
            // The file is compacted at once, because lines appended after one that was cut off could never be read.
            compact();
        }
    }

    private void read(String text) throws IOException {
        int from = 0;
        while (from < text.length()) {
            int end = text.indexOf('\n', from);
            String json = end < 0 ? null : StateCodec.verifiedJson(text.substring(from, end));
            if (json == null) {
                for (int next = end; next >= 0 && next < text.length() - 1; ) {
                    int after = text.indexOf('\n', next + 1);
                    if (after >= 0 && StateCodec.verifiedJson(text.substring(next + 1, after)) != null) {
                        throw new IOException(file + " is damaged at byte " + from
                                + " and has intact lines after it; this member must not vote under" + " its identity");
                    }
                    next = after;
                }
                return;
            }
            applyLine((ObjectNode) LeaseJson.read(json));
            from = end + 1;
        }
    }

    private void applyLine(ObjectNode line) throws IOException {
        switch (line.path("is").asText()) {
            case "local" -> {
                if (line.path("form").asInt() != FORMAT_VERSION) {
                    throw new IOException(
                            file + " has format version " + line.path("form").asInt() + ", expected " + FORMAT_VERSION);
                }
                local = line;
            }
            case "members" -> members = line;
            case "term" -> term = line;
            case "entry" -> entries.put(line.path("index").asLong(), line);
            case "from" -> entries.tailMap(line.path("index").asLong(), true).clear();
            case "until" -> entries.headMap(line.path("index").asLong(), true).clear();
            case "chunk" -> chunks.add(line);
            case "unchunk" ->
                chunks.removeIf(chunk ->
                        chunk.path("index").asLong() == line.path("index").asLong());
            default ->
                throw new IOException(file + " has a line of an unknown kind: "
                        + line.path("is").asText());
        }
    }

    /** Returns the node as a line of the file, with its checksum. */
    private static String line(ObjectNode node) {
        return StateCodec.line(node.toString());
    }

    private void add(ObjectNode node) throws IOException {
        checkWritable();
        applyLine(node);
        unwritten.append(line(node));
    }

    private void checkWritable() throws IOException {
        if (failed) {
            throw new IOException(
                    file + " cannot be written after an earlier write failed; this member no longer votes");
        }
    }

    @Override
    public void flush() throws IOException {
        checkWritable();
        if (unwritten.length() == 0) {
            return;
        }
        // The flag stays set until the write has succeeded: a failed write may leave half a line, after which nothing
        // may be appended.
        failed = true;
        byte[] appended = unwritten.toString().getBytes(StandardCharsets.UTF_8);
        storage.append(file, appended);
        storage.sync(file);
        if (fileBytes == 0) {
            storage.syncFolder();
        }
        fileBytes += appended.length;
        unwritten.setLength(0);
        failed = false;
        if (fileBytes > 2 * liveBytes + MAX_OBSOLETE_BYTES) {
            compact();
        }
    }

    private void compact() throws IOException {
        failed = true;
        StringBuilder text = new StringBuilder();
        for (ObjectNode node : new ObjectNode[] {local, members, term}) {
            if (node != null) {
                text.append(line(node));
            }
        }
        chunks.forEach(chunk -> text.append(line(chunk)));
        entries.values().forEach(entry -> text.append(line(entry)));
        byte[] content = text.toString().getBytes(StandardCharsets.UTF_8);
        storage.write(file + ".new", content);
        storage.sync(file + ".new");
        storage.rename(file + ".new", file);
        storage.syncFolder();
        fileBytes = content.length;
        liveBytes = content.length;
        failed = false;
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        add(LeaseJson.object()
                .put("is", "local")
                .put("form", FORMAT_VERSION)
                .put("votes", state.isVoting())
                .set("member", LeaseJson.of((Member) state.getLocalEndpoint())));
        flush();
    }

    private static ObjectNode members(RaftGroupMembersView view) {
        ObjectNode node = LeaseJson.object().put("index", view.getLogIndex());
        ArrayNode all = node.putArray("all");
        view.getMembers().forEach(member -> all.add(LeaseJson.of((Member) member)));
        ArrayNode voting = node.putArray("voting");
        view.getVotingMembers().forEach(member -> voting.add(LeaseJson.of((Member) member)));
        return node;
    }

    private static RaftGroupMembersView members(JsonNode node) {
        return MODELS.createRaftGroupMembersViewBuilder()
                .setLogIndex(node.path("index").asLong())
                .setMembers(endpoints(node.path("all")))
                .setVotingMembers(endpoints(node.path("voting")))
                .build();
    }

    private static Collection<RaftEndpoint> endpoints(JsonNode members) {
        List<RaftEndpoint> endpoints = new ArrayList<>();
        members.forEach(member -> endpoints.add(LeaseJson.member(member)));
        return endpoints;
    }

    @Override
    public void persistAndFlushInitialGroupMembers(RaftGroupMembersView view) throws IOException {
        add(members(view).put("is", "members"));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        ObjectNode node = LeaseJson.object().put("is", "term").put("term", state.getTerm());
        if (state.getVotedFor() != null) {
            node.set("voted", LeaseJson.of((Member) state.getVotedFor()));
        }
        add(node);
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) throws IOException {
        for (LogEntry entry : added) {
            add(LeaseJson.object()
                    .put("is", "entry")
                    .put("index", entry.getIndex())
                    .put("term", entry.getTerm())
                    .set("operation", LeaseJson.of(entry.getOperation())));
        }
    }

    @Override
    @SuppressWarnings("unchecked") // The operation of a chunk is the map that ConsensusNode.takeSnapshot has created.
    public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
        ObjectNode node = LeaseJson.object()
                .put("is", "chunk")
                .put("index", chunk.getIndex())
                .put("term", chunk.getTerm())
                .put("chunk", chunk.getSnapshotChunkIndex())
                .put("chunks", chunk.getSnapshotChunkCount());
        node.set("members", members(chunk.getGroupMembersView()));
        node.set("entries", LeaseJson.of((Map<String, Entry>) chunk.getOperation()));
        add(node);
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        add(LeaseJson.object().put("is", "from").put("index", index));
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        add(LeaseJson.object().put("is", "until").put("index", index));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        add(LeaseJson.object().put("is", "unchunk").put("index", index));
    }

    /** Returns the persisted state from which this process continues, or null if there is none yet. */
    public RestoredRaftState restored() throws IOException {
        if (local == null || members == null) {
            return null;
        }
        long snapshotIndex = chunks.stream()
                .mapToLong(chunk -> chunk.path("index").asLong())
                .max()
                .orElse(0);
        RaftTermPersistentState persistentTerm = MODELS.createRaftTermPersistentStateBuilder()
                .setTerm(term == null ? 0 : term.path("term").asInt())
                .setVotedFor(term == null || !term.has("voted") ? null : LeaseJson.member(term.path("voted")))
                .build();
        return new RestoredRaftState(
                MODELS.createRaftEndpointPersistentStateBuilder()
                        .setLocalEndpoint(LeaseJson.member(local.path("member")))
                        .setVoting(local.path("votes").asBoolean())
                        .build(),
                members(members),
                persistentTerm,
                snapshot(snapshotIndex),
                entriesAfter(snapshotIndex));
    }

    /** Returns the snapshot at an index, or null if there is none. */
    private SnapshotEntry snapshot(long index) {
        List<SnapshotChunk> snapshotChunks = new ArrayList<>();
        for (ObjectNode chunk : chunks) {
            if (chunk.path("index").asLong() == index) {
                snapshotChunks.add(MODELS.createSnapshotChunkBuilder()
                        .setIndex(index)
                        .setTerm(chunk.path("term").asInt())
                        .setOperation(LeaseJson.entries(chunk.path("entries")))
                        .setSnapshotChunkIndex(chunk.path("chunk").asInt())
                        .setSnapshotChunkCount(chunk.path("chunks").asInt())
                        .setGroupMembersView(members(chunk.path("members")))
                        .build());
            }
        }
        if (snapshotChunks.isEmpty()) {
            return null;
        }
        return MODELS.createSnapshotEntryBuilder()
                .setIndex(index)
                .setTerm(snapshotChunks.get(0).getTerm())
                .setSnapshotChunks(snapshotChunks)
                .setGroupMembersView(snapshotChunks.get(0).getGroupMembersView())
                .build();
    }

    private List<LogEntry> entriesAfter(long index) throws IOException {
        List<LogEntry> log = new ArrayList<>();
        for (ObjectNode entry : entries.tailMap(index, false).values()) {
            log.add(MODELS.createLogEntryBuilder()
                    .setIndex(entry.path("index").asLong())
                    .setTerm(entry.path("term").asInt())
                    .setOperation(LeaseJson.operation(entry.path("operation")))
                    .build());
        }
        return log;
    }
}
