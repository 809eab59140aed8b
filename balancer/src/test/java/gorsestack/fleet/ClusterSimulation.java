package gorsestack.fleet;

import gorsestack.fleet.store.MemberLog;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Simulates a group of five members with one lease and two receivers of effects. Messages are delayed, lost and duplicated; links fail in
 * one or both directions; members are paused at any step and resumed; they crash, which may cut off any write that is not synced, and
 * restart; receivers restart; disks fill up. All random choices come from one seed, and the invariants are checked after each event.
 * Single-threaded.
 */
final class ClusterSimulation {
    /** A bug that is planted in the simulation, to prove that the checks find it. */
    enum Bug {
        NONE,
        NO_FENCING,
        TOKEN_NOT_PERSISTED,
        WALL_CLOCK,
        STATE_LOSS,
        NO_SYNC
    }

    static final long MS = 1_000_000;
    static final long LEASE_DURATION = 3_000 * MS;
    private static final int MEMBERS = 5;
    /** Maximum deviation of a clock's rate, as a fraction. The bound that lease managers get is more than twice as large. */
    private static final double MAX_RATE_ERROR = 0.01;

    private static final double MAX_CLOCK_DRIFT = 0.03;
    private static final int MAX_HISTORY_LINES = 60;

    private record Event(long time, long order, int member, int incarnation, Runnable action) {}

    private record Effect(LeaseOwner owner, long epoch, long number) {}

