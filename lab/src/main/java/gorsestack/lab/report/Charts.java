package gorsestack.lab.report;

import gorsestack.lab.scenario.InvalidScenarioException;
import gorsestack.lab.scenario.Scenario;
import gorsestack.lab.scenario.ScenarioReader;
import gorsestack.lab.verify.Call;
import gorsestack.lab.verify.Call.Outcome;
import gorsestack.lab.verify.Calls;
import gorsestack.lab.verify.Records;
import gorsestack.lab.verify.Records.InjectedFault;
import gorsestack.lab.verify.Records.ListCall;
import gorsestack.lab.verify.Records.UpstreamAttempt;
import gorsestack.lab.verify.RunMetrics;
import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.geom.Rectangle2D;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.StandardChartTheme;
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.ui.Layer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/** Draws charts of a run over time as SVG, for {@link HtmlReport} and the report command; called on the thread of the command. */
public final class Charts {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 260;
    private static final Color GRID_COLOR = new Color(220, 220, 220);
    private static final Color FAULT_COLOR = new Color(255, 200, 160);
    private static final float FAULT_OPACITY = 0.6f;
    /** The minimum width of a fault in a chart, in nanoseconds, which keeps faults without a duration visible. */
    private static final long MIN_FAULT_WIDTH = RunMetrics.SECOND / 5;
    /** The upper end of an axis of fractions; it is above 1 to keep a line at 1 visible. */
    private static final double FRACTION_AXIS_END = 1.02;

    /** The axis end that stands for the end of the data. */
    private static final double AUTOMATIC_AXIS_END = 0;

    private Charts() {}

    /** Returns the charts of a run by their titles, in the order of the report. */
    static Map<String, String> of(Scenario scenario, Records records) {
        Map<Long, List<Call>> calls = Calls.bySecond(new RunMetrics(scenario, records, 0).calls());
        List<InjectedFault> faults = records.injectedFaults;
        Map<String, String> charts = new LinkedHashMap<>();
        charts.put("Served fraction by zone", svg("share", served(calls, scenario), faults, FRACTION_AXIS_END));
        charts.put("Calls by outcome", svg("calls per second", outcomes(calls), faults, AUTOMATIC_AXIS_END));
        charts.put("Latency of served calls", svg("ms", latency(calls), faults, AUTOMATIC_AXIS_END));
        charts.put(
                "Upstream connections, open and newly opened",
                svg("connections", connections(records), faults, AUTOMATIC_AXIS_END));
        charts.put(
                "Requests for the endpoint list",
                svg(
                        "per second",
                        rate(
                                "list calls",
                                records.listCalls.stream().map(ListCall::at).toList()),
                        faults,
                        AUTOMATIC_AXIS_END));
        charts.put(
                "Attempts",
                svg(
                        "per second",
                        rate(
                                "attempts",
                                records.upstreamAttempts.stream()
                                        .map(UpstreamAttempt::startedAt)
                                        .toList()),
                        faults,
                        AUTOMATIC_AXIS_END));
        return charts;
    }

    /** Writes a chart that compares the served fractions of several stored runs. It marks the first fault of the first run that has one. */
    public static void writeServedChart(List<Path> runs, Path file) throws IOException, InvalidScenarioException {
        XYSeriesCollection data = new XYSeriesCollection();
        List<InjectedFault> faults = new ArrayList<>();
        for (Path run : runs) {
            Scenario scenario =
                    ScenarioReader.read(run.toString(), Files.readString(run.resolve(RunResult.SCENARIO_FILE)));
            Records records = Records.read(run.resolve(RunResult.RECORDS_FILE));
            RunResult result = RunResult.read(run);
            data.addSeries(series(
                    result.scenario() + " " + result.seed(),
                    Calls.bySecond(new RunMetrics(scenario, records, 0).calls()),
                    Calls::servedFraction));
            if (faults.isEmpty()) {
                faults.addAll(result.faults());
            }
        }
        List<InjectedFault> firstFault = faults.subList(0, Math.min(1, faults.size()));
        Files.writeString(file, svg("served fraction", data, firstFault, FRACTION_AXIS_END) + "\n");
    }

    /** Returns a series with one value per second, computed from the calls of the second and drawn at its middle. */
    private static XYSeries series(String name, Map<Long, List<Call>> calls, ToDoubleFunction<List<Call>> value) {
        XYSeries series = new XYSeries(name);
        calls.forEach((second, callsInSecond) -> series.add(second + 0.5, value.applyAsDouble(callsInSecond)));
        return series;
    }

