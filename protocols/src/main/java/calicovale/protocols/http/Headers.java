package calicovale.protocols.http;

import java.util.ArrayList;
import java.util.List;

/** Header fields of one message in their order. Field names are compared without regard to case. */
public final class Headers {
    private final List<String> namesAndValues = new ArrayList<>(16);

    /** Appends a field. */
    public Headers add(String name, String value) {
        namesAndValues.add(name);
        namesAndValues.add(value);
        return this;
    }

    /** Returns the value of the first field with a name, or null. */
    public String get(String name) {
        for (int i = 0; i < namesAndValues.size(); i += 2) {
            if (namesAndValues.get(i).equalsIgnoreCase(name)) {
                return namesAndValues.get(i + 1);
            }
        }
        return null;
    }

    /** Returns the values of all fields with a name, in order. */
    public List<String> getAll(String name) {
        List<String> result = new ArrayList<>();
        for (int i = 0; i < namesAndValues.size(); i += 2) {
            if (namesAndValues.get(i).equalsIgnoreCase(name)) {
                result.add(namesAndValues.get(i + 1));
            }
        }
        return result;
    }

    /** Returns whether a comma-separated field contains a token, such as {@code close} in {@code Connection}. */
    public boolean containsToken(String name, String token) {
        for (int i = 0; i < namesAndValues.size(); i += 2) {
            if (namesAndValues.get(i).equalsIgnoreCase(name)) {
                for (String part : namesAndValues.get(i + 1).split(",")) {
                    if (part.trim().equalsIgnoreCase(token)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Returns the number of fields. */
    public int size() {
        return namesAndValues.size() / 2;
    }

    /** Returns the name of the field at {@code index}. */
    public String name(int index) {
        return namesAndValues.get(2 * index);
    }

    /** Returns the value of the field at {@code index}. */
    public String value(int index) {
        return namesAndValues.get(2 * index + 1);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Headers headers && headers.namesAndValues.equals(namesAndValues);
    }

    @Override
    public int hashCode() {
        return namesAndValues.hashCode();
    }

    @Override
    public String toString() {
        return namesAndValues.toString();
    }
}
