package gorsestack.fleet;

import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * One member's part in one duty: takes it when its lease has run out, renews it, lets it go. Told things with a time by this process's own
 * clock, which only has to run at a rate within the stated bound of others'; no reading of another clock counts. Touches nothing.
 *
 * <p>The owner's lease counts from when it asked, everybody else's wait from when they heard that it was granted, which is later, and is
 * longer by the bound on rates. So no two believe that they own a duty; what an owner does late all the same, the receivers' fences stop.
 */
public final class Holder {
    /** What it does. */
    public interface Act {
        /** To be committed, perhaps, some time, perhaps twice. */
        void propose(Command command);

        /** Holder.look is to be called then. */
        void wake(long at);

        /** The duty is this process's; work that others began and did not finish is in the entry. */
        void owns(Duties.Entry entry);

        /** It is not any more. */
        void lost();
    }

    private enum Kind { NONE, TAKE, RENEW }

    private final String duty;
    private final Owner me;
    private final long length;
    private final double rates;
    private final DoubleSupplier chance;
    private final Act act;
    private boolean willing;
    private Duties.Entry entry = Duties.Entry.NONE;
    private long heardAt;
    /** Owned under this epoch until then; 0 for none. */
    private long epoch;
    private long until;
    private long atLeast;
    private Kind asked = Kind.NONE;
    private long askedAt;
    private long ticket;
    private long due;

    /**
     * @param length of a lease
     * @param rates by how much more of another's clock may pass while so much of one's own does, as a share
     * @param willing whether this member takes the duty where it can
     */
    public Holder(String duty, Owner me, long length, double rates, boolean willing, long now, DoubleSupplier chance, Act act) {
        this.duty = duty;
        this.me = me;
        this.length = length;
        this.rates = rates;
        this.willing = willing;
        this.chance = chance;
        this.act = act;
        // Danger: a process that has just started knows of no owner that has renewed a moment ago; it waits as all do.
        heardAt = now;
        plan(now);
    }

    Holder(Holder of, Act act) {
        this.duty = of.duty;
        this.me = of.me;
        this.length = of.length;
        this.rates = of.rates;
        this.chance = of.chance;
        this.act = act;
        willing = of.willing;
        entry = of.entry;
        heardAt = of.heardAt;
        epoch = of.epoch;
        until = of.until;
        atLeast = of.atLeast;
        asked = of.asked;
        askedAt = of.askedAt;
        ticket = of.ticket;
        due = of.due;
    }

    /** All that it goes by, times as they are from now. */
    List<Object> key(long now) {
        return List.of(me, willing, entry, Math.max(-2 * length, heardAt - now), epoch, epoch == 0 ? 0 : Math.max(0, until - now), atLeast, asked,
                asked == Kind.NONE && epoch == 0 ? 0 : Math.max(-2 * length, askedAt - now), ticket, Math.max(0, due - now));
    }

    /** Whether something may be done under the duty now; asked before each act. */
    public boolean mayAct(long now) {
        return epoch > 0 && now < until;
    }

    /** What each effect has to carry; 0 for none. */
    public long epoch() {
        return epoch;
    }

    private void plan(long now) {
        long wait;
        if (asked != Kind.NONE) {
            // Lost, or committed and not heard of yet: asked again, as a second one changes nothing.
            wait = Math.max(1, length / 4);
        } else if (epoch > 0) {
            wait = Math.max(0, askedAt + length / 3 - now);
        } else if (!willing) {
            due = Long.MAX_VALUE;
            return;
        } else {
            // Danger: all that wait ask at once. Drawn over a sixth of a lease.
            long granted = Math.max(entry.length(), length);
            long free = entry.owner() == null && entry.version() > 0 ? heardAt : heardAt + (long) Math.ceil(granted * (1 + rates));
            wait = Math.max(0, free - now) + (long) (chance.getAsDouble() * length / 6);
        }
        // An owner looks when its lease runs out, whatever it has asked.
        due = epoch > 0 ? Math.min(now + wait, Math.max(now, until)) : now + wait;
        act.wake(due);
    }

    /** A command has been committed and applied, in its order; the duty's entry after it. */
    public void applied(long now, Command command, boolean changed, Duties.Entry after) {
        if (!command.duty().equals(duty)) {
            return;
        }
        boolean mine = command.by().equals(me) && command.ticket() == ticket && asked != Kind.NONE;
        long asking = askedAt;
        if (changed) {
            entry = after;
            // Work begun and finished lengthens no lease.
            heardAt = command instanceof Command.Begin || command instanceof Command.Finish ? heardAt : now;
        }
        if (changed && !mine && asked == Kind.TAKE) {
            // Danger: what was asked is of an entry that is no more; asked again at once it would not wait for the one that is.
            asked = Kind.NONE;
        }
        if (mine) {
            Kind what = asked;
            asked = Kind.NONE;
            // Danger: granted so late that it is over; then it is as one of another's.
            if (changed && (what == Kind.TAKE || what == Kind.RENEW) && now < asking + length) {
                boolean fresh = epoch != after.epoch();
                epoch = after.epoch();
                until = asking + length;
                if (fresh) {
                    act.owns(after);
                }
            }
        }
        if (epoch > 0 && (!me.equals(entry.owner()) || entry.epoch() != epoch)) {
            drop();
        }
        if (changed && !willing && epoch == 0 && me.equals(entry.owner())) {
            // Granted after it was let go.
            ticket++;
            act.propose(new Command.Release(duty, me, ticket, entry.epoch()));
        }
        if (asked == Kind.NONE) {
            plan(now);
        }
    }

    private void drop() {
        epoch = 0;
        until = 0;
        act.lost();
    }

    /** Goes on with what is due. */
    public void look(long now) {
        if (epoch > 0 && now >= until) {
            drop();
            asked = Kind.NONE;
        }
        if (now < due) {
            return;
        }
        if (epoch > 0) {
            ask(now, Kind.RENEW);
        } else if (willing) {
            ask(now, Kind.TAKE);
        }
    }

    /** Asked again it is the same question for half a lease, so that whichever is granted is known; its lease counts from the first. */
    private void ask(long now, Kind what) {
        if (asked != what || now - askedAt >= length / 2) {
            asked = what;
            askedAt = now;
            ticket++;
        }
        act.propose(what == Kind.TAKE ? new Command.Take(duty, me, ticket, entry.version(), length, atLeast)
                : new Command.Renew(duty, me, ticket, epoch));
        plan(now);
    }

    /** A receiver has seen a later epoch than this member's entry has: of before all members lost their state. */
    public void refused(long highest) {
        atLeast = Math.max(atLeast, highest + 1);
    }

    /** This member takes duties from now on, or lets go what it has, at once. */
    public void willing(long now, boolean is) {
        willing = is;
        if (!is && epoch > 0) {
            long of = epoch;
            drop();
            ticket++;
            asked = Kind.NONE;
            act.propose(new Command.Release(duty, me, ticket, of));
        } else if (is) {
            plan(now);
        }
    }
}
