package gorsestack.lab.report;

import gorsestack.lab.scenario.Scenario;
import gorsestack.lab.verify.Records;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Writes the report of a run as a single HTML page with inlined charts, which can be opened without a network. */
public final class HtmlReport {
    /** The name of the report file in the folder of its run. */
    public static final String FILE = "report.html";

    /** The length after which the list of a fault's targets is truncated, in characters. */
    private static final int MAX_CELL_LENGTH = 300;

    private static final String STYLE =
            "body{font:14px sans-serif;max-width:960px;margin:2em auto;padding:0 1em;color:#222}"
                    + "table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;padding:3px 8px;text-align:left}"
                    + ".PASS{color:#176b2c}.FAIL{color:#b00020}.VOID{color:#8a6d00}";

    private final StringBuilder page = new StringBuilder();

    private HtmlReport() {}

    /** Writes the report to the folder of its run. */
    public static void write(Path folder, Scenario scenario, Records records, RunResult result) throws IOException {
        HtmlReport report = new HtmlReport();
        report.addHeader(result);
        Charts.of(scenario, records).forEach(report::addChart);
        report.addTables(records, result);
        Files.writeString(
                folder.resolve(FILE), report.page.append("</body></html>\n").toString());
    }

    private void addHeader(RunResult result) {
        String title = escape(result.scenario()) + ", seed " + result.seed();
        page.append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(title)
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body><h1>")
                .append(title)
                .append("</h1><p>")
                .append(escape(result.about()))
                .append("</p><p><b class=\"")
                .append(result.verdict())
                .append("\">")
                .append(escape(result.line()))
                .append("</b></p><p>")
                .append(escape(result.version()))
                .append(", ")
                .append(escape(result.startedAt()))
                .append("; ")
                .append(escape(result.machine().toString()))
                .append("</p>");
    }

    private void addChart(String title, String svg) {
        page.append("<h2>").append(escape(title)).append("</h2>").append(svg);
    }

    private void addTables(Records records, RunResult result) {
        addTable(
                "Invariants",
                List.of("figure", "over", "wanted", "was", "holds"),
                result.invariants().stream()
                        .map(invariant -> List.of(
                                invariant.metric(),
                                invariant.period(),
                                invariant.expected(),
                                format(invariant.actual()),
                                invariant.holds() ? "yes" : "no"))
                        .toList());
        addTable(
                "Rules broken",
                List.of("first ones"),
                result.firstViolations().stream().map(List::of).toList());
        addTable(
                "Faults",
                List.of("what", "from s", "until s", "whom"),
                result.faults().stream()
                        .map(fault -> List.of(
                                fault.label(),
                                format(fault.from() / 1e9),
                                format(fault.until() / 1e9),
                                truncate(String.join(" ", fault.targets()))))
                        .toList());
        addTable(
                "Processes",
                List.of("s", "balancer", "what"),
                records.processEvents.stream()
                        .map(event -> List.of(format(event.at() / 1e9), "n" + event.balancer(), event.event()))
                        .toList());
        addTable(
                "Figures",
                List.of("figure", "was"),
                result.metrics().entrySet().stream().map(HtmlReport::metricRow).toList());
    }

    private static List<String> metricRow(Map.Entry<String, Double> metric) {
        return List.of(metric.getKey(), format(metric.getValue()));
    }

    private void addTable(String title, List<String> columns, List<? extends List<String>> rows) {
        if (rows.isEmpty()) {
            return;
        }
        page.append("<h2>").append(title).append("</h2><table><tr>");
        columns.forEach(column -> page.append("<th>").append(column).append("</th>"));
        page.append("</tr>");
        for (List<String> row : rows) {
            page.append("<tr>");
            row.forEach(cell -> page.append("<td>").append(escape(cell)).append("</td>"));
            page.append("</tr>");
        }
        page.append("</table>");
    }

    private static String truncate(String text) {
        return text.length() > MAX_CELL_LENGTH ? text.substring(0, MAX_CELL_LENGTH) + " ..." : text;
    }

    private static String format(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : String.format("%.4f", number);
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
