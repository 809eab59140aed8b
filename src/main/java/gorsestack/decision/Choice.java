package gorsestack.decision;

import gorsestack.decision.Settings.Product;
import gorsestack.decision.Settings.Repeat;
import gorsestack.decision.Settings.Scope;
import gorsestack.decision.Upstreams.Entry;
import gorsestack.decision.Upstreams.Form;
import gorsestack.decision.Upstreams.State;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * All decisions of one balancer. Make one for each balancer, tell it whatever happens through the public
 * methods, with the clock in nanoseconds, never going back; it acts through Outgoing before the method
 * returns. Settings, Upstreams and Outcome say what goes in, Outgoing what comes out; all four stand in this
 * package and know no protocol. Each input touches some API calls; for each of those the list of rules below
 * is gone through in order, again and again, until none fires. docs/design.md tells what is kept of the
 * design and when each departure acts.
 */
public final class Choice {

    /** Whatever the settings allow: eight shots proven not run mean that nothing is there. */
    private static final int MOST = 8;

    private static final class Call {
        String id;
        long token;
        Product product;
        long end;
        int most;
        long patience;
        long next;
        long wakeAt = Long.MAX_VALUE;
        int shots;
        int out;
        boolean ended;
        boolean lesser;
        final int[] to = new int[MOST];
        final long[] at = new long[MOST];
        final boolean[] open = new boolean[MOST];
        final boolean[] neverRan = new boolean[MOST];

        /** The first shot that may have run or is out, -1 if there is none. */
        int anchor() {
            for (int i = 0; i < shots; i++) {
                if (!neverRan[i]) {
                    return i;
                }
            }
            return -1;
        }
    }

    private record Rule(Predicate<Call> when, Consumer<Call> then) { }

    private final Settings settings;
    private final Settings.Limits limit;
    private final Outgoing out;
    private final Map<String, Product> products = new HashMap<>();
    private final Map<String, Call> calls = new HashMap<>();
    private final Map<Long, Call> byToken = new HashMap<>();
    private final Chance chance;
    private long tokens;
    private double copies;

    private long now;

    private final Figures up = new Figures();

    // Groups: the own zone, then the others in the order of the settings; last, those of no known zone.
    private final int[][] members;
    private final int[] cursor;
    private final boolean[] left;
    private final long[] wellSince;
    private final int[] held;
    private final double[] room;
    private final double[] least;
    private final double[] lateness;
    private final long[] cutAt;
    private int trialCursor;
    private boolean anyWell;

    // Rule 1: one final answer before the client timeout, and nothing after it. The order matters.
    private final Rule[] rules = {
        new Rule(c -> now >= c.end, this::error),
        new Rule(c -> c.shots == 0, this::shoot),
        new Rule(c -> c.out == 0 && c.anchor() < 0 && moreMayCome(c), this::shoot),
        new Rule(c -> c.out == 0 && !moreMayCome(c), this::giveUp),
        new Rule(c -> now >= c.next && moreMayCome(c), this::copy),
    };

    public Choice(Settings settings, long seed, long now, Outgoing out) {
        this.settings = settings;
        this.limit = settings.limits();
        this.chance = new Chance(seed);
        this.now = now;
        this.out = out;
        for (Product product : settings.products()) {
            products.put(product.name(), product);
        }
        int groups = settings.zones().size() + 1;
        members = new int[groups][0];
        cursor = new int[groups];
        left = new boolean[groups];
        wellSince = new long[groups];
        held = new int[groups];
        room = new double[groups];
        least = new double[groups];
        lateness = new double[groups];
        cutAt = new long[groups];
        for (int g = 0; g < groups; g++) {
            cursor[g] = (int) (chance.next() * (1 << 20));
        }
        if (settings.asksForList()) {
            // All balancers start together and the list is one small service: spread the first call over a
            // fifth.
            out.wake(0, now + (long) (chance.next() * settings.rules().askWithin() / 5));
        }
    }

