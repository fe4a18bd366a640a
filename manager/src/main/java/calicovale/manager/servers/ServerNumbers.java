package calicovale.manager.servers;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.zip.CRC32;

/**
 * Assigns the numbers by which the controller identifies video servers. A number is a checksum of the server's
 * name, so that all managers use the same one; by it they take turns at cold servers.
 */
final class ServerNumbers {
    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<Long, String> names = new HashMap<>();

    /**
     * Returns the number of a name. Where two names have the same checksum, the later one gets the next free number.
     */
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

    /** Removes a name, whose number becomes free. */
    void forget(String name) {
        names.remove(numbers.remove(name));
    }

    int size() {
        return numbers.size();
    }
}
