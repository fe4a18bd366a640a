package calicovale.front.directory;

import calicovale.ControllerApi.ListScope;
import calicovale.ControllerApi.ServerEntry;
import calicovale.ControllerApi.ServerList;
import calicovale.ControllerApi.ServerState;
import calicovale.front.settings.FrontSettings.Times;
import calicovale.front.stream.ReconnectingEventStream;
import calicovale.front.time.CommonClock;
import calicovale.host.Backoff;
import calicovale.host.Counters;
import calicovale.protocols.http.Headers;
import calicovale.protocols.http.HttpClient;
import calicovale.protocols.http.HttpClient.Failure;
import calicovale.protocols.json.Documents;
import calicovale.protocols.net.EventLoop;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The client of the box directory: keeps the stream of changes of the box list open and reads the common clock
 * periodically. While the directory cannot be reached, the listener gets an empty list of scope FAILED; before the
 * first list since the start it also gets, once, the list saved by an earlier process, with scope SAVED.
 */
public final class DirectoryClient {
    private static final Logger LOG = LoggerFactory.getLogger(DirectoryClient.class);
    private static final byte[] EMPTY_BODY = new byte[0];
    /** Upper bound of the size of one list, in bytes. */
    private static final int MAX_LIST_BYTES = 1 << 22;

    /** Receives the box list, on the loop's thread. */
    public interface Listener {
        /** Called for each list or change of the list, with the addresses of the boxes in it by their ids. */
        void onList(ServerList list, Map<Long, InetSocketAddress> addresses);
    }

    private final EventLoop loop;
    private final HttpClient client;
    private final InetSocketAddress address;
    private final Path savedListFile;
    private final int maxBoxes;
    private final Times times;
    private final ReconnectingEventStream stream;
    private final CommonClock commonClock;
    private final Counters counters;
    private final Listener listener;
    private final TreeMap<Long, JsonNode> listedBoxes = new TreeMap<>();
    private final ThreadPoolExecutor savedListWriter;
    private long listVersion = -1;
    private boolean listReceived;
    private boolean savedListTried;
    private Runnable onFirstClockReading;

    /**
     * Creates a client that is not started.
     *
     * @param address address of the directory
     * @param savedListFile file in which the list is saved, or null to save none
     * @param maxBoxes upper bound of the number of boxes; boxes above it are counted and ignored
     */
    public DirectoryClient(
            EventLoop loop,
            HttpClient client,
            InetSocketAddress address,
            Path savedListFile,
            int maxBoxes,
            Times times,
            Backoff backoff,
            CommonClock commonClock,
            Counters counters,
            Listener listener) {
        this.loop = loop;
        this.client = client;
        this.address = address;
        this.savedListFile = savedListFile;
        this.maxBoxes = maxBoxes;
        this.times = times;
        this.stream = new ReconnectingEventStream(
                loop,
                client,
                () -> address,
                "directory",
                "/v1/boxes",
                MAX_LIST_BYTES,
                times.silentMs(),
                backoff,
                counters,
                new ReconnectingEventStream.Listener() {
                    @Override
                    public void onEvent(String type, String data, double requestedAtMs) {
                        onStreamEvent(type, data);
                    }

                    @Override
                    public void onDisconnected(Failure failure) {
                        onStreamDisconnected(failure);
                    }
                });
        this.commonClock = commonClock;
        this.counters = counters;
        this.listener = listener;
        // at most one list waits while another is written; a newer list replaces the one that waits
        savedListWriter = new ThreadPoolExecutor(
                0,
                1,
                1,
                TimeUnit.SECONDS,
                new ArrayBlockingQueue<>(1),
                task -> {
                    Thread thread = new Thread(task, "saved-list");
                    thread.setDaemon(true);
                    return thread;
                },
                new ThreadPoolExecutor.DiscardOldestPolicy());
    }