    public void upstreams(long at, Upstreams news) {
        now = at;
        if (news.form() == Form.FAILED) {
            // Danger: untold of a drain for good. Asked again within the time after which it is deemed told,
            // and spread, so that repeats don't sink the list service.
            out.wake(0, now + (long) ((0.2 + 0.4 * chance.next()) * settings.rules().askWithin()));
            return;
        }
        boolean whole = news.form() != Form.CHANGES;
        boolean[] named = new boolean[up.index.size() + news.entries().size()];
        for (Entry e : news.entries()) {
            int u = learn(e);
            named[u] = true;
        }
        for (int u = 0; whole && u < up.index.size(); u++) {
            if (!named[u] && up.entry[u].state() != State.GONE) {
                Entry e = up.entry[u];
                up.entry[u] = new Entry(e.id(), State.GONE, e.startedAt(), e.cell(), e.weight(), e.zone());
            }
        }
        for (int g = 0; g < members.length; g++) {
            int[] ready = new int[up.index.size()];
            int n = 0;
            for (int u = 0; u < up.index.size(); u++) {
                if (up.group[u] == g && up.entry[u].state() == State.READY) {
                    ready[n++] = u;
                }
            }
            members[g] = Arrays.copyOf(ready, n);
            // This balancer's part: those of a zone share its upstreams, all share the others. Three calls an
            // upstream hardly wait, as part of their time is spent a tier below; six to start with don't jam
            // one.
            double part = Math.min(1, (g == 0 ? settings.zones().size() : 1.0) / settings.instances());
            least[g] = Math.max(1, 3 * n * part);
            room[g] = room[g] == 0 ? 2 * least[g] : Math.max(room[g], least[g]);
        }
    }

    private int learn(Entry e) {
        boolean known = up.index.containsKey(e.id());
        int u = up.of(e.id());
        if (!known) {
            int zones = settings.zones().size();
            int zone = settings.zones().indexOf(e.zone());
            int own = Math.max(0, settings.zones().indexOf(settings.zone()));
            up.group[u] = zone < 0 ? zones : (zone - own + zones) % zones;
        }
        if (!known || up.entry[u].startedAt() != e.startedAt()) {
            up.straightFailures[u] = 0;
            up.sick[u] = false;
            up.silentSince[u] = Long.MAX_VALUE;
            up.slowness[u] = 0;
            up.carried[u] = 0;
            up.entry[u] = e;
            // Rule 4: a burst at the start could spend the whole budget, so the first turn comes late and by
            // chance.
            up.coldNext[u] = isCold(u) ? now + (long) (coldInterval(u) * (0.5 + chance.next())) : 0;
        }
        up.entry[u] = e;
        return u;
    }

    /** A client's call; left is the time until the client gives up, below 0 if untold. */
    public void apiCall(long at, String id, String product, String tenant, long left, boolean retry) {
        now = at;
        Call c = new Call();
        c.id = id;
        c.token = ++tokens;
        c.product = products.get(product);
        if (c.product == null) {
            out.errored(id);
            return;
        }
        // Two steps early: the clock moves in steps, and the answer has to be in before the client timeout.
        c.end = now + (left < 0 ? c.product.clientTimeout() : left) - 2 * settings.step();
        // Two shots unless a repeat could do harm; a further one only where a second copy may be out.
        c.most = c.product.repeat() == Repeat.NON_IDEMPOTENT ? 1 : Math.min(2, limit.mostShots());
        c.patience = (c.end - now) / c.most;
        c.lesser = retry;
        calls.put(id, c);
        byToken.put(c.token, c);
        settle(c);
    }

    public void outcome(long at, String id, int shot, Outcome outcome, long took, boolean closed) {
        now = at;
        Call c = calls.get(id);
        if (c == null || shot >= c.shots || !c.open[shot]) {
            return;
        }
        int u = c.to[shot];
        c.open[shot] = false;
        c.neverRan[shot] = outcome.provesItNeverRan;
        c.out--;
        up.inFlight[u]--;
        held[up.group[u]]--;
        judge(u, outcome);
        // An error says nothing of the time an answer takes, and a shot cut short only that it takes longer.
        if (outcome == Outcome.FULFILLED || took > lateness[up.group[u]] * c.product.slo()) {
            learnRoom(up.group[u], c.product, took);
            double share = Math.min(2, took / (double) c.product.slo());
            // Over the last eight or so: few calls a second reach one upstream.
            up.slowness[u] += (share - up.slowness[u]) / (up.slowness[u] == 0 ? 1 : 8);
        }
        if (outcome == Outcome.FULFILLED && !c.ended) {
            finish(c, () -> out.fulfilled(id, shot));
        }
        c.ended |= closed;
        settle(c);
    }

