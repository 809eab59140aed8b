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
 * A model of three members, one lease and one receiver of effects, for exhaustive state exploration. The steps, in any order, are: time
 * passes; a member ticks or stays paused; a proposal is committed late, twice or never; a member applies a command late; an effect stays in
 * flight for any time between the check of the lease and its arrival; a process restarts. {@link #explore} visits each state that a limited
 * number of steps can reach, and returns the trace to the first state that violates an invariant. Single-threaded.
 */
final class LeaseModel {
    /** A bug that is planted in the model, to prove that the checks find it. */
    enum Bug {
        NONE,
        NO_FENCING,
        TOKEN_NOT_PERSISTED,
        WALL_CLOCK,
        STATE_LOSS,
        NO_EXPIRY_WAIT
    }

    private static final long LEASE_DURATION = 4;
    private static final int MEMBERS = 3;
    private static final int MAX_PENDING_PROPOSALS = 2;
    private static final int MAX_EFFECTS_IN_FLIGHT = 2;

    private record Effect(int member, long incarnation, long epoch, long number) {}

    private final Bug bug;
    private long time = 1;
    private final LeaseManager[] managers = new LeaseManager[MEMBERS];
    private final long[] incarnation = {1, 1, 1};
    private final long[] clockSetBack = new long[MEMBERS];
    private final int[] appliedCommands = new int[MEMBERS];
    private final long[] lastEffects = new long[MEMBERS];
    private List<LeaseCommand> log = new ArrayList<>();
    private LeaseTable leases = new LeaseTable();
    private final List<LeaseCommand> pendingProposals = new ArrayList<>();
    private final List<Effect> effectsInFlight = new ArrayList<>();
    private FencingTokenGuard guard;
    private long[] persisted = {0, 0};
    private int restarts;
    private LeaseOwner lastOwner;
    private long lastEpoch;
    private final Map<Long, LeaseOwner> ownersByEpoch = new HashMap<>();
    private final Set<Effect> executed = new HashSet<>();
    String violation;

    private LeaseModel(Bug bug) {
        this.bug = bug;
        for (int i = 0; i < MEMBERS; i++) {
            managers[i] = new LeaseManager(
                    "d", new LeaseOwner(i, 1), LEASE_DURATION, maxClockDrift(), true, time, () -> 0, actions(i));
        }
        guard = createGuard(0, 0);
    }

    private LeaseModel(LeaseModel other) {
        bug = other.bug;
        time = other.time;
        for (int i = 0; i < MEMBERS; i++) {
            managers[i] = new LeaseManager(other.managers[i], actions(i));
            incarnation[i] = other.incarnation[i];
            clockSetBack[i] = other.clockSetBack[i];
            appliedCommands[i] = other.appliedCommands[i];
            lastEffects[i] = other.lastEffects[i];
        }
        log = new ArrayList<>(other.log);
        leases.restore(other.leases.entries());
        pendingProposals.addAll(other.pendingProposals);
        effectsInFlight.addAll(other.effectsInFlight);
        persisted = other.persisted.clone();
        guard = createGuard(other.guard.highestEpoch(), other.lastAcceptedNumber());
        restarts = other.restarts;
        lastOwner = other.lastOwner;
        lastEpoch = other.lastEpoch;
        ownersByEpoch.putAll(other.ownersByEpoch);
        executed.addAll(other.executed);
    }

    /** Returns the bound on clock rates; with the planted bug it makes members acquire a lease before it has expired. */
    private double maxClockDrift() {
        return bug == Bug.NO_EXPIRY_WAIT ? -1 : 0;
    }

    /** Sequence number of the last effect that the guard has accepted. */
    private long acceptedNumber;

    private long lastAcceptedNumber() {
        return acceptedNumber;
    }

    private FencingTokenGuard createGuard(long highestEpoch, long sequenceNumber) {
        acceptedNumber = sequenceNumber;
        return new FencingTokenGuard(highestEpoch, sequenceNumber, (epoch, n) -> {
            if (bug != Bug.TOKEN_NOT_PERSISTED) {
                persisted = new long[] {epoch, n};
            }
            acceptedNumber = n;
            return true;
        });
    }

    private LeaseManager.Actions actions(int member) {
        return new LeaseManager.Actions() {
            @Override
            public void propose(LeaseCommand command) {
                if (pendingProposals.size() < MAX_PENDING_PROPOSALS && !pendingProposals.contains(command)) {
                    pendingProposals.add(command);
                }
            }

            @Override
            public void scheduleTick(long time) {}

            @Override
            public void onAcquired(LeaseTable.Entry entry) {
                lastEffects[member] = 0;
            }

            @Override
            public void onLost() {}
        };
    }

    /** Returns the time of a member's clock, which only a planted bug sets back. */
    private long clock(int member) {
        return time - clockSetBack[member];
    }

    private boolean mayAct(int member) {
        return managers[member].mayAct(clock(member));
    }

    /** Returns everything that distinguishes this state from others. */
    private List<Object> key() {
        List<Object> key = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            key.add(managers[i].key(clock(i)));
            key.add(appliedCommands[i]);
            key.add(lastEffects[i]);
        }
        key.add(log);
        key.add(new HashSet<>(pendingProposals));
        key.add(List.copyOf(effectsInFlight));
        key.add(List.of(guard.highestEpoch(), acceptedNumber, persisted[0], persisted[1], restarts, lastEpoch));
        key.add(executed);
        return key;
    }

    private void reportViolation(String description) {
        violation = violation == null ? description : violation;
    }

    private void apply(int member) {
        LeaseCommand command = log.get(appliedCommands[member]);
        LeaseTable before = new LeaseTable();
        boolean changed = false;
        for (int n = 0; n <= appliedCommands[member]; n++) {
            changed = before.apply(log.get(n));
        }
        appliedCommands[member]++;
        managers[member].onApplied(clock(member), command, changed, before.entry("d"));
    }

    private void commit(int proposal) {
        LeaseCommand command = pendingProposals.get(proposal);
        log.add(command);
        if (leases.apply(command) && command instanceof LeaseCommand.Acquire) {
            LeaseTable.Entry entry = leases.entry("d");
            LeaseOwner before = ownersByEpoch.put(entry.epoch(), entry.owner());
            if (before != null && !before.equals(entry.owner())) {
                reportViolation("epoch " + entry.epoch() + " is owned by " + before + " and by " + entry.owner()
                        + ", expected one owner");
            }
        }
    }

    private void deliver(int index) {
        Effect effect = effectsInFlight.get(index);
        FencingTokenGuard.Verdict verdict =
                bug == Bug.NO_FENCING ? FencingTokenGuard.Verdict.ACCEPTED : guard.check(effect.epoch, effect.number);
        if (verdict != FencingTokenGuard.Verdict.ACCEPTED) {
            return;
        }
        LeaseOwner owner = new LeaseOwner(effect.member, effect.incarnation);
        if (effect.epoch < lastEpoch) {
            reportViolation("an effect of epoch " + effect.epoch + " by " + owner + " after one of " + lastEpoch
                    + " by " + lastOwner);
        }
        if (effect.epoch == lastEpoch && lastOwner != null && !lastOwner.equals(owner)) {
            reportViolation("effects of two owners under epoch " + effect.epoch);
        }
        if (!executed.add(effect)) {
            reportViolation("effect executed twice: " + effect);
        }
        lastOwner = owner;
        lastEpoch = effect.epoch;
    }

    private void checkSingleOwner() {
        List<Integer> owners = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            if (mayAct(i)) {
                owners.add(i);
            }
        }
        if (owners.size() > 1) {
            reportViolation("members " + owners + " own the lease at the same time");
        }
    }

    /** Returns all steps that are possible in this state; each is applied to a copy of it. */
    private List<Step> steps() {
        List<Step> steps = new ArrayList<>();
        steps.add(new Step("time passes", model -> model.time++));
        for (int p = 0; p < pendingProposals.size(); p++) {
            int n = p;
            steps.add(new Step("committed: " + pendingProposals.get(p), model -> {
                model.commit(n);
                model.pendingProposals.remove(n);
            }));
            if (log.size() < 4) {
                steps.add(new Step(
                        "committed, and may be committed again: " + pendingProposals.get(p), model -> model.commit(n)));
            }
            steps.add(new Step("lost: " + pendingProposals.get(p), model -> model.pendingProposals.remove(n)));
        }
        for (int f = 0; f < effectsInFlight.size(); f++) {
            int n = f;
            steps.add(new Step("arrives: " + effectsInFlight.get(f), model -> {
                model.deliver(n);
                model.effectsInFlight.remove(n);
            }));
            steps.add(new Step("arrives, and may arrive again: " + effectsInFlight.get(f), model -> model.deliver(n)));
        }
        for (int i = 0; i < MEMBERS; i++) {
            int n = i;
            steps.add(new Step("member " + i + " ticks", model -> model.managers[n].tick(model.clock(n))));
            if (appliedCommands[i] < log.size()) {
                steps.add(new Step("member " + i + " applies the next command", model -> model.apply(n)));
            }
            if (mayAct(i) && effectsInFlight.size() < MAX_EFFECTS_IN_FLIGHT) {
                steps.add(new Step(
                        "member " + i + " sends an effect under epoch " + managers[i].epoch(),
                        model -> model.effectsInFlight.add(new Effect(
                                n, model.incarnation[n], model.managers[n].epoch(), ++model.lastEffects[n]))));
            }
            if (restarts < 2 && managers[i].epoch() > 0) {
                steps.add(new Step("member " + i + " restarts", model -> model.restart(n)));
            }
            if (bug == Bug.WALL_CLOCK && clockSetBack[i] == 0 && managers[i].epoch() > 0) {
                steps.add(new Step(
                        "member " + i + "'s clock is set back", model -> model.clockSetBack[n] = LEASE_DURATION));
            }
        }
        if (restarts < 2 && guard.highestEpoch() > 0) {
            steps.add(new Step("the receiver restarts", model -> {
                model.restarts++;
                model.guard = model.createGuard(model.persisted[0], model.persisted[1]);
            }));
        }
        if (bug == Bug.STATE_LOSS && !log.isEmpty()) {
            steps.add(new Step("a majority loses the last committed command", model -> {
                model.log.remove(model.log.size() - 1);
                model.leases = new LeaseTable();
                model.log.forEach(model.leases::apply);
                for (int i = 0; i < MEMBERS; i++) {
                    model.appliedCommands[i] = Math.min(model.appliedCommands[i], model.log.size());
                }
            }));
        }
        return steps;
    }

    private void restart(int member) {
        restarts++;
        incarnation[member]++;
        lastEffects[member] = 0;
        managers[member] = new LeaseManager(
                "d",
                new LeaseOwner(member, incarnation[member]),
                LEASE_DURATION,
                maxClockDrift(),
                true,
                time,
                () -> 0,
                actions(member));
        appliedCommands[member] = 0;
        while (appliedCommands[member] < log.size()) {
            apply(member);
        }
    }

    /** The change that a step makes to a state of the model. */
    private interface Transition {
        void apply(LeaseModel model);
    }

    private record Step(String name, Transition transition) {}

    /** A reached state, with the step that led to it from its predecessor. */
    private record Node(LeaseModel model, Node predecessor, String stepName, int depth) {
        List<String> trace() {
            List<String> trace = predecessor == null ? new ArrayList<>() : predecessor.trace();
            if (stepName != null) {
                trace.add(stepName);
            }
            return trace;
        }
    }

    /** The result of an exploration: the number of states, the first violation or null, and the steps that lead to it. */
    record Exploration(int states, String violation, List<String> trace) {}

    /**
     * Explores all states that can be reached in a limited number of steps. Initially any member may acquire the lease or, if {@code
     * initiallyOwned}, one member has just acquired it and all members have applied that.
     */
    static Exploration explore(Bug bug, boolean initiallyOwned, int maxDepth, int maxStates) {
        LeaseModel initial = new LeaseModel(bug);
        initial.time += LEASE_DURATION;
        if (initiallyOwned) {
            initial.managers[0].tick(initial.time);
            initial.commit(0);
            initial.pendingProposals.clear();
            for (int i = 0; i < MEMBERS; i++) {
                initial.apply(i);
            }
        }
        ArrayDeque<Node> frontier = new ArrayDeque<>(List.of(new Node(initial, null, null, 0)));
        Set<List<Object>> seen = new HashSet<>();
        while (!frontier.isEmpty()) {
            Node current = frontier.poll();
            for (Step step : current.model.steps()) {
                LeaseModel next = new LeaseModel(current.model);
                step.transition.apply(next);
                next.checkSingleOwner();
                Node node = new Node(next, current, step.name, current.depth + 1);
                if (next.violation != null) {
                    return new Exploration(seen.size(), next.violation, node.trace());
                }
                if (seen.add(next.key()) && node.depth < maxDepth && seen.size() < maxStates) {
                    frontier.add(node);
                }
            }
        }
        return new Exploration(seen.size(), null, List.of());
    }

    /** Returns all bugs that can be planted. */
    static Set<Bug> bugs() {
        Set<Bug> bugs = new TreeSet<>(Set.of(Bug.values()));
        bugs.remove(Bug.NONE);
        return bugs;
    }
}
