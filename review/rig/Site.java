import java.util.List;
import java.util.Locale;

/** Configurations with the figures of gt-central at its first size: zones, products, limits and rules. */
final class Site {
    static final List<String> ZONES = List.of("zona-10", "mixco", "xela", "antigua");

    private Site() {}

    /** Returns a configuration; {@code mgmt} is 0 for no operators' address. */
    static String configuration(String name, int port, int mgmt, String discovery, String known, int balancers, int me) {
        String operators = mgmt == 0 ? "" : "\"mgmt\":\"" + Rig.LOOPBACK + ":" + mgmt + "\",";
        return String.format(
                Locale.ROOT,
                """
                {"name":"%s","listen":"%s:%d",%s"discovery":"%s","seed":"8c1f30d27a5be96%x",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":%s,
                 "settings":{
                  "az":"zona-10","zones":["zona-10","mixco","xela","antigua"],"tier":0,"tiers":["api","memoria"],
                  "me":%d,"replicasOfMe":%d,"step":5.0,"membershipMode":"subscribe","weightSource":"none",
                  "billedValueBy":"work",
                  "limits":{"connIdle":30000.0,"connectTimeout":120.0,"mayCancel":true,"mostShots":4,"secondCopies":true,
                            "retryAfter":true,"maxRetryAfter":1500.0,"peers":false,"probing":true,"streamsPerConn":1},
                  "rules":{"answerSlack":50.0,"askWithin":10000.0,"cold":22000.0,"coldShare":0.14,"drainGrace":2000.0,
                           "fallMultiple":2.5,"fall":1000.0},
                  "reporting":{"source":"none","columns":[]},
                  "products":[
                   {"name":"buscar","semantics":"free","clientTimeout":3000.0,"latencySlo":1200.0,"billedValue":2.0,
                    "lateBilledValue":0.3},
                   {"name":"guardar","semantics":"free","clientTimeout":3000.0,"latencySlo":1200.0,"billedValue":3.0,
                    "lateBilledValue":0.5},
                   {"name":"importar","semantics":"single_shot","clientTimeout":3000.0,"latencySlo":1200.0,
                    "billedValue":2.0,"lateBilledValue":0.5},
                   {"name":"publicar","semantics":"guarded","keyScope":"zone","repeatWindow":6000.0,
                    "clientTimeout":3000.0,"latencySlo":1500.0,"billedValue":3.0,"lateBilledValue":0.25}]}}
                """,
                name, Rig.LOOPBACK, port, operators, discovery, me, known, me, balancers);
    }
}
