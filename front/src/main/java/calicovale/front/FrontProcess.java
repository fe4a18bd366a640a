package calicovale.front;

import calicovale.front.directory.DirectoryLink;
import calicovale.front.ledger.LedgerDesk;
import calicovale.front.operators.ChangeDesk;
import calicovale.front.peers.PeerNews;
import calicovale.front.player.SessionManager;
import calicovale.front.settings.FrontSettings;
import calicovale.front.time.CommonClock;
import calicovale.host.Backoff;
import calicovale.host.Counters;
import calicovale.protocols.http.Exchange;
import calicovale.protocols.http.HttpClient;
import calicovale.protocols.http.HttpLimits;
import calicovale.protocols.http.HttpServer;
import calicovale.protocols.json.InvalidDocumentException;
import calicovale.protocols.net.Clock;
import calicovale.protocols.net.EventLoop;
import calicovale.protocols.net.Tap;
import calicovale.stitch.Change;
import calicovale.stitch.ChangeBook;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Owns one session manager from start to end: its loop, and the parts that run on it. */
public final class FrontProcess implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(FrontProcess.class);
    private final EventLoop loop;
    private final FrontSettings settings;
    private final SessionManager manager;
    private final HttpServer server;
    private final Counters counters = new Counters();
    private final CommonClock common;
    private final ChangeBook book;
    private final LedgerDesk ledger;
    private final PeerNews peers;
    private ChangeDesk desk;
    private volatile InetSocketAddress gossipAt;
    private volatile InetSocketAddress operatorsAt;
    private final CompletableFuture<InetSocketAddress> listening = new CompletableFuture<>();

    /**
     * Starts a manager on a loop of its own; {@code tap} sees all its sockets.
     *
     * @throws InvalidDocumentException if a file that the settings name can't be used
     */
    public FrontProcess(FrontSettings settings, Clock clock, RandomGenerator random, Tap tap)
            throws InvalidDocumentException {
        this.settings = settings;
        String name = "manager:" + settings.controller().self();
        loop = new EventLoop(name, clock, settings.loop(), tap);
        String incarnation =
                Long.toString((long) clock.millis(), 36) + Integer.toString(random.nextInt(36 * 36 * 36), 36);
        common = new CommonClock(clock.nanos() / 1e6, clock.millis());
        HttpLimits limits = settings.http();
        // players send no bodies
        HttpLimits players = new HttpLimits(
                limits.lineBytes(),
                limits.headerCount(),
                limits.headerBytes(),
                0,
                limits.pipelinedBytes(),
                limits.headMs(),
                limits.bodyMs(),
                limits.idleMs(),
                limits.connections());
        HttpClient client = new HttpClient(
                loop, limits, settings.bounds().perBox(), settings.times().connect());
        book = new ChangeBook(settings.bounds().changes(), settings.bounds().shown());
        ledger = ledger();
        manager = new SessionManager(loop, settings, common, random, client, book, ledger, counters, incarnation);
        try {
            peers = settings.gossip() == null ? null : new PeerNews(loop, settings, random, manager.host());
        } catch (InvalidDocumentException e) {
            loop.close();
            ledger.close();
            throw e;
        }
        server = new HttpServer(loop, name, players, manager::handle).crossOrigin(settings.crossOrigin());
        manager.wireCounts(() -> {
            Map<String, Long> counts = new LinkedHashMap<>();
            counts.put("player-connections", (long) server.openConnections());
            counts.put("player-connections-refused", server.counters().connectionsRefused);
            counts.put("player-messages-refused", server.counters().messagesRefused);
            counts.put("player-connections-timed-out", server.counters().connectionsTimedOut);
            counts.put("player-preflights", server.counters().preflights);
            counts.put("player-handler-errors", server.counters().handlerErrors);
            counts.put("box-messages-malformed", client.counters().messagesRefused);
            counts.put("box-pool-overflows", client.counters().poolOverflows);
            counts.put("pending-bytes-overflows", loop.counters().pendingOverflows);
            counts.put("mailbox-overflows", loop.counters().mailboxOverflows);
            counts.put("accept-errors", loop.counters().acceptErrors);
            counts.put("handler-errors", loop.counters().handlerErrors);
            if (peers != null) {
                counts.put("datagrams-received", loop.counters().datagramsReceived);
                counts.put("datagrams-dropped", loop.counters().datagramsDropped);
                counts.put("datagram-errors", loop.counters().datagramErrors);
                counts.putAll(peers.counters());
            }
            return counts;
        });
        DirectoryLink directory = new DirectoryLink(
                loop,
                client,
                settings.directory(),
                settings.savedList(),
                settings.bounds().boxes(),
                settings.times(),
                new Backoff(settings.times().backoff(), settings.times().backoffMost(), random),
                common,
                counters,
                manager::onList);
        HttpServer desk = operators(limits);
        loop.execute(() -> directory.start(() -> listen(desk)));
        loop.start();
    }

    private LedgerDesk ledger() {
        try {
            return new LedgerDesk(
                    loop,
                    settings.sessionsFolder(),
                    () -> book.changes().stream().map(Change::id).collect(Collectors.toUnmodifiableSet()),
                    () -> common.at(loop.clock().nanos() / 1e6),
                    settings.times().alive(),
                    counters);
        } catch (IOException e) {
            loop.close();
            throw new UncheckedIOException("the sessions' ledger can't be used: " + e.getMessage(), e);
        }
    }

    private HttpServer operators(HttpLimits limits) {
        if (settings.operators() == null) {
            return null;
        }
        try {
            desk = new ChangeDesk(
                    loop,
                    book,
                    manager.host()::nowMs,
                    settings,
                    manager::changesChanged,
                    manager::changeTally,
                    counters);
            return new HttpServer(loop, "operators", limits, this::operator);
        } catch (IOException e) {
            loop.close();
            throw new UncheckedIOException("the log of changes can't be used: " + e.getMessage(), e);
        }
    }

    private void operator(Exchange x) {
        if (!x.head().path().equals("/v1/members")) {
            desk.handle(x);
        } else if (peers == null) {
            x.problem(404, "Not Found", "this manager's settings let it talk to no other: no /gossip");
        } else {
            x.respond(200, "application/json", peers.view().toString());
        }
    }

    private void listen(HttpServer desk) {
        try {
            if (peers != null) {
                gossipAt = peers.start();
            }
            if (desk != null) {
                operatorsAt = desk.listen(settings.operators());
            }
            InetSocketAddress address = server.listen(settings.listen());
            LOG.info(
                    "manager {} listens on {}, common clock {}",
                    settings.controller().self(),
                    address,
                    common.synced() ? "read" : "not read");
            listening.complete(address);
        } catch (IOException e) {
            listening.completeExceptionally(new UncheckedIOException(e));
        }
    }

    /** Waits until players are served; the address bound. */
    public InetSocketAddress address() {
        return listening.join();
    }

    /** Where operators are served; null where they are not. Known once players are served. */
    public InetSocketAddress operatorsAddress() {
        address();
        return operatorsAt;
    }

    /** Where other managers reach this one; null where settings have it talk to none. Known once players are served. */
    public InetSocketAddress gossipAddress() {
        address();
        return gossipAt;
    }

    /** The place in the group, or null; to be touched on the loop only. */
    public PeerNews peers() {
        return peers;
    }

    /** The loop, for faults and measurements. */
    public EventLoop loop() {
        return loop;
    }

    /** The sessions; to be touched on the loop only. */
    public SessionManager manager() {
        return manager;
    }

    /** The counters; to be touched on the loop only. */
    public Counters counters() {
        return counters;
    }

    /** The common clock; to be touched on the loop only. */
    public CommonClock commonClock() {
        return common;
    }

    /** Stops accepting, answers all that is owed, lets sessions go and ends; waits for it. */
    public void drain() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            LOG.info("draining");
            if (peers != null) {
                peers.leave();
            }
            server.stopListening();
            loop.schedule(settings.times().drain(), () -> done.complete(null));
            manager.drain(() -> {
                manager.releaseAll();
                server.drain();
                // the last answers and messages leave in the next turns
                loop.schedule(200, () -> done.complete(null));
            });
        });
        done.join();
        close();
    }

    /** Ends as a killed process would. */
    public void kill() {
        loop.kill();
        ledger.kill();
        closeDesk();
        closePeers();
    }

    /** Sets what the disk of the sessions' ledger does wrong. */
    public void diskFault(LedgerDesk.DiskFault fault) {
        ledger.fault(fault);
    }

    private void closePeers() {
        if (peers != null) {
            peers.close();
        }
    }

    private void closeDesk() {
        if (desk != null) {
            desk.close();
        }
    }

    @Override
    public void close() {
        loop.close();
        ledger.close();
        closeDesk();
        closePeers();
    }
}
