package gorsestack.lab.scenario;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * One table of a scenario file, for {@link ScenarioReader} and {@link FaultReader}. Callers read each key with its type, range and default,
 * and then reject the keys that were not read. Without this, a misspelled key would mean a fault that never happens and a run that proves
 * nothing. Not thread-safe.
 */
final class Section {
    /** Default of a number whose key has to be present. */
    static final double REQUIRED = Double.NaN;

    /** Converts one table of a list to a value. */
    interface Reader<T> {
        T read(Section section) throws InvalidScenarioException;
    }

    private final String file;
    private final String path;
    private final TomlTable table;
    private final int line;
    private final Set<String> knownKeys = new HashSet<>();

    /**
     * Creates a section.
     *
     * @param path prefix of the keys in error messages
     * @param table the table, or null if it is absent
     * @param line line of the table in the file
     */
    Section(String file, String path, TomlTable table, int line) {
        this.file = file;
        this.path = path;
        this.table = table;
        this.line = line;
    }

    /** Returns the error to throw for an invalid value, which names the file, line and key. */
    InvalidScenarioException invalid(String key, String reason) {
        TomlPosition position =
                table == null || !table.contains(List.of(key)) ? null : table.inputPositionOf(List.of(key));
        return new InvalidScenarioException(
                file + ":" + (position == null ? line : position.line()) + ": " + path + key + " " + reason);
    }

    private Object value(String key) {
        knownKeys.add(key);
        return table == null ? null : table.get(List.of(key));
    }

    /** Returns whether a key is present. */
    boolean has(String key) {
        return value(key) != null;
    }

    /** Returns a text. The key is required if its default is null. */
    String text(String key, String defaultValue) throws InvalidScenarioException {
        Object value = value(key);
        if (value == null) {
            if (defaultValue == null) {
                throw invalid(key, "is missing");
            }
            return defaultValue;
        }
        if (!(value instanceof String text) || text.isEmpty()) {
            throw invalid(key, "must be text, not " + value);
        }
        return text;
    }

    /** Returns a text that has to be one of the given words. The key is required if its default is null. */
    String oneOf(String key, String defaultValue, List<String> words) throws InvalidScenarioException {
        String text = text(key, defaultValue);
        if (!words.contains(text)) {
            throw invalid(key, "must be one of " + String.join(", ", words) + ", not " + text);
        }
        return text;
    }

    /** Returns a number within a range. The key is required if its default is {@link #REQUIRED}. */
    double number(String key, double defaultValue, double min, double max) throws InvalidScenarioException {
        Object value = value(key);
        if (value == null) {
            if (Double.isNaN(defaultValue)) {
                throw invalid(key, "is missing");
            }
            return defaultValue;
        }
        double number = value instanceof Long integer ? integer : value instanceof Double real ? real : Double.NaN;
        if (!(number >= min && number <= max)) {
            throw invalid(key, "must be a number from " + format(min) + " to " + format(max) + ", not " + value);
        }
        return number;
    }

    /** Returns a whole number within a range. */
    int integer(String key, int defaultValue, int min, int max) throws InvalidScenarioException {
        double number = number(key, defaultValue, min, max);
        if (number != Math.rint(number)) {
            throw invalid(key, "must be a whole number");
        }
        return (int) number;
    }

    /** Returns true or false. */
    boolean flag(String key, boolean defaultValue) throws InvalidScenarioException {
        Object value = value(key);
        if (value != null && !(value instanceof Boolean)) {
            throw invalid(key, "must be true or false, not " + value);
        }
        return value == null ? defaultValue : (Boolean) value;
    }

    /** Returns a list of texts. */
    List<String> texts(String key, List<String> defaultValue) throws InvalidScenarioException {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof TomlArray array)) {
            throw invalid(key, "must be a list of texts, not " + value);
        }
        List<String> texts = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            if (!(array.get(i) instanceof String text)) {
                throw invalid(key, "must be a list of texts");
            }
            texts.add(text);
        }
        return texts;
    }

    /** Returns a table within this one. All keys of an absent table have their defaults. */
    Section section(String key) throws InvalidScenarioException {
        Object value = value(key);
        if (value != null && !(value instanceof TomlTable)) {
            throw invalid(key, "must be a table");
        }
        int position =
                value == null ? line : table.inputPositionOf(List.of(key)).line();
        return new Section(file, path + key + ".", (TomlTable) value, position);
    }

    /** Returns the values that a reader converts the tables of a list to. */
    <T> List<T> list(String key, Reader<T> reader) throws InvalidScenarioException {
        List<T> items = new ArrayList<>();
        for (Section section : sections(key)) {
            items.add(reader.read(section));
        }
        return items;
    }

    /** Returns the tables of a list, which is empty if the key is absent. */
    List<Section> sections(String key) throws InvalidScenarioException {
        Object value = value(key);
        if (value == null) {
            return List.of();
        }
        if (!(value instanceof TomlArray array)) {
            throw invalid(key, "must be a list of tables, [[" + path + key + "]]");
        }
        List<Section> sections = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            if (!(array.get(i) instanceof TomlTable item)) {
                throw invalid(key, "must be a list of tables");
            }
            sections.add(new Section(
                    file,
                    path + key + "[" + i + "].",
                    item,
                    array.inputPositionOf(i).line()));
        }
        return sections;
    }

    /** Throws an exception if the table has a key that was not read. */
    void rejectUnknownKeys() throws InvalidScenarioException {
        if (table == null) {
            return;
        }
        for (String key : table.keySet()) {
            if (!knownKeys.contains(key)) {
                throw invalid(
                        key,
                        "is not known here; known are "
                                + String.join(", ", knownKeys.stream().sorted().toList()));
            }
        }
    }

    private static String format(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? Long.toString((long) number)
                : Double.toString(number);
    }
}
