package gorsestack.lab.run;

import gorsestack.lab.standin.Testbed;
import gorsestack.lab.standin.UpstreamPool;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Evaluates the expressions that select the parties of a fault in a scenario. Examples of party names are n3 (a balancer), u12 (an
 * upstream), discovery, clients-a (the clients of zone a) and front-a (the front proxy of zone a). Confined to the event loop.
 */
final class PartySelector {
    private static final String ZONE = "zone:";
    private static final String TIER = "tier:";
    private static final String FRACTION = "share:";
    private static final String CLIENTS = "clients-";
    private static final String FRONT = "front-";

    private final Testbed testbed;
    private final UpstreamPool upstreams;
    private final int fleetSize;

    PartySelector(Testbed testbed, UpstreamPool upstreams) {
        this.testbed = testbed;
        this.upstreams = upstreams;
        fleetSize = testbed.scenario.fleet().balancers();
    }

    /** Returns whether an expression draws a random fraction of the parties that it matches. */
    static boolean drawsFraction(String expression) {
        return expression.contains(FRACTION);
    }

    /** Returns the numbers of the balancers and upstreams in a set of parties. */
    static List<Integer> numbers(Set<String> parties) {
        return parties.stream()
                .filter(party -> party.matches("[nu]\\d+"))
                .map(PartySelector::number)
                .toList();
    }

    private static int number(String party) {
        return Integer.parseInt(party.substring(1));
    }

    private static boolean balancer(String party) {
        return party.matches("n\\d+");
    }

    private List<String> all() {
        List<String> parties = new ArrayList<>(balancers());
        upstreams.all.forEach(upstream -> parties.add(upstream.name()));
        testbed.scenario.zones().forEach(zone -> parties.add(CLIENTS + zone));
        parties.add("discovery");
        return parties;
    }

    /** Returns the names of all balancers. */
    List<String> balancers() {
        List<String> parties = new ArrayList<>();
        for (int number = 0; number < testbed.scenario.processes(); number++) {
            parties.add("n" + number);
        }
        return parties;
    }

    /** Returns the zone of a party, or an empty string if it has none. */
    private String zone(String party) {
        if (party.startsWith("u")) {
            return upstreams.all.get(number(party)).zone;
        }
        if (party.startsWith("n")) {
            int number = number(party);
            return number < fleetSize ? testbed.zone(number) : upstreams.all.get(number - fleetSize).zone;
        }
        if (party.startsWith(CLIENTS)) {
            return party.substring(CLIENTS.length());
        }
        return party.startsWith(FRONT) ? party.substring(FRONT.length()) : "";
    }

    /** Returns a predicate for the parties that match all terms of an expression, apart from its random fractions. */
    Predicate<String> matching(String expression) {
        Predicate<String> allTerms = party -> true;
        for (String term : expression.split("@")) {
            String positiveTerm = term.startsWith("!") ? term.substring(1) : term;
            if (!positiveTerm.startsWith(FRACTION)) {
                Predicate<String> matching = matchingTerm(positiveTerm);
                allTerms = allTerms.and(term.startsWith("!") ? matching.negate() : matching);
            }
        }
        return allTerms;
    }

    private Predicate<String> matchingTerm(String term) {
        if (term.startsWith(ZONE)) {
            return party -> zone(party).equals(term.substring(ZONE.length()));
        }
        if (term.startsWith(TIER)) {
            int tier = Integer.parseInt(term.substring(TIER.length()));
            return party -> party.startsWith("u") && upstreams.all.get(number(party)).tier == tier;
        }
        return switch (term) {
            case "all" -> party -> true;
            case "balancers" -> PartySelector::balancer;
            case "front" -> party -> balancer(party) && number(party) < fleetSize;
            case "later" -> party -> balancer(party) && number(party) >= fleetSize;
            case "upstreams" -> party -> party.matches("u\\d+");
            case "clients" -> party -> party.startsWith(CLIENTS);
            default -> term::equals;
        };
    }

    /** Returns the parties that an expression selects; random fractions depend on the seed alone. */
    Set<String> select(String expression, long seed) {
        List<String> selected =
                new ArrayList<>(all().stream().filter(matching(expression)).toList());
        for (String term : expression.split("@")) {
            if (term.startsWith(FRACTION)) {
                double fraction = Double.parseDouble(term.substring(FRACTION.length()));
                int count = (int) Math.round(selected.size() * fraction);
                shuffle(selected, new SplittableRandom(seed));
                selected = new ArrayList<>(selected.subList(0, count));
            }
        }
        return new TreeSet<>(selected);
    }

    private static void shuffle(List<String> items, SplittableRandom random) {
        for (int i = items.size() - 1; i > 0; i--) {
            String other = items.set(random.nextInt(i + 1), items.get(i));
            items.set(i, other);
        }
    }
}
