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
 * @param name name of the manager, the same after a restart
 * @param listen address on which viewers connect
 * @param bus address of the event bus
 * @param seed seed of the random number generators
 * @param memoryLimitMb memory limit of the process, in MB
 * @param descriptorLimit limit of the process's open file descriptors
 * @param knownEvents events of the bus up to the start, in order
 * @param knownOffset offset of the last of them
 * @param platform settings of the platform
 */
public record ManagerConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress bus,
        long seed,
        int memoryLimitMb,
        int descriptorLimit,
        List<BusEvent> knownEvents,
        long knownOffset,
        PlatformSettings platform) {
    private static final int HEX_RADIX = 16;

    /** Reads a file. The exception lists all its faults. */
    public static ManagerConfig read(Path file) throws InvalidDocumentException {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new InvalidDocumentException(List.of(file + ": " + Documents.unreadableFault(e)));
        }
    }

    /** Parses a text. The exception lists all its faults, each with {@code file} in front. */
    public static ManagerConfig read(String file, String text) throws InvalidDocumentException {
        List<String> faults = new ArrayList<>();
        ManagerConfig config = null;
        try {
            config = read(Documents.MAPPER.readTree(text), faults);
        } catch (JsonProcessingException e) {
            faults.add(Documents.notJsonFault(e));
        }
        if (!faults.isEmpty()) {
            throw new InvalidDocumentException(
                    faults.stream().map(fault -> file + ": " + fault).toList());
        }
        return config;
    }

    private static ManagerConfig read(JsonNode node, List<String> faults) {
        Map<String, String> ownValues = new HashMap<>();
        Map<String, String> platformValues = new HashMap<>();
        node.properties().forEach(field -> {
            if (!field.getKey().equals("settings") && !field.getKey().equals("known")) {
                flatten(field.getKey(), field.getValue(), ownValues);
            }
        });
        flatten("", node.path("settings"), platformValues);
        KeyedValues values = collectingValues("", ownValues, faults);
        try {
            long seed = 0;
            String hex = values.text("seed", "0");
            try {
                seed = Long.parseUnsignedLong(hex, HEX_RADIX);
            } catch (NumberFormatException e) {
                faults.add("'seed' must be up to 16 hex digits, not '" + hex + "'");
            }
            PlatformSettings platform = PlatformSettings.read(collectingValues("settings: ", platformValues, faults));
            if (platform.classes().isEmpty()
                    || platform.controller().media().rungKb().isEmpty()) {
                faults.add(
                        "settings: at least one class in 'profiles' and one rung in 'specifics.levelKb' are expected");
            }
            return new ManagerConfig(
                    values.text("name", ""),
                    readAddress(values, "listen", faults),
                    readAddress(values, "bus", faults),
                    seed,
                    values.nonNegativeInt("limits.memory_mb"),
                    values.nonNegativeInt("limits.sockets"),
                    readKnownEvents(node, faults),
                    node.path("known").path("offset").asLong(),
                    platform);
        } catch (InvalidValueException e) {
            throw new IllegalStateException("the values collect their faults and throw none", e);
        }
    }

    private static KeyedValues collectingValues(String prefix, Map<String, String> values, List<String> faults) {
        return new KeyedValues(values) {
            @Override
            protected void reportFault(String what) {
                faults.add(prefix + what);
            }
        };
    }

    private static InetSocketAddress readAddress(KeyedValues values, String key, List<String> faults)
            throws InvalidValueException {
        String text = values.text(key);
        try {
            return text.isEmpty() ? null : Addresses.parse(text);
        } catch (InvalidValueException e) {
            faults.add("'" + key + "': " + e.getMessage());
            return null;
        }
    }

    private static List<BusEvent> readKnownEvents(JsonNode node, List<String> faults) {
        List<BusEvent> events = new ArrayList<>();
        for (JsonNode event : node.path("known").path("batch")) {
            try {
                events.add(BusEvent.parse(event));
            } catch (InvalidValueException e) {
                faults.add("known: " + e.getMessage());
            }
        }
        return List.copyOf(events);
    }

    /**
     * Flattens a document into the form that the bench sends: dotted paths as keys, lists as values separated
     * by commas, and for lists of objects a {@code .count} and the index in the path.
     */
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
