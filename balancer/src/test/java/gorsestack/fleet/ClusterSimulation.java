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
 * Five members, a duty and two receivers on a network, disks and clocks of chance: messages are late, lost, repeated; links fail one way and
 * both; members are stopped at any step and go on, crash at any write and come back. All from one seed; each event is checked.
 */
final class ClusterSimulation {
    /** What may be wrong on purpose. */
    enum Bug {
        NONE,
        NO_FENCE,
        FENCE_NOT_KEPT,
        WALL_CLOCK,
        AMNESIA,
        NO_SYNC
    }

    static final long MS = 1_000_000;
    static final long LENGTH = 3_000 * MS;
    private static final int MEMBERS = 5;
    /** Clocks run up to so much too fast or slow; the bound given to holders is twice that and more. */
    private static final double DRIFT = 0.01;

    private static final double RATES = 0.03;
    private static final int TOLD = 60;

    private record Event(long at, long order, int member, int life, Runnable what) {}

    private record Effect(LeaseOwner by, long epoch, long number) {}

    private final Bug bug;
    private final boolean troubled;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((x, y) -> x.at != y.at ? Long.compare(x.at, y.at) : Long.compare(x.order, y.order));
    private final Node[] nodes = new Node[MEMBERS];
    private final Receiver[] receivers = {new Receiver(), new Receiver()};
    private final double[][] cut = new double[MEMBERS][MEMBERS];
    private final List<ConsensusNode.Member> voters = new ArrayList<>();
    private final Map<Long, LeaseCommand> committed = new HashMap<>();
    private final Map<Long, LeaseOwner> owners = new HashMap<>();
    private final ArrayDeque<String> story = new ArrayDeque<>();
    private long now = MS;
    private long order;
    private long epochs;
    int takings;
    int effects;
    int refused;
    String wrong;

    ClusterSimulation(Bug bug, long seed) {
        this(bug, seed, true);
    }

    /** Not troubled, links lose nothing and nothing happens by itself. */
    ClusterSimulation(Bug bug, long seed, boolean troubled) {
        this.troubled = troubled;
        this.bug = bug;
        random = new SplittableRandom(seed);
        for (int i = 0; i < MEMBERS; i++) {
            voters.add(new ConsensusNode.Member(i, 1));
        }
        for (int i = 0; i < MEMBERS; i++) {
            nodes[i] = new Node(i);
            nodes[i].start();
        }
        if (troubled) {
            in(500 * MS, this::trouble);
        }
    }

    private int owner() {
        for (Node node : nodes) {
            if (node.up && !node.stopped && node.holder.mayAct(node.clock())) {
                return node.number;
            }
        }
        return -1;
    }

    /** How long nobody owns the duty after its owner is killed, stopped or cut off, in nanoseconds; -1 where it takes 30 s. */
    long without(String what) {
        run(20_000 * MS);
        int before = owner();
        switch (what) {
            case "kill" -> nodes[before].crash();
            case "stop" -> nodes[before].stopped = true;
            default -> {
                for (int i = 0; i < MEMBERS; i++) {
                    link(before, i, 60_000 * MS, true);
                }
            }
        }
        long from = now;
        while (now < from + 30_000 * MS) {
            run(now + MS);
            int owner = owner();
            if (owner >= 0 && owner != before) {
                return now - from;
            }
        }
        return -1;
    }

    private void say(String what) {
        story.add(String.format("%8.3f s  %s", now / 1e9, what));
        if (story.size() > TOLD) {
            story.remove();
        }
    }

    private void fail(String what) {
        if (wrong == null) {
            wrong = what;
            say("WRONG: " + what);
        }
    }

    List<String> story() {
        return List.copyOf(story);
    }

    private void in(long wait, Runnable what) {
        events.add(new Event(now + wait, order++, -1, 0, what));
    }

    void run(long until) {
        while (wrong == null && !events.isEmpty() && events.peek().at <= until) {
            Event next = events.poll();
            now = Math.max(now, next.at);
            if (next.member < 0) {
                next.what.run();
            } else if (nodes[next.member].up && nodes[next.member].life == next.life) {
                Node node = nodes[next.member];
                if (node.stopped) {
                    node.held.add(next);
                } else {
                    next.what.run();
                }
            }
            owned();
        }
        now = Math.max(now, until);
    }

    /** No two believe that the duty is theirs. */
    private void owned() {
        List<Integer> all = new ArrayList<>();
        for (Node node : nodes) {
            if (node.up && node.holder.mayAct(node.clock())) {
                all.add(node.number);
            }
        }
        if (all.size() > 1) {
            fail("members " + all + " own the duty at once");
        }
    }

