package gorsestack.fleet;

import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * One member of the Raft group that replicates the leases. MicroRaft replicates the commands, and a {@link LeaseTable} applies those that
 * were committed. The node has no thread, clock, socket or disk of its own: its {@link Host} and the constructor's arguments provide them.
 * All methods are called on one thread.
 */
public final class ConsensusNode implements StateMachine, Transport {
    /**
     * The address of a member in the Raft group. A member that has lost its disk rejoins under a new identity, because it no longer knows
     * which candidates it has voted for.
     *
     * @param number number of the member, which never changes
     * @param identity changes whenever the member loses its disk
     */
    public record Member(int number, long identity) implements RaftEndpoint {
        @Override
        public Object getId() {
            return number + "/" + identity;
        }
    }

    /** Sends the node's messages, and is notified of committed commands. Called on the thread that calls the node. */
    public interface Host {
        /** Sends a Raft message to another member; it may be lost. */
        void send(Member recipient, RaftMessage message);

        /** Returns whether messages to a member are likely to arrive. */
        boolean reachable(Member recipient);

        /** Forwards a command to the leader, which proposes it; it may be lost. */
        void forward(Member leader, LeaseCommand command);

        /** Notifies of a command that was committed and applied, in log order; {@code after} is the lease's entry after the command. */
        void onApplied(long index, LeaseCommand command, boolean changed, LeaseTable.Entry after);

        /** Notifies of an installed snapshot; the entries at its log index replace all earlier state. */
        void onRestored(long index, Map<String, LeaseTable.Entry> entries);
    }

    /** The operation that a new leader commits first; applying it changes nothing. */
    private static final String NEW_TERM_OPERATION = "term";
    /** Maximum number of uncommitted log entries of a leader. Further proposals are rejected, and their requesters retry later. */
    private static final int MAX_PENDING_ENTRIES = 500;
    /** Number of commits between two snapshots, which is several hundred kilobytes of commands. */
    private static final int SNAPSHOT_INTERVAL = 2_000;

    private static final int ELECTION_TIMEOUT_MILLIS = 300;
    private static final int HEARTBEAT_PERIOD_SECONDS = 1;
    private static final int HEARTBEAT_TIMEOUT_SECONDS = 2;
    private static final int APPEND_BATCH_SIZE = 100;

    private final Member self;
    private final Host host;
    private final LeaseTable leases = new LeaseTable();
    private final RaftNode node;

    /**
     * Creates a node, which takes no part in the group until {@link #start} is called.
     *
     * @param self this member
     * @param voters members of the group at its first start; ignored if a state is restored
     * @param restored state that an earlier process of this identity has persisted, or null if there is none
     */
    public ConsensusNode(
            Member self,
            List<Member> voters,
            RestoredRaftState restored,
            RaftStore store,
            RaftNodeExecutor executor,
            Clock clock,
            Random random,
            Host host) {
        this.self = self;
        this.host = host;
        RaftNode.RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId("gorsestack")
                .setTransport(this)
                .setStateMachine(this)
                .setStore(store)
                .setExecutor(executor)
                .setClock(clock)
                .setRandom(random)
                .setConfig(RaftConfig.newBuilder()
                        .setLeaderElectionTimeoutMillis(ELECTION_TIMEOUT_MILLIS)
                        .setLeaderHeartbeatPeriodSecs(HEARTBEAT_PERIOD_SECONDS)
                        .setLeaderHeartbeatTimeoutSecs(HEARTBEAT_TIMEOUT_SECONDS)
                        .setMaxPendingLogEntryCount(MAX_PENDING_ENTRIES)
                        .setAppendEntriesRequestBatchSize(APPEND_BATCH_SIZE)
                        .setCommitCountToTakeSnapshot(SNAPSHOT_INTERVAL)
                        .build());
        if (restored != null) {
            builder.setRestoredState(restored);
        } else {
            builder.setLocalEndpoint(self).setInitialGroupMembers(List.<RaftEndpoint>copyOf(voters));
        }
        node = builder.build();
    }

    /** Starts to participate in the group. */
    public void start() {
        node.start();
    }

    /** Stops participating in the group. Calling it is optional, because a process that is killed needs no cleanup. */
    public void stop() {
        node.terminate();
    }

    /** Handles a Raft message from another member. Drops it if this node is not running. */
    public void onMessage(RaftMessage message) {
        if (running()) {
            node.handle(message);
        }
    }

    private boolean running() {
        return node.getStatus() != RaftNodeStatus.TERMINATED && node.getStatus() != RaftNodeStatus.INITIAL;
    }

    /** Returns the leader as far as this member knows, or null if it knows of none. */
    public Member leader() {
        return (Member) node.getTerm().getLeaderEndpoint();
    }

    /** Returns whether this member believes that it is the leader. */
    public boolean isLeader() {
        return self.equals(leader());
    }

    /**
     * Proposes a command through the leader, or drops it if no leader is known. The command may be committed at any later time, or never,
     * so the requester retries.
     */
    public void propose(LeaseCommand command) {
        Member leader = leader();
        if (leader == null || !running()) {
            return;
        }
        if (isLeader()) {
            // The result is ignored, because a command whose proposal has failed may still be committed.
            node.replicate(command);
        } else {
            host.forward(leader, command);
        }
    }

    /** Proposes a command that another member has forwarded. Drops it if this member is not the leader or not running. */
    public void onForwarded(LeaseCommand command) {
        if (isLeader() && running()) {
            node.replicate(command);
        }
    }

    /** Returns the state of a lease as this member knows it. */
    public LeaseTable.Entry entry(String leaseName) {
        return leases.entry(leaseName);
    }

    @Override
    public void send(RaftEndpoint recipient, RaftMessage message) {
        host.send((Member) recipient, message);
    }

    @Override
    public boolean isReachable(RaftEndpoint member) {
        return host.reachable((Member) member);
    }

    @Override
    public Object runOperation(long index, Object operation) {
        if (!(operation instanceof LeaseCommand command)) {
            return null;
        }
        boolean changed = leases.apply(command);
        host.onApplied(index, command, changed, leases.entry(command.leaseName()));
        return changed;
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
        chunks.accept(new TreeMap<>(leases.entries()));
    }

    @Override
    @SuppressWarnings("unchecked") // The chunk is the map that takeSnapshot or the member's log has created.
    public void installSnapshot(long index, List<Object> chunks) {
        Map<String, LeaseTable.Entry> snapshot = (Map<String, LeaseTable.Entry>) chunks.get(0);
        leases.restore(snapshot);
        host.onRestored(index, leases.entries());
    }

    @Override
    public Object getNewTermOperation() {
        return NEW_TERM_OPERATION;
    }
}