    private void judge(int u, Outcome outcome) {
        if (outcome == Outcome.CANCELLED || outcome == Outcome.NOT_SENT) {
            return;
        }
        up.silentSince[u] = up.inFlight[u] > 0 ? now : Long.MAX_VALUE;
        if (outcome == Outcome.FULFILLED) {
            up.straightFailures[u] = 0;
            up.sick[u] = false;
            // Three copies for a hundred answers: the design expects slow ones at one in some hundreds; ten
            // saved.
            copies = Math.min(10, copies + 0.03);
            up.carried[u] = carriedNow(u) + 1;
            up.carriedAt[u] = now;
        } else {
            up.sick[u] |= ++up.straightFailures[u] >= 3;
        }
    }

    /** A streamed answer has begun: the call is the client's and that shot's from here on. */
    public void started(long at, String id, int shot) {
        now = at;
        Call c = calls.get(id);
        if (c != null && !c.ended) {
            c.ended = true;
            cancelAllBut(c, shot);
        }
    }

    public void clientGone(long at, String id) {
        now = at;
        Call c = calls.get(id);
        if (c != null && !c.ended) {
            c.ended = true;
            cancelAllBut(c, -1);
            settle(c);
        }
    }

    public void probed(long at, String upstream, Outcome outcome) {
        now = at;
    }

    public void wake(long at, long token) {
        now = at;
        if (token == 0) {
            out.watch();
            return;
        }
        Call c = byToken.get(token);
        if (c != null) {
            c.wakeAt = Long.MAX_VALUE;
            settle(c);
        }
    }

    /** Goes through the rules until none fires, then asks to be woken when one next may. */
    private void settle(Call c) {
        for (int i = 0; !c.ended && i < rules.length; i++) {
            if (rules[i].when.test(c)) {
                rules[i].then.accept(c);
                i = -1;
            }
        }
        if (c.ended) {
            if (c.out == 0) {
                calls.remove(c.id);
                byToken.remove(c.token);
            }
            return;
        }
        long due = moreMayCome(c) ? Math.min(c.next, c.end) : c.end;
        if (due < c.wakeAt) {
            c.wakeAt = due;
            out.wake(c.token, due);
        }
    }

    /** Rule 2: whether a further shot is allowed at all, now or later. */
    private boolean moreMayCome(Call c) {
        int anchor = c.anchor();
        if (c.shots >= c.most && anchor >= 0 || c.shots >= Math.min(MOST, limit.mostShots())) {
            return false;
        }
        return anchor < 0 || c.product.repeat() == Repeat.IDEMPOTENT
                || c.product.repeat() == Repeat.DEDUPLICATED && now - c.at[anchor] < c.product.repeatWindow();
    }

    /** Rule 2: a deduplicated call that may have run goes only where its repeat is dropped. */
    private boolean dropsRepeat(Call c, int anchor, int u) {
        if (anchor < 0 || c.product.repeat() == Repeat.IDEMPOTENT || c.product.scope() == Scope.ALL) {
            return true;
        }
        Entry a = up.entry[c.to[anchor]];
        Entry b = up.entry[u];
        return c.product.scope() == Scope.ZONE ? a.zone().equals(b.zone()) : a.cell() == b.cell();
    }

    /** Danger: when all is slow every timer trips, and the copies slow it further. */
    private void copy(Call c) {
        if (copies >= 1) {
            copies--;
            shoot(c);
        } else {
            c.next += c.patience;
        }
    }

    private void shoot(Call c) {
        c.next = c.shots == 0 ? now + c.patience : c.next + c.patience;
        int u = !limit.secondCopies() && c.out > 0 ? -1 : pick(c);
        if (u < 0) {
            if (c.out == 0) {
                giveUp(c);
            }
            return;
        }
        c.to[c.shots] = u;
        c.at[c.shots] = now;
        c.open[c.shots] = true;
        c.shots++;
        c.out++;
        up.silentSince[u] = Math.min(up.silentSince[u], now);
        up.inFlight[u]++;
        held[up.group[u]]++;
        if (isCold(u)) {
            up.coldNext[u] = now + coldInterval(u);
        }
        out.shot(c.id, up.entry[u].id(), c.end - now);
    }