    private static XYSeriesCollection served(Map<Long, List<Call>> calls, Scenario scenario) {
        XYSeriesCollection data = new XYSeriesCollection();
        data.addSeries(series("all", calls, Calls::servedFraction));
        for (String zone : scenario.zones().stream().sorted().toList()) {
            Map<Long, List<Call>> ofZone = new TreeMap<>();
            calls.forEach((second, callsInSecond) -> {
                List<Call> zoneCalls = callsInSecond.stream()
                        .filter(call -> call.zone().equals(zone))
                        .toList();
                if (!zoneCalls.isEmpty()) {
                    ofZone.put(second, zoneCalls);
                }
            });
            data.addSeries(series("zone " + zone, ofZone, Calls::servedFraction));
        }
        return data;
    }

    private static XYSeriesCollection outcomes(Map<Long, List<Call>> calls) {
        XYSeriesCollection data = new XYSeriesCollection();
        for (Outcome outcome : List.of(Outcome.SERVED, Outcome.RATE_LIMITED, Outcome.ERRORED)) {
            data.addSeries(series(
                    outcome.label(),
                    calls,
                    callsInSecond -> callsInSecond.stream()
                            .filter(call -> call.outcome() == outcome)
                            .count()));
        }
        return data;
    }

    private static XYSeriesCollection latency(Map<Long, List<Call>> calls) {
        XYSeriesCollection data = new XYSeriesCollection();
        for (int percentile : new int[] {50, 99}) {
            data.addSeries(series(
                    percentile + "th percentile",
                    calls,
                    callsInSecond -> Calls.latencyPercentileMs(callsInSecond, percentile)));
        }
        return data;
    }

    private static XYSeriesCollection connections(Records records) {
        XYSeries open = new XYSeries("open");
        XYSeries opened = new XYSeries("opened in the second");
        records.secondSamples.forEach(sample -> {
            open.add(sample.second() + 1, sample.connections());
            opened.add(sample.second() + 0.5, sample.opened());
        });
        XYSeriesCollection data = new XYSeriesCollection(open);
        data.addSeries(opened);
        return data;
    }

    /** Returns the number of events in each second from 0 to the last second with an event. */
    private static XYSeriesCollection rate(String name, List<Long> times) {
        TreeMap<Long, Integer> counts = new TreeMap<>();
        times.forEach(time -> counts.merge(Math.floorDiv(time, RunMetrics.SECOND), 1, Integer::sum));
        XYSeries series = new XYSeries(name);
        if (!counts.isEmpty()) {
            for (long second = 0; second <= counts.lastKey(); second++) {
                series.add(second + 0.5, counts.getOrDefault(second, 0));
            }
        }
        return new XYSeriesCollection(series);
    }

    private static String svg(String unit, XYSeriesCollection data, List<InjectedFault> faults, double axisEnd) {
        JFreeChart chart = ChartFactory.createXYLineChart(null, "seconds", unit, data);
        theme().apply(chart);
        chart.setBackgroundPaint(Color.WHITE);
        XYPlot plot = chart.getXYPlot();
        faults.forEach(fault -> plot.addDomainMarker(marker(fault), Layer.BACKGROUND));
        if (axisEnd != AUTOMATIC_AXIS_END) {
            plot.getRangeAxis().setRange(0, axisEnd);
        }
        SVGGraphics2D graphics = new SVGGraphics2D(WIDTH, HEIGHT);
        chart.draw(graphics, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
        return graphics.getSVGElement();
    }

    private static StandardChartTheme theme() {
        StandardChartTheme theme = new StandardChartTheme("plain");
        theme.setExtraLargeFont(new Font("SansSerif", Font.PLAIN, 12));
        theme.setLargeFont(new Font("SansSerif", Font.PLAIN, 11));
        theme.setRegularFont(new Font("SansSerif", Font.PLAIN, 10));
        theme.setPlotBackgroundPaint(Color.WHITE);
        theme.setDomainGridlinePaint(GRID_COLOR);
        theme.setRangeGridlinePaint(GRID_COLOR);
        return theme;
    }

    private static IntervalMarker marker(InjectedFault fault) {
        double until = Math.max(fault.until(), fault.from() + MIN_FAULT_WIDTH) / 1e9;
        return new IntervalMarker(
                fault.from() / 1e9, until, FAULT_COLOR, new BasicStroke(1f), null, null, FAULT_OPACITY);
    }
}
