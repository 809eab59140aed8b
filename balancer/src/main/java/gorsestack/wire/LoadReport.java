package gorsestack.wire;

import java.util.Arrays;
import java.util.List;

/**
 * Parses the header in which an upstream reports its load with a response, in the form name=value,name=value. Immutable; used by the proxy
 * on the event loop's thread.
 *
 * @param columns names of the values that are used, as configured in the settings
 */
public record LoadReport(List<String> columns) {
    static final String NAME = "x-load";

    /** Returns the values in the order of the columns; NaN where one is missing or not a number. */
    public double[] row(String report) {
        double[] row = new double[columns.size()];
        Arrays.fill(row, Double.NaN);
        for (String part : report.split(",")) {
            int equals = part.indexOf('=');
            int column =
                    equals < 0 ? -1 : columns.indexOf(part.substring(0, equals).strip());
            if (column >= 0) {
                try {
                    row[column] = Double.parseDouble(part.substring(equals + 1).strip());
                } catch (NumberFormatException e) {
                    row[column] = Double.NaN;
                }
            }
        }
        return row;
    }
}