    private void error(Call c) {
        finish(c, () -> out.errored(c.id));
    }

    private void giveUp(Call c) {
        // Rule 2: a rate-limit reply says that trying again is harmless, so it must be.
        boolean harmless = c.anchor() < 0 || c.product.repeat() == Repeat.IDEMPOTENT
                || c.product.repeat() == Repeat.DEDUPLICATED && c.product.scope() == Scope.ALL;
        finish(c, () -> {
            if (harmless) {
                // Back after a quarter of the SLO: late enough for room to have come free, early enough to be
                // in time.
                long back = Math.min(limit.maxRetryAfter(), c.product.slo() / 4);
                out.rateLimited(c.id, limit.retryAfter() ? back : 0);
            } else {
                out.errored(c.id);
            }
        });
    }

    private void finish(Call c, Runnable answer) {
        answer.run();
        c.ended = true;
        cancelAllBut(c, -1);
    }

    private void cancelAllBut(Call c, int shot) {
        for (int i = 0; limit.mayCancel() && i < c.shots; i++) {
            if (c.open[i] && i != shot) {
                out.cancel(c.id, i);
            }
        }
    }

    /** How long shots to a group take, as a share of the SLO, over the last twenty or so. */
    private void learnRoom(int g, Product product, double took) {
        // Cut off at four times the mean: a few hung upstreams, here or a tier below, are no crowd.
        double share = Math.min(Math.max(0.1, 4 * lateness[g]), Math.min(2, took / product.slo()));
        lateness[g] += (share - lateness[g]) / 20;
        if (lateness[g] > 0.35) {
            // At most a cut for each time that its effect takes to show.
            if (now - cutAt[g] > lateness[g] * product.slo()) {
                room[g] = Math.max(least[g], room[g] * 0.85);
                cutAt[g] = now;
            }
        } else if (held[g] > 0.7 * room[g]) {
            room[g] += 1 / room[g];
        }
    }

    /**
     * Danger: more comes in than the upstreams can do, all of it waits, and all of it is late. A group gets
     * as many shots as it answers in a third or so of the latency SLO; what exceeds that goes to the next
     * group, and what exceeds all is turned away by the first tier. Further tiers hold work already paid for
     * and turn none away.
     */
    private boolean hasRoom(Call c, int g) {
        return held[g] < (c.lesser ? 0.8 : 1) * room[g];
    }

    /** Picks by rotation in the ordered groups; each level gives up a wish, never a rule. -1 if none. */
    private int pick(Call c) {
        int anchor = c.anchor();
        int start = activeGroup(c.product);
        // One in fifty first shots is a trial; never of a call that has this one shot only.
        if (c.shots == 0 && c.most > 1 && chance.next() < 1 / 50.0) {
            int u = trial(c, start);
            if (u >= 0) {
                return u;
            }
        }
        double all = crowdMark();
        // Danger: with all rooms taken, a lost zone's upstreams have room, and every shot past it fails
        // there. The first tier tries sick ones (but for trials) only when none is well.
        int levels = settings.tier() == 0 && anyWell ? 2 : 4;
        for (int level = 0; level < levels; level++) {
            for (int i = 0; i < members.length; i++) {
                int g = (start + i) % members.length;
                int n = (level == 0 || settings.tier() == 0) && !hasRoom(c, g) ? 0 : members[g].length;
                double own = 0;
                for (int u : members[g]) {
                    own += load(u);
                }
                double mark = Math.min(all, 1.25 * own / Math.max(1, n) + 0.5);
                for (int k = 0; k < n; k++) {
                    int u = members[g][(cursor[g] + k) % n];
                    if ((level > 0 || load(u) <= mark) && (level > 1 || !ill(u, c.product))
                            && (level > 2 || !tried(c, u))
                            && dropsRepeat(c, anchor, u) && hasTurn(u)) {
                        cursor[g] = (cursor[g] + k + 1) % n;
                        return u;
                    }
                }
            }
        }
        return -1;
    }

    /**
     * Danger: an upstream that takes calls and answers none fails nothing until they time out. With none
     * answered for half the SLO since a shot that should have been, it counts as sick until it answers.
     */
    private boolean ill(int u, Product product) {
        return up.sick[u] || now - product.slo() / 2 > up.silentSince[u];
    }