    private final Bug bug;
    private final boolean injectsFaults;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (x, y) -> x.time != y.time ? Long.compare(x.time, y.time) : Long.compare(x.order, y.order));
    private final Node[] nodes = new Node[MEMBERS];
    private final Receiver[] receivers = {new Receiver(), new Receiver()};
    private final double[][] blockedLinks = new double[MEMBERS][MEMBERS];
    private final List<ConsensusNode.Member> voters = new ArrayList<>();
    private final Map<Long, LeaseCommand> committed = new HashMap<>();
    private final Map<Long, LeaseOwner> ownersByEpoch = new HashMap<>();
    private final ArrayDeque<String> history = new ArrayDeque<>();
    private long now = MS;
    private long order;
    private long highestEpoch;
    int acquisitions;
    int effects;
    int rejected;
    String violation;

    ClusterSimulation(Bug bug, long seed) {
        this(bug, seed, true);
    }

    /** Without injected faults, links lose nothing and members fail only when a test makes them fail. */
    ClusterSimulation(Bug bug, long seed, boolean injectsFaults) {
        this.injectsFaults = injectsFaults;
        this.bug = bug;
        random = new SplittableRandom(seed);
        for (int i = 0; i < MEMBERS; i++) {
            voters.add(new ConsensusNode.Member(i, 1));
        }
        for (int i = 0; i < MEMBERS; i++) {
            nodes[i] = new Node(i);
            nodes[i].start();
        }
        if (injectsFaults) {
            scheduleAction(500 * MS, this::injectFault);
        }
    }

    /** Returns the number of the member that owns the lease and is not paused, or -1 if there is none. */
    private int currentOwner() {
        for (Node node : nodes) {
            if (node.running && !node.paused && node.leaseManager.mayAct(node.clock())) {
                return node.number;
            }
        }
        return -1;
    }

    /** Returns how long nobody owns the lease after its owner is killed, paused or cut off, in nanoseconds; -1 if it takes 30 s. */
    long timeWithoutOwner(String fault) {
        run(20_000 * MS);
        int previousOwner = currentOwner();
        switch (fault) {
            case "kill" -> nodes[previousOwner].crash();
            case "stop" -> nodes[previousOwner].paused = true;
            default -> {
                for (int i = 0; i < MEMBERS; i++) {
                    blockLink(previousOwner, i, 60_000 * MS, true);
                }
            }
        }
        long start = now;
        while (now < start + 30_000 * MS) {
            run(now + MS);
            int owner = currentOwner();
            if (owner >= 0 && owner != previousOwner) {
                return now - start;
            }
        }
        return -1;
    }

    private void addToHistory(String description) {
        history.add(String.format("%8.3f s  %s", now / 1e9, description));
        if (history.size() > MAX_HISTORY_LINES) {
            history.remove();
        }
    }

    private void reportViolation(String description) {
        if (violation == null) {
            violation = description;
            addToHistory("VIOLATION: " + description);
        }
    }

    /** Returns the last events, oldest first. */
    List<String> history() {
        return List.copyOf(history);
    }

    private void scheduleAction(long delay, Runnable action) {
        events.add(new Event(now + delay, order++, -1, 0, action));
    }

    /** Runs the simulation until a time in nanoseconds, or until a violation. */
    void run(long until) {
        while (violation == null && !events.isEmpty() && events.peek().time <= until) {
            Event next = events.poll();
            now = Math.max(now, next.time);
            if (next.member < 0) {
                next.action.run();
            } else if (nodes[next.member].running && nodes[next.member].incarnation == next.incarnation) {
                Node node = nodes[next.member];
                if (node.paused) {
                    node.deferredEvents.add(next);
                } else {
                    next.action.run();
                }
            }
            checkSingleOwner();
        }
        now = Math.max(now, until);
    }

    /** Reports a violation if more than one member believes that it owns the lease. */
    private void checkSingleOwner() {
        List<Integer> owners = new ArrayList<>();
        for (Node node : nodes) {
            if (node.running && node.leaseManager.mayAct(node.clock())) {
                owners.add(node.number);
            }
        }
        if (owners.size() > 1) {
            reportViolation("members " + owners + " own the lease at the same time");
        }
    }

    /** Injects a random fault that ends after a random time, and schedules the next one. */
    private void injectFault() {
        int target = random.nextInt(MEMBERS);
        int other = random.nextInt(MEMBERS);
        // The owner of the lease is chosen more often.
        for (Node node : nodes) {
            if (node.running && node.leaseManager.epoch() > 0 && random.nextInt(2) == 0) {
                target = node.number;
            }
        }
        int member = target;
        Node node = nodes[member];
        long duration = ((long) (random.nextDouble() * random.nextDouble() * 12_000)) * MS;
        switch (random.nextInt(8)) {
            case 0 -> {
                addToHistory("n" + member + " crashes for " + duration / MS + " ms");
                node.crash();
                scheduleAction(duration, node::start);
            }
            case 1, 2 -> {
                if (node.running && !node.paused) {
                    addToHistory("n" + member + " is paused for " + duration / MS + " ms");
                    node.paused = true;
                    scheduleAction(duration, node::resume);
                }
            }
            case 3 -> blockLink(member, other, duration, random.nextInt(2) == 0);
            case 4 -> {
                addToHistory("n" + member + " is cut off for " + duration / MS + " ms");
                boolean bothWays = random.nextInt(2) == 0;
                for (int i = 0; i < MEMBERS; i++) {
                    blockLink(member, i, duration, bothWays);
                }
            }
            case 5 -> {
                Receiver receiver = receivers[random.nextInt(2)];
                addToHistory("a receiver restarts");
                receiver.restart();
            }
            case 6 -> {
                if (node.running && random.nextInt(3) == 0) {
                    addToHistory("n" + member + "'s disk is full");
                    node.disk.full = true;
                    scheduleAction(duration / 4, () -> {
                        node.crash();
                        scheduleAction(100 * MS, node::start);
                    });
                }
            }
            default -> {
                if (bug == Bug.WALL_CLOCK) {
                    addToHistory("n" + member + "'s clock is set back");
                    node.clockSetBack += LEASE_DURATION;
                } else if (bug == Bug.STATE_LOSS && node.running) {
                    addToHistory("n" + member + " loses its disk and restarts under the same identity");
                    node.crash();
                    node.disk = new CrashingStorage(random::nextDouble);
                    scheduleAction(100 * MS, node::start);
                } else if (node.running && node.leaseManager.epoch() > 0) {
                    addToHistory("n" + member + " releases the lease");
                    node.leaseManager.setCandidate(node.clock(), false);
                    scheduleAction(2_000 * MS, () -> {
                        if (node.running) {
                            node.leaseManager.setCandidate(node.clock(), true);
                        }
                    });
                }
            }
        }
        scheduleAction(((long) (random.nextDouble() * 3_000)) * MS, this::injectFault);
    }

    /** Blocks a link for a while; messages over it are lost. */
    private void blockLink(int from, int to, long duration, boolean bothWays) {
        blockedLinks[from][to]++;
        if (bothWays) {
            blockedLinks[to][from]++;
        }
        scheduleAction(duration, () -> {
            blockedLinks[from][to]--;
            if (bothWays) {
                blockedLinks[to][from]--;
            }
        });
    }

    /** Delivers a message unless it is lost, once or twice, each copy after a random delay. */
    private void deliver(int from, int to, Runnable action) {
        if (blockedLinks[from][to] > 0 || (injectsFaults && random.nextInt(50) == 0)) {
            return;
        }
        int copies = injectsFaults && random.nextInt(50) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            long delay = injectsFaults && random.nextInt(100) == 0 ? random.nextInt(2_000) : 1 + random.nextInt(20);
            events.add(new Event(now + delay * MS, order++, to, nodes[to].incarnation, action));
        }
    }

    /** A receiver of effects, which checks that it never executes an effect of an earlier owner. */
    private final class Receiver {
        final Set<Effect> executed = new HashSet<>();
        long[] persisted = {0, 0};
        FencingTokenGuard guard = createGuard();
        long lastEpoch;
        LeaseOwner lastOwner;

        FencingTokenGuard createGuard() {
            return new FencingTokenGuard(persisted[0], persisted[1], (epoch, number) -> {
                if (bug != Bug.TOKEN_NOT_PERSISTED) {
                    persisted = new long[] {epoch, number};
                }
                return true;
            });
        }

        void restart() {
            guard = createGuard();
        }

        void receive(Effect effect) {
            FencingTokenGuard.Verdict verdict = bug == Bug.NO_FENCING
                    ? FencingTokenGuard.Verdict.ACCEPTED
                    : guard.check(effect.epoch, effect.number);
            if (verdict == FencingTokenGuard.Verdict.STALE) {
                rejected++;
            }
            if (verdict != FencingTokenGuard.Verdict.ACCEPTED) {
                return;
            }
            effects++;
            if (effect.epoch < lastEpoch) {
                reportViolation("an effect of epoch " + effect.epoch + " by " + effect.owner + " after one of "
                        + lastEpoch + " by " + lastOwner);
            }
            if (effect.epoch == lastEpoch && lastOwner != null && !lastOwner.equals(effect.owner)) {
                reportViolation("effects of two owners under epoch " + effect.epoch);
            }
            if (!executed.add(effect)) {
                reportViolation("effect executed twice: " + effect);
            }
            lastOwner = effect.owner;
            lastEpoch = effect.epoch;
        }
    }

    /** One member of the group, with its disk, its clock and its lease manager. */
    private final class Node implements ConsensusNode.Host, LeaseManager.Actions, RaftNodeExecutor {
        final int number;
        final double rate;
        CrashingStorage disk = new CrashingStorage(random::nextDouble);
        ConsensusNode consensus;
        LeaseManager leaseManager;
        LeaseOwner self;
        int incarnation;
        boolean running;
        boolean paused;
        /** Time by which the clock was set back, in nanoseconds. */
        long clockSetBack;

        long lastEffect;
        /** Events that came while the member was paused. */
        final List<Event> deferredEvents = new ArrayList<>();

        Node(int number) {
            this.number = number;
            rate = 1 + MAX_RATE_ERROR * (2 * random.nextDouble() - 1);
        }

        /** Returns the time of this member's own clock, which starts at an arbitrary value. */
        long clock() {
            return (long) (now * rate) + 7_777_777L * number - clockSetBack;
        }

        private Clock wallClock() {
            return new Clock() {
                @Override
                public ZoneId getZone() {
                    return ZoneOffset.UTC;
                }

                @Override
                public Clock withZone(ZoneId zone) {
                    return this;
                }

                @Override
                public Instant instant() {
                    return Instant.ofEpochMilli(clock() / MS);
                }
            };
        }

        void start() {
            if (running) {
                return;
            }
            incarnation++;
            running = true;
            paused = false;
            deferredEvents.clear();
            clockSetBack = bug == Bug.WALL_CLOCK ? clockSetBack : 0;
            self = new LeaseOwner(number, incarnation);
            leaseManager = new LeaseManager(
                    "d", self, LEASE_DURATION, MAX_CLOCK_DRIFT, true, clock(), random::nextDouble, this);
            disk.ignoresSync = bug == Bug.NO_SYNC;
            try {
                MemberLog log = new MemberLog(disk, "log");
                consensus = new ConsensusNode(
                        voters.get(number),
                        voters,
                        log.restored(),
                        log,
                        this,
                        wallClock(),
                        new Random(random.nextLong()),
                        this);
            } catch (IOException e) {
                throw new UncheckedIOException("n" + number, e);
            }
            consensus.start();
            act();
        }

        void crash() {
            incarnation++;
            running = false;
            paused = false;
            deferredEvents.clear();
            disk.crash();
        }

        void resume() {
            if (paused) {
                paused = false;
                List<Event> deferred = List.copyOf(deferredEvents);
                deferredEvents.clear();
                deferred.forEach(e -> events.add(new Event(now, order++, e.member, e.incarnation, e.action)));
            }
        }

        private void scheduleOnMember(long delay, Runnable action) {
            events.add(new Event(now + delay, order++, number, incarnation, action));
        }

        /**
         * Checks the lease and sends an effect that arrives up to 9 s later, as from a process that is paused or a network that is slow.
         */
        private void act() {
            if (leaseManager.mayAct(clock())) {
                Effect effect = new Effect(self, leaseManager.epoch(), ++lastEffect);
                for (Receiver receiver : receivers) {
                    long delay = random.nextInt(10) == 0 ? random.nextInt(9_000) : random.nextInt(40);
                    scheduleAction(delay * MS, () -> receiver.receive(effect));
                }
            }
            scheduleOnMember(40 * MS, this::act);
        }

        @Override
        public void send(ConsensusNode.Member recipient, RaftMessage message) {
            deliver(number, recipient.number(), () -> nodes[recipient.number()].consensus.onMessage(message));
        }

        @Override
        public boolean reachable(ConsensusNode.Member recipient) {
            return true;
        }

        @Override
        public void forward(ConsensusNode.Member leader, LeaseCommand command) {
            deliver(number, leader.number(), () -> nodes[leader.number()].consensus.onForwarded(command));
        }

        @Override
        public void onApplied(long index, LeaseCommand command, boolean changed, LeaseTable.Entry after) {
            LeaseCommand before = committed.putIfAbsent(index, command);
            if (before != null && !before.equals(command)) {
                reportViolation("n" + number + " applied " + command + " at index " + index
                        + ", another member applied " + before);
            }
            if (changed && command instanceof LeaseCommand.Acquire) {
                LeaseOwner other = ownersByEpoch.putIfAbsent(after.epoch(), after.owner());
                if (other != null && !other.equals(after.owner())) {
                    reportViolation("epoch " + after.epoch() + " is owned by " + other + " and by " + after.owner()
                            + ", expected one owner");
                }
                if (other == null) {
                    acquisitions++;
                    if (after.epoch() <= highestEpoch) {
                        reportViolation("epoch " + after.epoch() + " after " + highestEpoch);
                    }
                    highestEpoch = after.epoch();
                }
            }
            leaseManager.onApplied(clock(), command, changed, after);
        }

        @Override
        public void onRestored(long index, Map<String, LeaseTable.Entry> entries) {
            addToHistory("n" + number + " restored a snapshot at index " + index);
            leaseManager.onRestored(clock(), entries.getOrDefault("d", LeaseTable.Entry.NONE));
        }

        @Override
        public void propose(LeaseCommand command) {
            consensus.propose(command);
        }

        @Override
        public void scheduleTick(long time) {
            scheduleOnMember(Math.max(0, (long) ((time - clock()) / rate) + 1), () -> leaseManager.tick(clock()));
        }

        @Override
        public void onAcquired(LeaseTable.Entry entry) {
            lastEffect = 0;
            addToHistory("n" + number + " owns the lease under epoch " + entry.epoch());
        }

        @Override
        public void onLost() {
            addToHistory("n" + number + " no longer owns the lease");
        }

        @Override
        public void execute(Runnable task) {
            scheduleOnMember(0, task);
        }

        @Override
        public void submit(Runnable task) {
            scheduleOnMember(0, task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            scheduleOnMember((long) (unit.toNanos(delay) / rate), task);
        }
    }
}