    /**
     * Starts; {@code afterFirstClockReading} runs once the first reading of the common clock has succeeded or failed.
     */
    public void start(Runnable afterFirstClockReading) {
        onFirstClockReading = afterFirstClockReading;
        readClock();
        stream.start();
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    private void readClock() {
        double sentMs = nowMs();
        client.send(
                address,
                "directory",
                "GET",
                "/v1/clock",
                new Headers(),
                EMPTY_BODY,
                times.connectMs(),
                (head, body, failure) -> {
                    if (failure == null && head.status() == 200) {
                        try {
                            commonClock.addSample(
                                    sentMs,
                                    nowMs(),
                                    Documents.MAPPER
                                            .readTree(body)
                                            .path("nowMs")
                                            .asDouble(Double.NaN));
                        } catch (IOException e) {
                            counters.increment("directory-malformed");
                        }
                    } else {
                        counters.increment("clock-readings-lost");
                    }
                    if (onFirstClockReading != null) {
                        Runnable callback = onFirstClockReading;
                        onFirstClockReading = null;
                        callback.run();
                    }
                    loop.schedule(times.clockEveryMs(), this::readClock);
                });
    }

    private void onStreamDisconnected(Failure failure) {
        LOG.info(
                "the stream of the box directory is not connected (failure: {}); attempt {} follows",
                failure,
                stream.failedAttempts() + 1);
        if (!listReceived && !savedListTried && savedListFile != null && Files.exists(savedListFile)) {
            savedListTried = true;
            useSavedList();
        }
        listener.onList(new ServerList(ListScope.FAILED, 0, List.of()), Map.of());
    }

    private void useSavedList() {
        try {
            JsonNode list = Documents.MAPPER.readTree(Files.readString(savedListFile));
            applyList(ListScope.SAVED, list);
            counters.increment("saved-lists-used");
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("cannot use the saved box list {}: {}", savedListFile, faultOf(e));
            counters.increment("saved-lists-refused");
        }
    }

    private void onStreamEvent(String type, String data) {
        boolean full = type.equals("full");
        if (!full && !type.equals("change")) {
            return;
        }
        try {
            JsonNode list = Documents.MAPPER.readTree(data);
            if (full) {
                listedBoxes.clear();
            }
            applyList(full ? ListScope.COMPLETE : ListScope.CHANGES, list);
            listReceived = true;
            stream.resetBackoff();
            saveList();
        } catch (JsonProcessingException | IllegalArgumentException e) {
            LOG.warn("the box directory sent a malformed '{}' event: {}", type, faultOf(e));
            stream.reconnectAfterMalformedData();
        }
    }

    /** Returns what is wrong with a list that could not be read or is not valid, and what is expected. */
    private static String faultOf(Exception e) {
        if (e instanceof JsonProcessingException notJson) {
            return Documents.notJsonFault(notJson);
        }
        return e instanceof IOException unreadable ? Documents.unreadableFault(unreadable) : e.getMessage();
    }

    /** Parses a list or a change of the list, updates the listed boxes and passes it to the listener. */
    private void applyList(ListScope scope, JsonNode list) {
        List<ServerEntry> entries = new ArrayList<>();
        Map<Long, InetSocketAddress> addresses = new TreeMap<>();
        for (JsonNode box : list.path("boxes")) {
            long id = box.path("id").asLong(-1);
            if (id < 0 || !box.path("address").asText().matches("127(\\.\\d{1,3}){3}:\\d{1,5}")) {
                throw new IllegalArgumentException("a box has no id or no loopback address (127.x.x.x:port)");
            }
            if (!listedBoxes.containsKey(id) && listedBoxes.size() >= maxBoxes) {
                counters.increment("boxes-over-bound");
                continue;
            }
            listedBoxes.put(id, box);
            ServerState state = parseState(id, box.path("state").asText());
            entries.add(new ServerEntry(
                    id,
                    state,
                    box.path("kind").asInt(),
                    box.path("zone").asInt(),
                    box.path("cell").asInt(),
                    box.path("startedMs").asDouble(),
                    box.path("weight").asDouble(1)));
            String[] hostAndPort = box.path("address").asText().split(":");
            addresses.put(id, new InetSocketAddress(hostAndPort[0], Integer.parseInt(hostAndPort[1])));
        }
        listVersion = list.path("version").asLong();
        listener.onList(new ServerList(scope, listVersion, entries), addresses);
    }

    private static ServerState parseState(long id, String text) {
        try {
            return ServerState.valueOf(text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    "box " + id + ": /state: one of ready, draining, gone is expected, not '" + text + "'", e);
        }
    }

    /** Saves the whole list to disk, for a start while the directory cannot be reached. */
    private void saveList() {
        if (savedListFile == null) {
            return;
        }
        ObjectNode list = Documents.MAPPER.createObjectNode().put("version", listVersion);
        ArrayNode boxes = list.putArray("boxes");
        listedBoxes.values().forEach(boxes::add);
        String text = list.toString();
        savedListWriter.execute(() -> {
            try {
                Path temporaryFile = savedListFile.resolveSibling(savedListFile.getFileName() + ".next");
                Files.writeString(temporaryFile, text);
                Files.move(
                        temporaryFile,
                        savedListFile,
                        StandardCopyOption.ATOMIC_MOVE,
                        StandardCopyOption.REPLACE_EXISTING);
            } catch (IOException e) {
                LOG.warn(
                        "cannot save the box list to {} (/savedList of the settings; a writable file in an existing"
                                + " folder is expected): {}",
                        savedListFile,
                        e instanceof NoSuchFileException ? "the folder does not exist" : Documents.unreadableReason(e));
            }
        });
    }
}
