package gorsestack.lab.run;

import gorsestack.lab.standin.Upstream;
import gorsestack.lab.standin.World;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Predicate;

/** Who a scenario's words name: n3, u12, discovery, clients-a, front-a. */
final class Parties {
    private final World world;
    private final Upstream.Fleet upstreams;

    Parties(World world, Upstream.Fleet upstreams) {
        this.world = world;
        this.upstreams = upstreams;
    }

    List<String> all() {
        List<String> all = new ArrayList<>();
        for (int b = 0; b < world.scenario.processes(); b++) {
            all.add("n" + b);
        }
        upstreams.all.forEach(u -> all.add(u.name()));
        world.scenario.zones().forEach(z -> all.add("clients-" + z));
        all.add("discovery");
        return all;
    }

    String zone(String party) {
        int number = party.matches("[nu]\\d+") ? Integer.parseInt(party.substring(1)) : -1;
        int front = world.scenario.fleet().balancers();
        if (party.startsWith("u")) {
            return upstreams.all.get(number).zone;
        }
        if (party.startsWith("n")) {
            return number < front ? world.zone(number) : upstreams.all.get(number - front).zone;
        }
        return party.startsWith("clients-") ? party.substring(8) : party.startsWith("front-") ? party.substring(6) : "";
    }

    /** Whether a party is meant, leaving shares aside. */
    Predicate<String> meant(String words) {
        Predicate<String> all = p -> true;
        for (String word : words.split("@")) {
            String plain = word.startsWith("!") ? word.substring(1) : word;
            if (!plain.startsWith("share:")) {
                Predicate<String> one = one(plain);
                all = all.and(word.startsWith("!") ? one.negate() : one);
            }
        }
        return all;
    }

    private Predicate<String> one(String word) {
        int front = world.scenario.fleet().balancers();
        if (word.startsWith("zone:")) {
            return p -> zone(p).equals(word.substring(5));
        }
        if (word.startsWith("tier:")) {
            int tier = Integer.parseInt(word.substring(5));
            return p -> p.startsWith("u") && upstreams.all.get(Integer.parseInt(p.substring(1))).tier == tier;
        }
        return switch (word) {
            case "all" -> p -> true;
            case "balancers" -> p -> p.matches("n\\d+");
            case "front" -> p -> p.matches("n\\d+") && Integer.parseInt(p.substring(1)) < front;
            case "later" -> p -> p.matches("n\\d+") && Integer.parseInt(p.substring(1)) >= front;
            case "upstreams" -> p -> p.matches("u\\d+");
            case "clients" -> p -> p.startsWith("clients-");
            default -> word::equals;
        };
    }

    /** Those meant, a share of them drawn; the same at each run of a seed. */
    Set<String> chosen(String words, long seed) {
        List<String> found = new ArrayList<>(all().stream().filter(meant(words)).toList());
        for (String word : words.split("@")) {
            if (word.startsWith("share:")) {
                int most = (int) Math.round(found.size() * Double.parseDouble(word.substring(6)));
                SplittableRandom random = new SplittableRandom(seed);
                for (int i = found.size() - 1; i > 0; i--) {
                    String other = found.set(random.nextInt(i + 1), found.get(i));
                    found.set(i, other);
                }
                found = new ArrayList<>(found.subList(0, most));
            }
        }
        return new TreeSet<>(found);
    }
}
