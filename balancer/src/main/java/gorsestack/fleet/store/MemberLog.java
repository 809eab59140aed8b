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
 * it is opened, and whenever it exceeds twice its size after the last compaction by {@link #COMPACTION_MARGIN_BYTES}. Everything is synced
 * before it is acknowledged. Not thread-safe: it is used on the thread on which its host calls the {@link gorsestack.fleet.ConsensusNode}.
 * So far only tests create it.
 *
 * <p>A damaged or incomplete line that no intact line follows is dropped together with everything after it. It usually comes from a write
 * that was cut off and so was never acknowledged; later damage to the last lines looks the same and is dropped too. After any other damage,
 * or after a failed write, the member must not vote any more, because it would confirm entries and votes that it may have lost.
 */
public final class MemberLog implements RaftStore {
    /**
     * Maximum size of a file that is read, in bytes. Between two snapshots the log grows by some 300 bytes for each entry; the entries of
     * two such intervals take less than a tenth of this size, so a larger file is not a log of this program.
     */
    static final int MAX_BYTES = 16 << 20;

    private static final int FORMAT_VERSION = 1;
    /** Number of bytes by which the file may exceed twice its size after the last compaction until it is compacted again. */
    private static final int COMPACTION_MARGIN_BYTES = 1 << 20;

    private static final DefaultRaftModelFactory MODELS = new DefaultRaftModelFactory();

    private final Storage storage;
    private final String file;
    private final StringBuilder unwritten = new StringBuilder();
    private final TreeMap<Long, ObjectNode> entries = new TreeMap<>();
    private ObjectNode localEndpoint;
    private ObjectNode members;
    private ObjectNode term;
    private List<ObjectNode> chunks = new ArrayList<>();
    private long fileBytes;
    /** Size of the file after the last compaction; 0 if it was not compacted yet. */
    private long bytesAfterCompaction;
    /** Whether a write is in progress or has failed; after a failure no more writes are possible. */
    private boolean writeUnconfirmed;

    /**
     * Reads the log of an earlier process of this member, if there is one, and compacts it.
     *
     * @throws IOException if the file cannot be read or rewritten, is too large, has a damaged line that an intact line follows, or has a
     *     line of an unknown kind or format version
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
            // The file is compacted at once. Lines appended after one that was cut off would be lost or would make the
            // next start reject the file.
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
                        throw new IOException(file + " is damaged at character " + from
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

    private void applyLine(ObjectNode parsedLine) throws IOException {
        switch (parsedLine.path("is").asText()) {
            case "local" -> {
                if (parsedLine.path("form").asInt() != FORMAT_VERSION) {
                    throw new IOException(file + " has format version "
                            + parsedLine.path("form").asInt() + ", expected " + FORMAT_VERSION);
                }
                localEndpoint = parsedLine;
            }
            case "members" -> members = parsedLine;
            case "term" -> term = parsedLine;
            case "entry" -> entries.put(parsedLine.path("index").asLong(), parsedLine);
            case "from" ->
                entries.tailMap(parsedLine.path("index").asLong(), true).clear();
            case "until" ->
                entries.headMap(parsedLine.path("index").asLong(), true).clear();
            case "chunk" -> chunks.add(parsedLine);
            case "unchunk" ->
                chunks.removeIf(chunk ->
                        chunk.path("index").asLong() == parsedLine.path("index").asLong());
            default ->
                throw new IOException(file + " has a line of an unknown kind: "
                        + parsedLine.path("is").asText());
        }
    }

    /** Returns the node as a line of the file, with its checksum. */
    private static String line(ObjectNode node) {
        return StateCodec.line(node.toString());
    }

    private void applyAndQueue(ObjectNode node) throws IOException {
        checkWritable();
        applyLine(node);
        unwritten.append(line(node));
    }

    private void checkWritable() throws IOException {
        if (writeUnconfirmed) {
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
        // The flag is set during each write and stays set if the write fails: a failed write may leave half a line,
        // after which nothing may be appended.
        writeUnconfirmed = true;
        byte[] appended = unwritten.toString().getBytes(StandardCharsets.UTF_8);
        storage.append(file, appended);
        storage.sync(file);
        if (fileBytes == 0) {
            storage.syncFolder();
        }
        fileBytes += appended.length;
        unwritten.setLength(0);
        writeUnconfirmed = false;
        if (fileBytes > 2 * bytesAfterCompaction + COMPACTION_MARGIN_BYTES) {
            compact();
        }
    }

    private void compact() throws IOException {
        writeUnconfirmed = true;
        StringBuilder text = new StringBuilder();
        for (ObjectNode node : new ObjectNode[] {localEndpoint, members, term}) {
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
        bytesAfterCompaction = content.length;
        writeUnconfirmed = false;
    }

    @Override
    public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
        applyAndQueue(LeaseJson.object()
                .put("is", "local")
                .put("form", FORMAT_VERSION)
                .put("votes", state.isVoting())
                .set("member", LeaseJson.of((Member) state.getLocalEndpoint())));
        flush();
    }

    private static ObjectNode membersToJson(RaftGroupMembersView view) {
        ObjectNode node = LeaseJson.object().put("index", view.getLogIndex());
        ArrayNode all = node.putArray("all");
        view.getMembers().forEach(member -> all.add(LeaseJson.of((Member) member)));
        ArrayNode voting = node.putArray("voting");
        view.getVotingMembers().forEach(member -> voting.add(LeaseJson.of((Member) member)));
        return node;
    }

    private static RaftGroupMembersView membersFromJson(JsonNode node) {
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
        applyAndQueue(membersToJson(view).put("is", "members"));
        flush();
    }

    @Override
    public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
        ObjectNode node = LeaseJson.object().put("is", "term").put("term", state.getTerm());
        if (state.getVotedFor() != null) {
            node.set("voted", LeaseJson.of((Member) state.getVotedFor()));
        }
        applyAndQueue(node);
        flush();
    }

    @Override
    public void persistLogEntries(List<LogEntry> added) throws IOException {
        for (LogEntry entry : added) {
            applyAndQueue(LeaseJson.object()
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
        node.set("members", membersToJson(chunk.getGroupMembersView()));
        node.set("entries", LeaseJson.of((Map<String, Entry>) chunk.getOperation()));
        applyAndQueue(node);
    }

    @Override
    public void truncateLogEntriesFrom(long index) throws IOException {
        applyAndQueue(LeaseJson.object().put("is", "from").put("index", index));
    }

    @Override
    public void truncateLogEntriesUntil(long index) throws IOException {
        applyAndQueue(LeaseJson.object().put("is", "until").put("index", index));
    }

    @Override
    public void deleteSnapshotChunks(long index, int count) throws IOException {
        applyAndQueue(LeaseJson.object().put("is", "unchunk").put("index", index));
    }

    /** Returns the persisted state from which this process continues, or null if there is none yet. */
    public RestoredRaftState restored() throws IOException {
        if (localEndpoint == null || members == null) {
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
                        .setLocalEndpoint(LeaseJson.member(localEndpoint.path("member")))
                        .setVoting(localEndpoint.path("votes").asBoolean())
                        .build(),
                membersFromJson(members),
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
                        .setGroupMembersView(membersFromJson(chunk.path("members")))
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
