package gorsestack.lab.net;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Holds all links of a run by the names of the parties at their ends, for example n3 (a balancer), u12 (an upstream), discovery, clients-a
 * and front-a (the clients and the front proxy of zone a). Stand-ins look up their links here, and faults select the links they apply to.
 * Confined to the event loop.
 */
public final class LinkRegistry {
    private final Map<String, Link> links = new HashMap<>();
    private final List<Consumer<Link>> newLinkListeners = new ArrayList<>();

    /** Returns the link over which one party connects to another, and creates it on first use. */
    public Link between(String from, String to) {
        Link link = links.get(from + ">" + to);
        if (link == null) {
            link = new Link(from, to);
            links.put(from + ">" + to, link);
            for (Consumer<Link> listener : List.copyOf(newLinkListeners)) {
                listener.accept(link);
            }
        }
        return link;
    }

    /** Calls the listener for each link created from now on, until the returned task is run. */
    public Runnable onNewLink(Consumer<Link> listener) {
        newLinkListeners.add(listener);
        return () -> newLinkListeners.remove(listener);
    }

    /** Returns all links between a party of one set and a party of another, whichever of them opens the connections, in a stable order. */
    public List<Link> between(Predicate<String> parties, Predicate<String> others) {
        return links.values().stream()
                .sorted((x, y) -> (x.from + x.to).compareTo(y.from + y.to))
                .filter(link -> (parties.test(link.from) && others.test(link.to))
                        || (parties.test(link.to) && others.test(link.from)))
                .toList();
    }
}
