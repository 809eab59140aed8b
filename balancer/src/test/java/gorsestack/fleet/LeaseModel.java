package gorsestack.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Three members, one duty, one receiver, and all that may happen to them in any order: time passes, a member looks or is paused, what it
 * proposes is committed late, twice or never, is heard of late, an effect waits for ever between the check and its arrival, processes restart.
 * Goes through every state that so many steps lead to, and says how it came to one that must not be.
 */
final class LeaseModel {
    /** What may be wrong on purpose. */
    enum Bug {
        NONE,
        NO_FENCE,
        FENCE_NOT_KEPT,
        WALL_CLOCK,
        AMNESIA,
        NO_WAIT
    }

    private static final long LENGTH = 4;
    private static final int MEMBERS = 3;
    private static final int MOST_PENDING = 2;
    private static final int MOST_FLYING = 2;

    private record Effect(int member, long incarnation, long epoch, long number) {}

    private final Bug bug;
    private long time = 1;
    private final LeaseManager[] holders = new LeaseManager[MEMBERS];
    private final long[] incarnation = {1, 1, 1};
    private final long[] back = new long[MEMBERS];
    private final int[] applied = new int[MEMBERS];
    private final long[] numbers = new long[MEMBERS];
    private List<LeaseCommand> log = new ArrayList<>();
    private LeaseTable duties = new LeaseTable();
    private final List<LeaseCommand> pending = new ArrayList<>();
    private final List<Effect> flying = new ArrayList<>();
    private FencingTokenGuard fence;
    private long[] kept = {0, 0};
    private int restarts;
    private LeaseOwner last;
    private long lastEpoch;
    private final Map<Long, LeaseOwner> owners = new HashMap<>();
    private final Set<Effect> done = new HashSet<>();
    String wrong;

    private LeaseModel(Bug bug) {
        this.bug = bug;
        for (int i = 0; i < MEMBERS; i++) {
            holders[i] = new LeaseManager("d", new LeaseOwner(i, 1), LENGTH, rates(), true, time, () -> 0, act(i));
        }
        fence = fence(0, 0);
    }

    private LeaseModel(LeaseModel of) {
        bug = of.bug;
        time = of.time;
        for (int i = 0; i < MEMBERS; i++) {
            holders[i] = new LeaseManager(of.holders[i], act(i));
            incarnation[i] = of.incarnation[i];
            back[i] = of.back[i];
            applied[i] = of.applied[i];
            numbers[i] = of.numbers[i];
        }
        log = new ArrayList<>(of.log);
        duties.restore(of.duties.entries());
        pending.addAll(of.pending);
        flying.addAll(of.flying);
        kept = of.kept.clone();
        fence = fence(of.fence.highestEpoch(), of.fenceNumber());
        restarts = of.restarts;
        last = of.last;
        lastEpoch = of.lastEpoch;
        owners.putAll(of.owners);
        done.addAll(of.done);
    }

    /** Who does not wait for another's lease to run out. */
    private double rates() {
        return bug == Bug.NO_WAIT ? -1 : 0;
    }

    private long number;

    private long fenceNumber() {
        return number;
    }

    private FencingTokenGuard fence(long highest, long its) {
        number = its;
        return new FencingTokenGuard(highest, its, (epoch, n) -> {
            if (bug != Bug.FENCE_NOT_KEPT) {
                kept = new long[] {epoch, n};
            }
            number = n;
            return true;
        });
    }

    private LeaseManager.Actions act(int i) {
        return new LeaseManager.Actions() {
            @Override
            public void propose(LeaseCommand command) {
                if (pending.size() < MOST_PENDING && !pending.contains(command)) {
                    pending.add(command);
                }
            }

            @Override
            public void scheduleTick(long at) {}

            @Override
            public void onAcquired(LeaseTable.Entry entry) {
                numbers[i] = 0;
            }

            @Override
            public void onLost() {}
        };
    }

    /** The clock that a member goes by; only a bug has it set. */
    private long clock(int i) {
        return time - back[i];
    }

    private boolean mayAct(int i) {
        return holders[i].mayAct(clock(i));
    }

