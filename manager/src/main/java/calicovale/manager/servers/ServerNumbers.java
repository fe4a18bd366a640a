package calicovale.manager.servers;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * Owns the numbers by which the controller knows video servers. A number follows from the server's name alone, so that all
 * managers have the same: they take turns at cold servers by it.
 */
final class ServerNumbers {
    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<Long, String> names = new HashMap<>();

    /** The number of a name; where two names share one, the later gets the next free. */
    long numberOf(String name) {
        Long known = numbers.get(name);
        if (known != null) {
            return known;
        }
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        long number = crc.getValue();
        while (names.containsKey(number)) {
            number++;
        }
        numbers.put(name, number);
        names.put(number, name);
        return number;
    }

    /** Forgets a name. */
    void forget(String name) {
        names.remove(numbers.remove(name));
    }

    int size() {
        return numbers.size();
    }
}