    /**
     * Shots in flight, weighed by how much slower than its group this upstream answers. Danger: with as many
     * calls as a fast one, a slow upstream is late with all of them. Within half and four times: few answers
     * say little.
     */
    private double load(int u) {
        double mean = lateness[up.group[u]];
        double ratio = up.slowness[u] == 0 || mean == 0 ? 1 : up.slowness[u] / mean;
        return up.inFlight[u] * Math.max(0.5, Math.min(4, ratio));
    }

    private int trial(Call c, int active) {
        int all = up.index.size();
        for (int k = 1; k <= all; k++) {
            int u = (trialCursor + k) % all;
            int g = up.group[u];
            if (up.entry[u].state() == State.READY && (ill(u, c.product) || left[g] && g < active)
                    && hasTurn(u)) {
                trialCursor = u;
                return u;
            }
        }
        return -1;
    }

    private static boolean tried(Call c, int u) {
        for (int i = 0; i < c.shots; i++) {
            if (c.to[i] == u) {
                return true;
            }
        }
        return false;
    }

    /**
     * Well above this balancer's mean in flight over all groups: twice that, and one so that few calls are no
     * crowd. Danger: a zone with more traffic than its own upstreams carry; a crowded group passes calls to
     * the next.
     */
    private double crowdMark() {
        double sum = 0;
        int n = 0;
        for (int[] group : members) {
            n += group.length;
            for (int u : group) {
                sum += load(u);
            }
        }
        return 2 * sum / Math.max(1, n) + 1;
    }

    /** The first group that traffic has not left: left under 70% well, back after 5 s above that. */
    private int activeGroup(Product product) {
        int first = -1;
        anyWell = false;
        for (int g = 0; g < members.length; g++) {
            int well = 0;
            for (int u : members[g]) {
                well += ill(u, product) ? 0 : 1;
            }
            if (members[g].length == 0) {
                continue;
            }
            first = first < 0 ? g : first;
            if (well < 0.7 * members[g].length) {
                left[g] = true;
                wellSince[g] = Long.MAX_VALUE;
            } else if (left[g]) {
                wellSince[g] = Math.min(wellSince[g], now);
                left[g] = now - wellSince[g] < 5_000_000_000L;
            }
            anyWell |= well > 0;
            if (!left[g]) {
                return g;
            }
        }
        return Math.max(0, first);
    }

    /** Rule 4: a cold upstream is sent nothing before its next turn. */
    private boolean hasTurn(int u) {
        return !isCold(u) || now >= up.coldNext[u];
    }

    private boolean isCold(int u) {
        return up.entry[u].startedAt() > 0 && now - up.entry[u].startedAt() < settings.rules().cold();
    }

    /** Rates fade over a quarter of the cold time: a few calls long, and it follows the load. */
    private double carriedNow(int u) {
        double quarter = Math.max(1, settings.rules().cold() / 4.0);
        return up.carried[u] * Math.exp((up.carriedAt[u] - now) / quarter);
    }

    /**
     * Rule 4: the time between this balancer's shots to a cold upstream. What a warm peer of its group (else
     * any) carries of this balancer's, times the share it can do by now, at 0.3 of the allowed multiple: the
     * rest is room for chance. With nothing learnt, a call a second by all balancers together.
     */
    private long coldInterval(int u) {
        double seconds = settings.rules().cold() / 4e9;
        double rate = Math.max(warmRate(up.group[u]) / seconds, 1.0 / settings.instances());
        double age = Math.min(1, (now - up.entry[u].startedAt()) / (double) settings.rules().cold());
        double share = settings.rules().coldShare() + (1 - settings.rules().coldShare()) * age;
        return (long) (1e9 / (rate * share * 0.3 * settings.rules().fallMultiple()));
    }

    private double warmRate(int preferred) {
        double sum = 0;
        int n = 0;
        for (int own = 1; own >= 0 && n == 0; own--) {
            for (int u = 0; u < up.index.size(); u++) {
                if (up.entry[u] != null && up.entry[u].state() == State.READY && !isCold(u)
                        && (own == 0 || up.group[u] == preferred)) {
                    sum += carriedNow(u);
                    n++;
                }
            }
        }
        return n == 0 ? 0 : sum / n;
    }
}
