package calicovale.front.directory;

import calicovale.ControllerApi.ListScope;
import calicovale.ControllerApi.ServerEntry;
import calicovale.ControllerApi.ServerList;
import calicovale.ControllerApi.ServerState;
import calicovale.front.settings.FrontSettings.Times;
import calicovale.front.stream.HeldStream;
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
 * Owns the talk with the box directory: the stream of list changes, held always, and timed readings of the common clock. A
 * list that is not to be had is told as such; at the start the list kept from before is told as kept.
 */
public final class DirectoryLink {
    private static final Logger LOG = LoggerFactory.getLogger(DirectoryLink.class);
    private static final byte[] NONE = new byte[0];
    /** Most bytes of one list. */
    private static final int LIST_BYTES = 1 << 22;

    /** Hears the list, on the loop. */
    public interface Listener {
        /** News of the list, with the addresses of the boxes in it. */
        void onList(ServerList list, Map<Long, InetSocketAddress> addresses);
    }

    private final EventLoop loop;
    private final HttpClient client;
    private final InetSocketAddress address;
    private final Path saved;
    private final int mostBoxes;
    private final Times times;
    private final HeldStream stream;
    private final CommonClock common;
    private final Counters counters;
    private final Listener listener;
    private final TreeMap<Long, JsonNode> known = new TreeMap<>();
    private final ThreadPoolExecutor writer;
    private long version = -1;
    private boolean everHeard;
    private boolean toldSaved;
    private Runnable ready;

    /** {@code saved} may be null. */
    public DirectoryLink(
            EventLoop loop,
            HttpClient client,
            InetSocketAddress address,
            Path saved,
            int mostBoxes,
            Times times,
            Backoff backoff,
            CommonClock common,
            Counters counters,
            Listener listener) {
        this.loop = loop;
        this.client = client;
        this.address = address;
        this.saved = saved;
        this.mostBoxes = mostBoxes;
        this.times = times;
        this.stream = new HeldStream(
                loop,
                client,
                () -> address,
                "directory",
                "/v1/boxes",
                LIST_BYTES,
                times.silent(),
                backoff,
                counters,
                new HeldStream.Listener() {
                    @Override
                    public void onEvent(String type, String data, double askedAtMs) {
                        news(type, data);
                    }

                    @Override
                    public void onBroken(Failure failure) {
                        broken(failure);
                    }
                });
        this.common = common;
        this.counters = counters;
        this.listener = listener;
        // one list may wait while one is written; an older one that waits is dropped for the newer
        writer = new ThreadPoolExecutor(
                0,
                1,
                1,
                TimeUnit.SECONDS,
                new ArrayBlockingQueue<>(1),
                body -> {
                    Thread thread = new Thread(body, "saved-list");
                    thread.setDaemon(true);
                    return thread;
                },
                new ThreadPoolExecutor.DiscardOldestPolicy());
    }

    /** Starts; {@code whenReady} runs once the common clock has been read, or could not be. */
    public void start(Runnable whenReady) {
        ready = whenReady;
        readClock();
        stream.hold();
    }

    private double nowMs() {
        return loop.clock().nanos() / 1e6;
    }

    private void readClock() {
        double sent = nowMs();
        client.send(
                address,
                "directory",
                "GET",
                "/v1/clock",
                new Headers(),
                NONE,
                times.connect(),
                (head, body, failure) -> {
                    if (failure == null && head.status() == 200) {
                        try {
                            common.sample(
                                    sent,
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
                    if (ready != null) {
                        Runnable first = ready;
                        ready = null;
                        first.run();
                    }
                    loop.schedule(times.clockEvery(), this::readClock);
                });
    }

    private void broken(Failure failure) {
        LOG.info("the box directory can't be heard ({}), try {}", failure, stream.failures() + 1);
        if (!everHeard && !toldSaved && saved != null && Files.exists(saved)) {
            toldSaved = true;
            tellSaved();
        }
        listener.onList(new ServerList(ListScope.FAILED, 0, List.of()), Map.of());
    }

    private void tellSaved() {
        try {
            JsonNode n = Documents.MAPPER.readTree(Files.readString(saved));
            tell(ListScope.SAVED, n);
            counters.increment("saved-lists-used");
        } catch (IOException | IllegalArgumentException e) {
            LOG.warn("the kept list {} can't be used: {}", saved, e.getMessage());
            counters.increment("saved-lists-refused");
        }
    }

    private void news(String type, String data) {
        boolean full = type.equals("full");
        if (!full && !type.equals("change")) {
            return;
        }
        try {
            JsonNode n = Documents.MAPPER.readTree(data);
            if (full) {
                known.clear();
            }
            tell(full ? ListScope.COMPLETE : ListScope.CHANGES, n);
            everHeard = true;
            stream.good();
            keep();
        } catch (JsonProcessingException | IllegalArgumentException e) {
            LOG.warn("the box directory's {} is malformed: {}", type, e.getMessage());
            stream.refuse();
        }
    }

    private void tell(ListScope scope, JsonNode n) {
        List<ServerEntry> entries = new ArrayList<>();
        Map<Long, InetSocketAddress> addresses = new TreeMap<>();
        for (JsonNode box : n.path("boxes")) {
            long id = box.path("id").asLong(-1);
            if (id < 0 || !box.path("address").asText().matches("127(\\.\\d{1,3}){3}:\\d{1,5}")) {
                throw new IllegalArgumentException("a box without a number or a loopback address");
            }
            if (!known.containsKey(id) && known.size() >= mostBoxes) {
                counters.increment("boxes-over-bound");
                continue;
            }
            known.put(id, box);
            ServerState state = ServerState.valueOf(box.path("state").asText().toUpperCase(Locale.ROOT));
            entries.add(new ServerEntry(
                    id,
                    state,
                    box.path("kind").asInt(),
                    box.path("zone").asInt(),
                    box.path("cell").asInt(),
                    box.path("startedMs").asDouble(),
                    box.path("weight").asDouble(1)));
            String[] at = box.path("address").asText().split(":");
            addresses.put(id, new InetSocketAddress(at[0], Integer.parseInt(at[1])));
        }
        version = n.path("version").asLong();
        listener.onList(new ServerList(scope, version, entries), addresses);
    }

    /** Keeps the whole list on disk, for a start without the directory. */
    private void keep() {
        if (saved == null) {
            return;
        }
        ObjectNode all = Documents.MAPPER.createObjectNode().put("version", version);
        ArrayNode boxes = all.putArray("boxes");
        known.values().forEach(boxes::add);
        String text = all.toString();
        writer.execute(() -> {
            try {
                Path next = saved.resolveSibling(saved.getFileName() + ".next");
                Files.writeString(next, text);
                Files.move(next, saved, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            } catch (IOException e) {
                LOG.warn("the list can't be kept: {}", e.getMessage());
            }
        });
    }
}
