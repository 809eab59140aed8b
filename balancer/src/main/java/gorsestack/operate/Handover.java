package gorsestack.operate;

import gorsestack.wire.Owner;
import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * What two processes of one balancer share during an upgrade: what operators said, in one small file, and who else is
 * there, as held locks, which go with their process. All of it on one thread of its own, never the owner's.
 */
public final class Handover {
    /** Who is told, on the owner's thread. */
    public interface Listener {
        /** Said by hand, here or to the other process: when that upstream was called back, or OUT. */
        void byHand(String upstream, long back);

        /** Whether another process of this balancer runs, and whether that one takes in clients too. */
        void beside(boolean another, boolean open);

        /** What this process has learnt, as rows of figures. */
        double[][] learnt();

        /** What an older process of this balancer has learnt. */
        void learnt(double[][] told);
    }

    /** Called back never, so far. */
    public static final long OUT = Long.MAX_VALUE;

    private static final System.Logger LOG = System.getLogger("gorsestack.handover");
    private static final String FORM = "gorsestack by hand 1";
    /** Two bytes of the lock's file a process, in the order of their starts: there, and open. The file stays empty. */
    private static final long END = 1L << 40;
    private static final long WRITING = END;
    /** Ten times within the shortest grace that is usual, 2 s. */
    private static final long LOOK_MS = 200;
    /** Long past any upstream's cold time. */
    private static final long FORGET = 600_000_000_000L;

