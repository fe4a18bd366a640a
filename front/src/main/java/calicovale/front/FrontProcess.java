package calicovale.front;

import calicovale.front.directory.DirectoryClient;
import calicovale.front.ledger.SessionLedgerWriter;
import calicovale.front.operators.ChangeService;
import calicovale.front.peers.PeerGossip;
import calicovale.front.player.PlayerSessionManager;
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
import calicovale.stitch.ActiveChanges;
import calicovale.stitch.Change;
import calicovale.stitch.RecordLog;
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

/**
 * One session manager's process: creates the event loop and the components that run on it, starts the servers, and
 * shuts everything down.
 */
public final class FrontProcess implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(FrontProcess.class);
    /** Time in which the last responses and messages to boxes are sent at a shutdown, in ms. */
    private static final double LAST_MESSAGES_MS = 200;

    private final EventLoop loop;
    private final FrontSettings settings;
    private final PlayerSessionManager manager;
    private final HttpServer playerServer;
    private final Counters counters = new Counters();
    private final CommonClock commonClock;
    private final ActiveChanges activeChanges;
    private final SessionLedgerWriter ledgerWriter;
    private final PeerGossip peers;
    private ChangeService changeService;
    private volatile InetSocketAddress gossipAddress;
    private volatile InetSocketAddress operatorsAddress;
    private final CompletableFuture<InetSocketAddress> listening = new CompletableFuture<>();

    /**
     * Starts a manager on its own event loop. The servers listen once the common clock has been read or reading it has
     * failed; {@link #address()} waits for that.
     *
     * @param clock source of wall clock and monotonic time
     * @param tap observer of the traffic on all sockets of the loop
     * @throws InvalidDocumentException if a file named in the settings is not valid
     * @throws UncheckedIOException if the session ledger or the log of programme changes cannot be opened
     */
    public FrontProcess(FrontSettings settings, Clock clock, RandomGenerator random, Tap tap)
            throws InvalidDocumentException {
        this.settings = settings;
        String name = "manager:" + settings.controller().self();
        loop = new EventLoop(name, clock, settings.loop(), tap);
        String incarnation =
                Long.toString((long) clock.millis(), 36) + Integer.toString(random.nextInt(36 * 36 * 36), 36);
        commonClock = new CommonClock(clock.nanos() / 1e6, clock.millis());
        HttpLimits limits = settings.http();
        // players send no request bodies, so their bodyBytes limit is 0
        HttpLimits playerLimits = new HttpLimits(
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
                loop, limits, settings.bounds().perBox(), settings.times().connectMs());
        activeChanges =
                new ActiveChanges(settings.bounds().changes(), settings.bounds().shown());
        ledgerWriter = openLedger();
        manager = new PlayerSessionManager(
                loop, settings, commonClock, random, client, activeChanges, ledgerWriter, counters, incarnation);
        try {
            peers = settings.gossip() == null ? null : new PeerGossip(loop, settings, random, manager.host());
        } catch (InvalidDocumentException e) {
            loop.close();
            ledgerWriter.close();
            throw e;
        }
        playerServer = new HttpServer(loop, name, playerLimits, manager::handle).crossOrigin(settings.crossOrigin());
        manager.setConnectionCounts(() -> {
            Map<String, Long> counts = new LinkedHashMap<>();
            counts.put("player-connections", (long) playerServer.openConnections());
            counts.put("player-connections-refused", playerServer.counters().connectionsRefused);
            counts.put("player-messages-refused", playerServer.counters().messagesRefused);
            counts.put("player-connections-timed-out", playerServer.counters().connectionsTimedOut);
            counts.put("player-preflights", playerServer.counters().preflights);
            counts.put("player-handler-errors", playerServer.counters().handlerErrors);
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
        DirectoryClient directory = new DirectoryClient(
                loop,
                client,
                settings.directory(),
                settings.savedList(),
                settings.bounds().boxes(),
                settings.times(),
                new Backoff(settings.times().backoffMs(), settings.times().backoffMostMs(), random),
                commonClock,
                counters,
                manager::onList);
        HttpServer operatorsServer = createOperatorsServer(limits);
        loop.execute(() -> directory.start(() -> startServers(operatorsServer)));
        loop.start();
    }

    private SessionLedgerWriter openLedger() {
        try {
            return new SessionLedgerWriter(
                    loop,
                    settings.sessionsFolder(),
                    () -> activeChanges.changes().stream().map(Change::id).collect(Collectors.toUnmodifiableSet()),
                    () -> commonClock.timeAt(loop.clock().nanos() / 1e6),
                    settings.times().aliveMs(),
                    counters);
        } catch (IOException e) {
            loop.close();
            throw new UncheckedIOException(
                    "cannot open the session ledger in " + settings.sessionsFolder()
                            + " (/sessionsFolder of the settings; a readable and writable folder is expected): "
                            + RecordLog.failureReason(e),
                    e);
        }
    }

    /** Returns the server for operators, or null without /operators. */
    private HttpServer createOperatorsServer(HttpLimits limits) {
        if (settings.operators() == null) {
            return null;
        }
        try {
            changeService = new ChangeService(
                    loop,
                    activeChanges,
                    manager.host()::nowMs,
                    settings,
                    manager::onChangesUpdated,
                    manager::changeCounts,
                    counters);
            return new HttpServer(loop, "operators", limits, this::handleOperatorExchange);
        } catch (IOException e) {
            loop.close();
            throw new UncheckedIOException(
                    "cannot open the log of programme changes in " + settings.changesFolder()
                            + " (/changesFolder of the settings; a readable and writable folder is expected): "
                            + RecordLog.failureReason(e),
                    e);
        }
    }

    /** Handles one HTTP exchange of an operator: the view of the group, or programme changes. */
    private void handleOperatorExchange(Exchange exchange) {
        if (!exchange.head().path().equals("/v1/members")) {
            changeService.handle(exchange);
        } else if (peers == null) {
            exchange.problem(404, "Not Found", "this manager's settings let it talk to no other: no /gossip");
        } else {
            exchange.respond(200, "application/json", peers.view().toString());
        }
    }

    /** Joins the group and starts the servers. */
    private void startServers(HttpServer operatorsServer) {
        String setting = "/gossip/listen";
        try {
            if (peers != null) {
                gossipAddress = peers.start();
            }
            setting = "/operators";
            if (operatorsServer != null) {
                operatorsAddress = operatorsServer.listen(settings.operators());
            }
            setting = "/listen";
            InetSocketAddress address = playerServer.listen(settings.listen());
            LOG.info(
                    "manager {} is listening on {}; the common clock was {}",
                    settings.controller().self(),
                    address,
                    commonClock.isSynced() ? "read" : "not read");
            listening.complete(address);
        } catch (IOException e) {
            listening.completeExceptionally(new UncheckedIOException(
                    "cannot listen on the address in " + setting + " of the settings: " + e.getMessage(), e));
        }
    }

    /**
     * Waits until the server for players listens and returns the address that it is bound to.
     *
     * @throws java.util.concurrent.CompletionException if one of the servers or the gossip member cannot listen
     */
    public InetSocketAddress address() {
        return listening.join();
    }

    /**
     * Waits until the server for players listens and returns the address of the operators' server, or null if the
     * settings have no /operators.
     */
    public InetSocketAddress operatorsAddress() {
        address();
        return operatorsAddress;
    }

    /**
     * Waits until the server for players listens and returns the address of the gossip member, or null if the settings
     * have no /gossip.
     */
    public InetSocketAddress gossipAddress() {
        address();
        return gossipAddress;
    }

    /** Returns this manager's gossip with its peers, or null without /gossip. Only for use on the loop's thread. */
    public PeerGossip peers() {
        return peers;
    }

    /** Returns the event loop, for fault injection and measurements. */
    public EventLoop loop() {
        return loop;
    }

    /** Returns the manager of the sessions. Only for use on the loop's thread. */
    public PlayerSessionManager manager() {
        return manager;
    }

    /** Returns the counters. Only for use on the loop's thread. */
    public Counters counters() {
        return counters;
    }

    /** Returns the common clock. Only for use on the loop's thread. */
    public CommonClock commonClock() {
        return commonClock;
    }

    /**
     * Drains and closes this manager, and waits until that is done: leaves the group, stops accepting connections,
     * answers the pending requests and releases the sessions at the boxes. Closes after /times/drainMs at the latest.
     */
    public void drain() {
        CompletableFuture<Void> drained = new CompletableFuture<>();
        loop.execute(() -> {
            LOG.info("draining before shutdown");
            if (peers != null) {
                peers.leave();
            }
            playerServer.stopListening();
            loop.schedule(settings.times().drainMs(), () -> drained.complete(null));
            manager.drain(() -> {
                manager.releaseAllSessions();
                playerServer.drain();
                // the last responses and messages to boxes are sent in the following turns of the loop
                loop.schedule(LAST_MESSAGES_MS, () -> drained.complete(null));
            });
        });
        drained.join();
        close();
    }

    /** Ends abruptly like a killed process: nothing is released, and a write under way may be incomplete. */
    public void kill() {
        loop.kill();
        ledgerWriter.kill();
        closeChangeService();
        closePeers();
    }

    /** Injects a fault into the disk writes of the session ledger. */
    public void setDiskFault(SessionLedgerWriter.DiskFault fault) {
        ledgerWriter.setDiskFault(fault);
    }

    private void closePeers() {
        if (peers != null) {
            peers.close();
        }
    }

    private void closeChangeService() {
        if (changeService != null) {
            changeService.close();
        }
    }

    @Override
    public void close() {
        loop.close();
        ledgerWriter.close();
        closeChangeService();
        closePeers();
    }
}
