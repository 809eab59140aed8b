package gorsestack.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Arrays;

/**
 * Reads the values of one message in order from the parser, for {@link EventDispatcher}, and skips values beyond the known ones. Not
 * thread-safe.
 */
final class MessageReader {
    private final JsonParser in;
    private String message;
    private boolean ended;

    MessageReader(JsonParser in) {
        this.in = in;
    }

    /** Starts reading a message whose opening bracket the parser has just read. */
    void begin(String name) {
        message = name;
        ended = false;
    }

    /** Sets the name of the message that error messages contain. */
    void setName(String name) {
        message = name;
    }

    /** Skips the rest of the message. */
    void end() throws IOException {
        while (!ended) {
            if (next() != null) {
                in.skipChildren();
            }
        }
    }

    /** Returns the token of the next value, or null at the end of the message. */
    JsonToken next() throws IOException {
        if (ended) {
            return null;
        }
        JsonToken token = in.nextToken();
        if (token == null) {
            throw new InvalidBatchException(message + " is cut short");
        }
        ended = token == JsonToken.END_ARRAY;
        return ended ? null : token;
    }

    /** Reads a required string. */
    String text(String field) throws IOException {
        String value = textOrNull(field);
        if (value == null) {
            throw new InvalidBatchException(message + " lacks " + field);
        }
        return value;
    }

    /** Reads an optional string. An integer, which stands for no tenant, is treated as absent. */
    String textOrNull(String field) throws IOException {
        JsonToken token = next();
        if (token == null || token == JsonToken.VALUE_NULL || token == JsonToken.VALUE_NUMBER_INT) {
            return null;
        }
        if (token != JsonToken.VALUE_STRING) {
            throw new InvalidBatchException(message + ": " + field + " must be text, not " + token);
        }
        return in.getText();
    }

    /** Reads a required number. */
    double number(String field) throws IOException {
        double value = numberOr(field, Double.NaN);
        if (Double.isNaN(value)) {
            throw new InvalidBatchException(message + " lacks " + field);
        }
        return value;
    }

    /** Reads an optional number. */
    double numberOr(String field, double defaultValue) throws IOException {
        JsonToken token = next();
        if (token == null || token == JsonToken.VALUE_NULL) {
            return defaultValue;
        }
        if (!token.isNumeric()) {
            throw new InvalidBatchException(message + ": " + field + " must be a number, not " + token);
        }
        return in.getDoubleValue();
    }

    /** Reads a required integer; only the low 64 bits of a larger one are returned. */
    long integer(String field) throws IOException {
        JsonToken token = next();
        if (token == null || token == JsonToken.VALUE_NULL) {
            throw new InvalidBatchException(message + " lacks " + field);
        }
        if (token != JsonToken.VALUE_NUMBER_INT) {
            throw new InvalidBatchException(message + ": " + field + " must be a whole number, not " + token);
        }
        return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? in.getBigIntegerValue().longValue()
                : in.getLongValue();
    }

    /** Reads an optional boolean; returns false if it is absent. */
    boolean flag(String field) throws IOException {
        JsonToken token = next();
        if (token == null || token == JsonToken.VALUE_NULL) {
            return false;
        }
        if (!token.isBoolean()) {
            throw new InvalidBatchException(message + ": " + field + " must be true or false, not " + token);
        }
        return token == JsonToken.VALUE_TRUE;
    }

    /** Reads an array of numbers, with NaN for other values; returns null if the value is not an array. */
    double[] numbersOrNull() throws IOException {
        if (next() != JsonToken.START_ARRAY) {
            if (!ended) {
                in.skipChildren();
            }
            return null;
        }
        double[] values = new double[8];
        int count = 0;
        for (JsonToken token; (token = in.nextToken()) != JsonToken.END_ARRAY; count++) {
            if (token == null) {
                throw new InvalidBatchException(message + " is cut short");
            }
            values = count < values.length ? values : Arrays.copyOf(values, count * 2);
            values[count] = token.isNumeric() ? in.getDoubleValue() : Double.NaN;
            in.skipChildren();
        }
        return Arrays.copyOf(values, count);
    }
}