    /** Something goes wrong now and then, and is put right after a while. */
    private void trouble() {
        int one = random.nextInt(MEMBERS);
        int other = random.nextInt(MEMBERS);
        // More often whoever owns the duty.
        for (Node node : nodes) {
            if (node.up && node.holder.epoch() > 0 && random.nextInt(2) == 0) {
                one = node.number;
            }
        }
        int of = one;
        Node node = nodes[of];
        long lasts = ((long) (random.nextDouble() * random.nextDouble() * 12_000)) * MS;
        switch (random.nextInt(8)) {
            case 0 -> {
                say("n" + of + " crashes for " + lasts / MS + " ms");
                node.crash();
                in(lasts, node::start);
            }
            case 1, 2 -> {
                if (node.up && !node.stopped) {
                    say("n" + of + " is stopped for " + lasts / MS + " ms");
                    node.stopped = true;
                    in(lasts, node::goOn);
                }
            }
            case 3 -> link(of, other, lasts, random.nextInt(2) == 0);
            case 4 -> {
                say("n" + of + " is cut off for " + lasts / MS + " ms");
                boolean bothWays = random.nextInt(2) == 0;
                for (int i = 0; i < MEMBERS; i++) {
                    link(of, i, lasts, bothWays);
                }
            }
            case 5 -> {
                Receiver receiver = receivers[random.nextInt(2)];
                say("a receiver restarts");
                receiver.restart();
            }
            case 6 -> {
                if (node.up && random.nextInt(3) == 0) {
                    say("n" + of + "'s disk is full");
                    node.disk.full = true;
                    in(lasts / 4, () -> {
                        node.crash();
                        in(100 * MS, node::start);
                    });
                }
            }
            default -> {
                if (bug == Bug.WALL_CLOCK) {
                    say("n" + of + "'s clock is set back");
                    node.back += LENGTH;
                } else if (bug == Bug.AMNESIA && node.up) {
                    say("n" + of + " loses its disk and comes back as it was");
                    node.crash();
                    node.disk = new CrashingStorage(random::nextDouble);
                    in(100 * MS, node::start);
                } else if (node.up && node.holder.epoch() > 0) {
                    say("n" + of + " lets the duty go");
                    node.holder.setCandidate(node.clock(), false);
                    in(2_000 * MS, () -> {
                        if (node.up) {
                            node.holder.setCandidate(node.clock(), true);
                        }
                    });
                }
            }
        }
        in(((long) (random.nextDouble() * 3_000)) * MS, this::trouble);
    }

    private void link(int from, int to, long lasts, boolean bothWays) {
        cut[from][to]++;
        if (bothWays) {
            cut[to][from]++;
        }
        in(lasts, () -> {
            cut[from][to]--;
            if (bothWays) {
                cut[to][from]--;
            }
        });
    }

    private void deliver(int from, int to, Runnable what) {
        if (cut[from][to] > 0 || (troubled && random.nextInt(50) == 0)) {
            return;
        }
        int times = troubled && random.nextInt(50) == 0 ? 2 : 1;
        for (int i = 0; i < times; i++) {
            long late = troubled && random.nextInt(100) == 0 ? random.nextInt(2_000) : 1 + random.nextInt(20);
            events.add(new Event(now + late * MS, order++, to, nodes[to].life, what));
        }
    }

    private final class Receiver {
        final Set<Effect> done = new HashSet<>();
        long[] kept = {0, 0};
        FencingTokenGuard fence = fence();
        long lastEpoch;
        LeaseOwner last;

        FencingTokenGuard fence() {
            return new FencingTokenGuard(kept[0], kept[1], (epoch, number) -> {
                if (bug != Bug.FENCE_NOT_KEPT) {
                    kept = new long[] {epoch, number};
                }
                return true;
            });
        }

        void restart() {
            fence = fence();
        }

        void effect(Effect e) {
            FencingTokenGuard.Verdict verdict =
                    bug == Bug.NO_FENCE ? FencingTokenGuard.Verdict.ACCEPTED : fence.check(e.epoch, e.number);
            if (verdict == FencingTokenGuard.Verdict.STALE) {
                refused++;
            }
            if (verdict != FencingTokenGuard.Verdict.ACCEPTED) {
                return;
            }
            effects++;
            if (e.epoch < lastEpoch) {
                fail("an effect of epoch " + e.epoch + " by " + e.by + " after one of " + lastEpoch + " by " + last);
            }
            if (e.epoch == lastEpoch && last != null && !last.equals(e.by)) {
                fail("effects of two owners under epoch " + e.epoch);
            }
            if (!done.add(e)) {
                fail("done twice: " + e);
            }
            last = e.by;
            lastEpoch = e.epoch;
        }
    }

