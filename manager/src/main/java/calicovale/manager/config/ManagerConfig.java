package calicovale.manager.config;

import calicovale.host.InvalidValueException;
import calicovale.host.KeyedValues;
import calicovale.host.PlatformSettings;
import calicovale.manager.bus.Addresses;
import calicovale.manager.bus.BusEvent;
import calicovale.protocols.json.Documents;
import calicovale.protocols.json.InvalidDocumentException;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A manager's configuration.
 *
 * @param name its name, the same after a restart
 * @param listen where viewers connect
 * @param bus where the event bus is
 * @param seed for random numbers
 * @param memoryMb its limit of memory
 * @param sockets its limit of descriptors
 * @param known the events up to now, in order
 * @param knownOffset the number of the last of them
 * @param platform the platform's settings
 */
public record ManagerConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress bus,
        long seed,
        int memoryMb,
        int sockets,
        List<BusEvent> known,
        long knownOffset,
        PlatformSettings platform) {
    private static final int HEX = 16;

    /** Reads a file; all its faults are told at once. */
    public static ManagerConfig read(Path file) throws InvalidDocumentException {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new InvalidDocumentException(List.of(file + ": : a readable file is expected (" + e + ")"));
        }
    }

    /** Reads a text; {@code file} leads each fault. */
    public static ManagerConfig read(String file, String text) throws InvalidDocumentException {
        List<String> faults = new ArrayList<>();
        ManagerConfig config = null;
        try {
            config = read(Documents.MAPPER.readTree(text), faults);
        } catch (JsonProcessingException e) {
            faults.add("JSON is expected (" + e.getOriginalMessage() + ")");
        }
        if (!faults.isEmpty()) {
            throw new InvalidDocumentException(
                    faults.stream().map(fault -> file + ": " + fault).toList());
        }
        return config;
    }

    private static ManagerConfig read(JsonNode node, List<String> faults) {
        Map<String, String> own = new HashMap<>();
        Map<String, String> settings = new HashMap<>();
        node.properties().forEach(field -> {
            if (!field.getKey().equals("settings") && !field.getKey().equals("known")) {
                flatten(field.getKey(), field.getValue(), own);
            }
        });
        flatten("", node.path("settings"), settings);
        KeyedValues values = collecting("", own, faults);
        try {
            long seed = 0;
            String hex = values.text("seed", "0");
            try {
                seed = Long.parseUnsignedLong(hex, HEX);
            } catch (NumberFormatException e) {
                faults.add("'seed' must be up to 16 hex digits, not '" + hex + "'");
            }
            PlatformSettings platform = PlatformSettings.read(collecting("settings: ", settings, faults));
            if (platform.classes().isEmpty()
                    || platform.controller().media().rungKb().isEmpty()) {
                faults.add("settings: classes and a ladder are expected");
            }
            return new ManagerConfig(
                    values.text("name", ""),
                    address(values, "listen", faults),
                    address(values, "bus", faults),
                    seed,
                    values.nonNegativeInt("limits.memory_mb"),
                    values.nonNegativeInt("limits.sockets"),
                    known(node, faults),
                    node.path("known").path("offset").asLong(),
                    platform);
        } catch (InvalidValueException e) {
            throw new IllegalStateException("faults are collected here", e);
        }
    }

    private static KeyedValues collecting(String place, Map<String, String> values, List<String> faults) {
        return new KeyedValues(values) {
            @Override
            protected void reportFault(String what) {
                faults.add(place + what);
            }
        };
    }

    private static InetSocketAddress address(KeyedValues values, String key, List<String> faults)
            throws InvalidValueException {
        String text = values.text(key);
        try {
            return text.isEmpty() ? null : Addresses.read(text);
        } catch (InvalidValueException e) {
            faults.add("'" + key + "': " + e.getMessage());
            return null;
        }
    }

    private static List<BusEvent> known(JsonNode node, List<String> faults) {
        List<BusEvent> events = new ArrayList<>();
        for (JsonNode event : node.path("known").path("batch")) {
            try {
                events.add(BusEvent.read(event));
            } catch (InvalidValueException e) {
                faults.add("known: " + e.getMessage());
            }
        }
        return List.copyOf(events);
    }

    /** The form of the simulator's wire: paths of names, lists set apart by commas, lists of objects by number. */
    private static void flatten(String path, JsonNode node, Map<String, String> into) {
        if (node.isObject()) {
            node.properties()
                    .forEach(field -> flatten(
                            path.isEmpty() ? field.getKey() : path + "." + field.getKey(), field.getValue(), into));
        } else if (node.isArray() && node.size() > 0 && node.get(0).isObject()) {
            into.put(path + ".count", String.valueOf(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(path + "." + i, node.get(i), into);
            }
        } else if (node.isArray()) {
            List<String> parts = new ArrayList<>();
            node.forEach(part -> parts.add(part.asText()));
            into.put(path, String.join(",", parts));
        } else if (!node.isNull() && !node.isMissingNode()) {
            into.put(path, node.asText());
        }
    }
}