    private final Owner owner;
    private final Listener listener;
    private final Path state;
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread made = new Thread(task, "handover");
        made.setDaemon(true);
        return made;
    });
    private final Map<String, Long> known = new HashMap<>();
    private FileChannel locks;
    private long place;
    private String read = "";
    private boolean another;
    private boolean otherOpen;
    private boolean younger;
    /** Has not heard yet what the process before it learnt. */
    private boolean beginning;
    private double[][] learnt = {};
    private FileLock opened;
    private volatile boolean successor;

    /** In this folder, which both processes see; name tells this balancer from others there. */
    public Handover(Path folder, String name, Owner owner, Listener listener) {
        this.owner = owner;
        this.listener = listener;
        String file = "gorsestack-" + URLEncoder.encode(name, StandardCharsets.UTF_8);
        state = folder.resolve(file + ".state");
        try {
            locks = FileChannel.open(folder.resolve(file + ".lock"), StandardOpenOption.CREATE, StandardOpenOption.READ,
                    StandardOpenOption.WRITE);
            // Danger: two that start at once would take one place.
            try (FileLock writing = locks.lock(WRITING, 1, false)) {
                place = firstFree();
                locks.lock(place, 1, false);
            }
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "no handover, nothing is shared: {0}", e.toString());
            locks = null;
        }
        another = locks != null && place > 0 && held(0, place);
        otherOpen = another;
        load();
    }

    /** The first place with none taken from there on. */
    private long firstFree() throws IOException {
        long low = 0;
        long high = END;
        while (low < high) {
            long middle = (low + high) / 2;
            if (held(middle, END)) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low + (low & 1);
    }

    private boolean held(long from, long to) {
        try (FileLock lock = locks.tryLock(from, to - from, false)) {
            return lock == null;
        } catch (OverlappingFileLockException e) {
            return true; // by this process
        } catch (IOException e) {
            return false;
        }
    }

    /** Whether another process of this balancer ran when this one started. */
    public boolean predecessor() {
        return another;
    }

    /**
     * Whether a later process of this balancer has opened its listener, by now. Danger: asked to end a moment after the
     * other process opened; what was seen last is not enough.
     */
    public boolean successor() {
        try {
            thread.submit(this::look).get(LOOK_MS, TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.log(System.Logger.Level.WARNING, "the other process was not seen in time: {0}", e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return successor;
    }

    /** Looks after the other process from now on. */
    public void start() {
        beginning = true;
        thread.scheduleWithFixedDelay(this::look, 0, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** This process takes in clients by now. */
    public void open() {
        if (locks != null) {
            try {
                opened = locks.lock(place + 1, 1, false);
            } catch (IOException e) {
                LOG.log(System.Logger.Level.WARNING, "not seen as open: {0}", e.toString());
            }
        }
    }

    /** This process takes in none any more. */
    public void close() {
        try {
            if (opened != null) {
                opened.release();
            }
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "not seen as closed: {0}", e.toString());
        }
    }

    private void look() {
        if (locks == null) {
            return;
        }
        boolean before = another;
        boolean later = held(place + 2, END);
        boolean openBefore = otherOpen;
        if (later && !younger) {
            owner.execute(() -> {
                double[][] rows = listener.learnt();
                thread.execute(() -> pass(rows));
            });
        }
        younger = later;
        // Danger: a successor that is not open yet must not be left alone with the clients.
        successor = later && anyOpen(place + 2, place + 16);
        otherOpen = successor || anyOpen(Math.max(0, place - 16), place);
        another = later || place > 0 && held(0, place);
        if (another != before || otherOpen != openBefore) {
            boolean there = another;
            boolean open = otherOpen;
            owner.execute(() -> listener.beside(there, open));
        }
        if (another != before) {
            LOG.log(System.Logger.Level.INFO, another ? "another process of this balancer runs"
                    : "the only process of this balancer");
        }
        if (another || before) {
            load();
        }
    }

    private boolean anyOpen(long from, long to) {
        for (long p = from; p < to; p += 2) {
            if (held(p + 1, p + 2)) {
                return true;
            }
        }
        return false;
    }

    /** Danger: the yes to an operator must hold over a kill of this process; it is said once the file is there. */
    public void said(String upstream, long back, Runnable then) {
        thread.execute(() -> {
            try {
                if (locks != null) {
                    try (FileLock writing = locks.lock(WRITING, 1, false)) {
                        load();
                        known.put(upstream, back);
                        write();
                    }
                }
                known.put(upstream, back);
            } catch (IOException e) {
                LOG.log(System.Logger.Level.WARNING, "not kept for the next process: {0}", e.toString());
            }
            owner.execute(then);
        });
    }

    /** A process that takes over begins with what this one has learnt. */
    private void pass(double[][] rows) {
        try (FileLock writing = locks.lock(WRITING, 1, false)) {
            load();
            learnt = rows;
            write();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "what was learnt is not passed on: {0}", e.toString());
        }
    }

    private void write() throws IOException {
        StringBuilder text = new StringBuilder(FORM + "\n");
        known.values().removeIf(back -> back != OUT && back < owner.now() - FORGET);
        new TreeMap<>(known).forEach((name, back) -> text.append(back == OUT ? "out" : "back " + back).append(' ')
                .append(URLEncoder.encode(name, StandardCharsets.UTF_8)).append('\n'));
        for (double[] row : learnt) {
            text.append("learnt");
            Arrays.stream(row).forEach(figure -> text.append(' ').append(figure));
            text.append('\n');
        }
        read = text.append("end\n").toString();
        Path fresh = state.resolveSibling(state.getFileName() + ".new");
        Files.writeString(fresh, read);
        Files.move(fresh, state, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Takes what the file says that is not known; of one that is damaged, the lines that make sense. */
    private void load() {
        String text;
        try {
            text = Files.exists(state) ? Files.readString(state, StandardCharsets.ISO_8859_1) : "";
        } catch (IOException e) {
            text = "?";
        }
        if (text.equals(read)) {
            return;
        }
        read = text;
        String[] lines = text.split("\n");
        boolean good = lines[0].equals(FORM);
        boolean whole = good && lines[lines.length - 1].equals("end") && text.endsWith("\n");
        // A last line without its end may be cut in the middle of a name.
        int until = whole ? lines.length - 1 : text.endsWith("\n") ? lines.length : lines.length - 1;
        List<double[]> rows = new ArrayList<>();
        for (int i = 1; good && i < until; i++) {
            whole &= line(lines[i].split(" "), rows);
        }
        learnt = rows.toArray(double[][]::new);
        // Danger: rows of an earlier upgrade, read before the old process has seen this one; rows read once more later on.
        if (beginning && another && !younger && learnt.length > 0) {
            beginning = false;
            double[][] told = learnt;
            owner.execute(() -> listener.learnt(told));
        }
        if (!whole) {
            LOG.log(System.Logger.Level.WARNING, "{0} is damaged or of another version; taken is what can be read", state);
        }
    }

    private boolean line(String[] words, List<double[]> rows) {
        try {
            if (words[0].equals("learnt")) {
                rows.add(Arrays.stream(words).skip(1).mapToDouble(Double::parseDouble).toArray());
                return true;
            }
            boolean out = words.length == 2 && words[0].equals("out");
            if (!out && !(words.length == 3 && words[0].equals("back"))) {
                return false;
            }
            long back = out ? OUT : Long.parseLong(words[1]);
            String name = URLDecoder.decode(words[words.length - 1], StandardCharsets.UTF_8);
            if (!Long.valueOf(back).equals(known.put(name, back))) {
                owner.execute(() -> listener.byHand(name, back));
            }
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }
}
