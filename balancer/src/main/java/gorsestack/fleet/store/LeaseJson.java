package gorsestack.fleet.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import gorsestack.fleet.ConsensusNode.Member;
import gorsestack.fleet.LeaseCommand;
import gorsestack.fleet.LeaseOwner;
import gorsestack.fleet.LeaseTable.Entry;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/**
 * Converts Raft operations and snapshots to JSON and back, for {@link MemberLog}. The keys are a stored format and must not change. Has no
 * state.
 */
final class LeaseJson {
    private static final ObjectMapper JSON = new ObjectMapper();

    private LeaseJson() {}

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    static JsonNode read(String text) throws IOException {
        return JSON.readTree(text);
    }

    static ObjectNode of(Member member) {
        return object().put("number", member.number()).put("identity", member.identity());
    }

    static Member member(JsonNode node) {
        return new Member(node.path("number").asInt(), node.path("identity").asLong());
    }

    /** Converts an operation of the Raft log, which is a lease command or the text that a new leader commits first. */
    static ObjectNode of(Object operation) throws IOException {
        if (operation instanceof String text) {
            return object().put("op", "text").put("text", text);
        }
        if (!(operation instanceof LeaseCommand command)) {
            throw new IOException("cannot store a log operation of class "
                    + operation.getClass().getName());
        }
        ObjectNode node = object().put("duty", command.leaseName())
                .put("member", command.requester().member())
                .put("incarnation", command.requester().incarnation())
                .put("ticket", command.requestId());
        if (command instanceof LeaseCommand.Acquire acquire) {
            return node.put("op", "take")
                    .put("version", acquire.expectedVersion())
                    .put("length", acquire.duration())
                    .put("atLeast", acquire.minEpoch());
        } else if (command instanceof LeaseCommand.Renew renew) {
            return node.put("op", "renew")
                    .put("epoch", renew.epoch())
                    .put("since", renew.elapsedSinceGrant())
                    .put("version", renew.grantedVersion());
        } else if (command instanceof LeaseCommand.Release release) {
            return node.put("op", "release").put("epoch", release.epoch());
        } else if (command instanceof LeaseCommand.BeginWork begin) {
            return node.put("op", "begin")
                    .put("epoch", begin.epoch())
                    .put("work", begin.workId())
                    .put("what", begin.description());
        }
        LeaseCommand.FinishWork finish = (LeaseCommand.FinishWork) command;
        return node.put("op", "finish").put("epoch", finish.epoch()).put("work", finish.workId());
    }

    static Object operation(JsonNode node) throws IOException {
        String leaseName = node.path("duty").asText();
        LeaseOwner requester = new LeaseOwner(
                node.path("member").asInt(), node.path("incarnation").asLong());
        long requestId = node.path("ticket").asLong();
        long epoch = node.path("epoch").asLong();
        String workId = node.path("work").asText();
        return switch (node.path("op").asText()) {
            case "text" -> node.path("text").asText();
            case "take" ->
                new LeaseCommand.Acquire(
                        leaseName,
                        requester,
                        requestId,
                        node.path("version").asLong(),
                        node.path("length").asLong(),
                        node.path("atLeast").asLong());
            case "renew" ->
                new LeaseCommand.Renew(
                        leaseName,
                        requester,
                        requestId,
                        epoch,
                        node.path("since").asLong(),
                        node.path("version").asLong());
            case "release" -> new LeaseCommand.Release(leaseName, requester, requestId, epoch);
            case "begin" ->
                new LeaseCommand.BeginWork(
                        leaseName,
                        requester,
                        requestId,
                        epoch,
                        workId,
                        node.path("what").asText());
            case "finish" -> new LeaseCommand.FinishWork(leaseName, requester, requestId, epoch, workId);
            default ->
                throw new IOException(
                        "unknown kind of log operation: " + node.path("op").asText());
        };
    }

    /** Converts a snapshot, which consists of the entries of all leases. */
    static ArrayNode of(Map<String, Entry> entries) {
        ArrayNode array = JSON.createArrayNode();
        entries.forEach((leaseName, entry) -> {
            ObjectNode node = array.addObject()
                    .put("duty", leaseName)
                    .put("version", entry.version())
                    .put("epoch", entry.epoch())
                    .put("length", entry.duration());
            if (entry.owner() != null) {
                node.put("member", entry.owner().member())
                        .put("incarnation", entry.owner().incarnation());
            }
            entry.unfinishedWork().forEach(node.putObject("work")::put);
        });
        return array;
    }

    /** Converts the JSON of a snapshot to the entries of all leases. */
    static Map<String, Entry> entries(JsonNode array) {
        Map<String, Entry> entries = new TreeMap<>();
        for (JsonNode node : array) {
            Map<String, String> work = new TreeMap<>();
            node.path("work")
                    .fields()
                    .forEachRemaining(f -> work.put(f.getKey(), f.getValue().asText()));
            LeaseOwner owner = node.has("member")
                    ? new LeaseOwner(
                            node.path("member").asInt(),
                            node.path("incarnation").asLong())
                    : null;
            entries.put(
                    node.path("duty").asText(),
                    new Entry(
                            node.path("version").asLong(),
                            owner,
                            node.path("epoch").asLong(),
                            node.path("length").asLong(),
                            work));
        }
        return entries;
    }
}