    private List<Object> key() {
        List<Object> key = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            key.add(holders[i].key(clock(i)));
            key.add(applied[i]);
            key.add(numbers[i]);
        }
        key.add(log);
        key.add(new HashSet<>(pending));
        key.add(List.copyOf(flying));
        key.add(List.of(fence.highestEpoch(), number, kept[0], kept[1], restarts, lastEpoch));
        key.add(done);
        return key;
    }

    private void fail(String what) {
        wrong = wrong == null ? what : wrong;
    }

    private void apply(int i) {
        LeaseCommand c = log.get(applied[i]);
        LeaseTable before = new LeaseTable();
        boolean changed = false;
        for (int n = 0; n <= applied[i]; n++) {
            changed = before.apply(log.get(n));
        }
        applied[i]++;
        holders[i].onApplied(clock(i), c, changed, before.entry("d"));
    }

    private void commit(int p) {
        LeaseCommand c = pending.get(p);
        log.add(c);
        if (duties.apply(c) && c instanceof LeaseCommand.Acquire) {
            LeaseTable.Entry e = duties.entry("d");
            LeaseOwner before = owners.put(e.epoch(), e.owner());
            if (before != null && !before.equals(e.owner())) {
                fail("epoch " + e.epoch() + " is " + before + "'s and " + e.owner() + "'s");
            }
        }
    }

    private void deliver(int f) {
        Effect e = flying.get(f);
        FencingTokenGuard.Verdict verdict =
                bug == Bug.NO_FENCE ? FencingTokenGuard.Verdict.ACCEPTED : fence.check(e.epoch, e.number);
        if (verdict != FencingTokenGuard.Verdict.ACCEPTED) {
            return;
        }
        LeaseOwner by = new LeaseOwner(e.member, e.incarnation);
        if (e.epoch < lastEpoch) {
            fail("an effect of epoch " + e.epoch + " by " + by + " after one of " + lastEpoch + " by " + last);
        }
        if (e.epoch == lastEpoch && last != null && !last.equals(by)) {
            fail("effects of two owners under epoch " + e.epoch);
        }
        if (!done.add(e)) {
            fail("done twice: " + e);
        }
        last = by;
        lastEpoch = e.epoch;
    }

    private void check() {
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            if (mayAct(i)) {
                all.add(i);
            }
        }
        if (all.size() > 1) {
            fail("members " + all + " own the duty at once");
        }
    }

    /** Each thing that may happen next, as a step on a copy. */
    private List<Step> steps() {
        List<Step> steps = new ArrayList<>();
        steps.add(new Step("time passes", w -> w.time++));
        for (int p = 0; p < pending.size(); p++) {
            int n = p;
            steps.add(new Step("committed: " + pending.get(p), w -> {
                w.commit(n);
                w.pending.remove(n);
            }));
            if (log.size() < 4) {
                steps.add(new Step("committed, and once more later: " + pending.get(p), w -> w.commit(n)));
            }
            steps.add(new Step("lost: " + pending.get(p), w -> w.pending.remove(n)));
        }
        for (int f = 0; f < flying.size(); f++) {
            int n = f;
            steps.add(new Step("arrives: " + flying.get(f), w -> {
                w.deliver(n);
                w.flying.remove(n);
            }));
            steps.add(new Step("arrives, and once more later: " + flying.get(f), w -> w.deliver(n)));
        }
        for (int i = 0; i < MEMBERS; i++) {
            int n = i;
            steps.add(new Step("member " + i + " looks", w -> w.holders[n].tick(w.clock(n))));
            if (applied[i] < log.size()) {
                steps.add(new Step("member " + i + " hears", w -> w.apply(n)));
            }
            if (mayAct(i) && flying.size() < MOST_FLYING) {
                steps.add(new Step(
                        "member " + i + " acts under " + holders[i].epoch(),
                        w -> w.flying.add(new Effect(n, w.incarnation[n], w.holders[n].epoch(), ++w.numbers[n]))));
            }
            if (restarts < 2 && holders[i].epoch() > 0) {
                steps.add(new Step("member " + i + " restarts", w -> w.restart(n)));
            }
            if (bug == Bug.WALL_CLOCK && back[i] == 0 && holders[i].epoch() > 0) {
                steps.add(new Step("member " + i + "'s clock is set back", w -> w.back[n] = LENGTH));
            }
        }
        if (restarts < 2 && fence.highestEpoch() > 0) {
            steps.add(new Step("the receiver restarts", w -> {
                w.restarts++;
                w.fence = w.fence(w.kept[0], w.kept[1]);
            }));
        }
        if (bug == Bug.AMNESIA && !log.isEmpty()) {
            steps.add(new Step("a majority forgets what it committed last", w -> {
                w.log.remove(w.log.size() - 1);
                w.duties = new LeaseTable();
                w.log.forEach(w.duties::apply);
                for (int i = 0; i < MEMBERS; i++) {
                    w.applied[i] = Math.min(w.applied[i], w.log.size());
                }
            }));
        }
        return steps;
    }

    private void restart(int i) {
        restarts++;
        incarnation[i]++;
        numbers[i] = 0;
        holders[i] =
                new LeaseManager("d", new LeaseOwner(i, incarnation[i]), LENGTH, rates(), true, time, () -> 0, act(i));
        applied[i] = 0;
        while (applied[i] < log.size()) {
            apply(i);
        }
    }

    private interface Does {
        void to(LeaseModel world);
    }

    private record Step(String name, Does does) {}

    private record Place(LeaseModel world, Place from, String by, int depth) {
        List<String> way() {
            List<String> way = from == null ? new ArrayList<>() : from.way();
            if (by != null) {
                way.add(by);
            }
            return way;
        }
    }

    /** What came of it: how many states, and the way to the first that must not be, empty if there is none. */
    record Explored(int states, String wrong, List<String> way) {}

    /** From a beginning in which any member may take the duty, or one has just taken it and all have heard; so many steps at most. */
    static Explored explore(Bug bug, boolean owned, int depth, int most) {
        LeaseModel first = new LeaseModel(bug);
        first.time += LENGTH;
        if (owned) {
            first.holders[0].tick(first.time);
            first.commit(0);
            first.pending.clear();
            for (int i = 0; i < MEMBERS; i++) {
                first.apply(i);
            }
        }
        ArrayDeque<Place> open = new ArrayDeque<>(List.of(new Place(first, null, null, 0)));
        Set<List<Object>> seen = new HashSet<>();
        while (!open.isEmpty()) {
            Place at = open.poll();
            for (Step step : at.world.steps()) {
                LeaseModel next = new LeaseModel(at.world);
                step.does.to(next);
                next.check();
                Place place = new Place(next, at, step.name, at.depth + 1);
                if (next.wrong != null) {
                    return new Explored(seen.size(), next.wrong, place.way());
                }
                if (seen.add(next.key()) && place.depth < depth && seen.size() < most) {
                    open.add(place);
                }
            }
        }
        return new Explored(seen.size(), null, List.of());
    }

    static Set<Bug> bugs() {
        Set<Bug> all = new TreeSet<>(Set.of(Bug.values()));
        all.remove(Bug.NONE);
        return all;
    }
}