    private final class Node implements ConsensusNode.Host, LeaseManager.Actions, RaftNodeExecutor {
        final int number;
        final double rate;
        CrashingStorage disk = new CrashingStorage(random::nextDouble);
        ConsensusNode agreement;
        LeaseManager holder;
        LeaseOwner me;
        int life;
        boolean up;
        boolean stopped;
        long back;
        long effect;
        final List<Event> held = new ArrayList<>();

        Node(int number) {
            this.number = number;
            rate = 1 + DRIFT * (2 * random.nextDouble() - 1);
        }

        /** This process's own, which counts from anywhere. */
        long clock() {
            return (long) (now * rate) + 7_777_777L * number - back;
        }

        private Clock wall() {
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
            if (up) {
                return;
            }
            life++;
            up = true;
            stopped = false;
            held.clear();
            back = bug == Bug.WALL_CLOCK ? back : 0;
            me = new LeaseOwner(number, life);
            holder = new LeaseManager("d", me, LENGTH, RATES, true, clock(), random::nextDouble, this);
            disk.lying = bug == Bug.NO_SYNC;
            try {
                MemberLog log = new MemberLog(disk, "log");
                agreement = new ConsensusNode(
                        voters.get(number),
                        voters,
                        log.restored(),
                        log,
                        this,
                        wall(),
                        new Random(random.nextLong()),
                        this);
            } catch (IOException e) {
                throw new UncheckedIOException("n" + number, e);
            }
            agreement.start();
            act();
        }

        void crash() {
            life++;
            up = false;
            stopped = false;
            held.clear();
            disk.crash();
        }

        void goOn() {
            if (stopped) {
                stopped = false;
                List<Event> all = List.copyOf(held);
                held.clear();
                all.forEach(e -> events.add(new Event(now, order++, e.member, e.life, e.what)));
            }
        }

        private void mine(long wait, Runnable what) {
            events.add(new Event(now + wait, order++, number, life, what));
        }

        /** Asks whether it may, and does it a moment or a long time later: that is when it is stopped, or its bytes wait. */
        private void act() {
            if (holder.mayAct(clock())) {
                Effect e = new Effect(me, holder.epoch(), ++effect);
                for (Receiver receiver : receivers) {
                    long late = random.nextInt(10) == 0 ? random.nextInt(9_000) : random.nextInt(40);
                    in(late * MS, () -> receiver.effect(e));
                }
            }
            mine(40 * MS, this::act);
        }

        @Override
        public void send(ConsensusNode.Member to, RaftMessage message) {
            deliver(number, to.number(), () -> nodes[to.number()].agreement.onMessage(message));
        }

        @Override
        public boolean reachable(ConsensusNode.Member to) {
            return true;
        }

        @Override
        public void forward(ConsensusNode.Member leader, LeaseCommand command) {
            deliver(number, leader.number(), () -> nodes[leader.number()].agreement.onForwarded(command));
        }

        @Override
        public void onApplied(long index, LeaseCommand command, boolean changed, LeaseTable.Entry after) {
            LeaseCommand before = committed.putIfAbsent(index, command);
            if (before != null && !before.equals(command)) {
                fail("n" + number + " has " + command + " at " + index + ", others had " + before);
            }
            if (changed && command instanceof LeaseCommand.Acquire) {
                LeaseOwner other = owners.putIfAbsent(after.epoch(), after.owner());
                if (other != null && !other.equals(after.owner())) {
                    fail("epoch " + after.epoch() + " is " + other + "'s and " + after.owner() + "'s");
                }
                if (other == null) {
                    takings++;
                    if (after.epoch() <= epochs) {
                        fail("epoch " + after.epoch() + " after " + epochs);
                    }
                    epochs = after.epoch();
                }
            }
            holder.onApplied(clock(), command, changed, after);
        }

        @Override
        public void onRestored(long index, Map<String, LeaseTable.Entry> all) {
            say("n" + number + " restored at " + index);
            holder.onRestored(clock(), all.getOrDefault("d", LeaseTable.Entry.NONE));
        }

        @Override
        public void propose(LeaseCommand command) {
            agreement.propose(command);
        }

        @Override
        public void scheduleTick(long at) {
            mine(Math.max(0, (long) ((at - clock()) / rate) + 1), () -> holder.tick(clock()));
        }

        @Override
        public void onAcquired(LeaseTable.Entry entry) {
            effect = 0;
            say("n" + number + " owns under " + entry.epoch());
        }

        @Override
        public void onLost() {
            say("n" + number + " owns it no more");
        }

        @Override
        public void execute(Runnable task) {
            mine(0, task);
        }

        @Override
        public void submit(Runnable task) {
            mine(0, task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            mine((long) (unit.toNanos(delay) / rate), task);
        }
    }
}
