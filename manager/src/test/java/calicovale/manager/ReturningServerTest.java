package calicovale.manager;

import static org.junit.jupiter.api.Assertions.assertEquals;

import calicovale.manager.ManagerHarness.Peer;
import calicovale.protocols.signal.Message;
import calicovale.protocols.signal.MessageType;
import calicovale.protocols.signal.Parameter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests a machine that vanishes, and returns with a process that does not know the sessions of the former one. */
@Timeout(60)
class ReturningServerTest {
    /** Step of the clock, in ms. */
    private static final int STEP_MS = 50;
    /** Time, in ms, for which the machine cannot be reached. */
    private static final int GONE_MS = 5000;
    /** Time, in ms, within which sessions must be released after their end. */
    private static final int RELEASE_BOUND_MS = 8000;

    /** A machine at which connections do not come up while its queue of connections is full. */
    private static final class Machine implements AutoCloseable {
        private static final int CONNECT_TIMEOUT_MS = 200;
        private final ServerSocket listeningSocket;
        private final List<Socket> queued = new ArrayList<>();

        Machine() throws IOException {
            listeningSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        }

        int port() {
            return listeningSocket.getLocalPort();
        }

        Peer accept() throws IOException {
            return new Peer(listeningSocket.accept());
        }

        void vanish() throws IOException {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port());
            while (true) {
                Socket socket = new Socket();
                try {
                    socket.connect(address, CONNECT_TIMEOUT_MS);
                    queued.add(socket);
                } catch (SocketTimeoutException e) {
                    socket.close();
                    return;
                }
            }
        }

        void returnWithNewProcess() throws IOException {
            for (Socket socket : queued) {
                listeningSocket.accept().close();
                socket.close();
            }
            Thread acceptThread = new Thread(() -> {
                try {
                    while (true) {
                        queued.add(listeningSocket.accept());
                    }
                } catch (IOException e) {
                    // the test has ended
                    return;
                }
            });
            acceptThread.setDaemon(true);
            acceptThread.start();
        }

        @Override
        public void close() throws IOException {
            listeningSocket.close();
        }
    }

    private static void advance(ManagerHarness harness, int ms) {
        for (int elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
            harness.clock.advance(STEP_MS);
            for (int turn = 0; turn < 3; turn++) {
                harness.process.loop().call(() -> null);
            }
        }
    }

    /** Guards against sessions that are released only when a late list tells that their server started anew. */
    @Test
    void sessionsOfAMachineThatReturnsWithANewProcessAreReleasedInTime() throws Exception {
        try (Machine machine = new Machine();
                ManagerHarness harness = new ManagerHarness(
                        1,
                        256,
                        config -> config.replaceAll(
                                        "\"hostPort\":\"127.0.0.1:\\d+\"",
                                        "\"hostPort\":\"127.0.0.1:" + machine.port() + "\"")
                                .replace("\"tellMs\":600", "\"tellMs\":3250"));
                Peer viewer = harness.acceptedViewer()) {
            viewer.send(ManagerHarness.setUp(1));
            Peer link = machine.accept();
            assertEquals(MessageType.IAM, link.next().type());
            link.send(Message.of(MessageType.ANM, 1).with(Parameter.DESCRIPTION, ManagerHarness.SERVER_DESCRIPTION));
            assertEquals(MessageType.ANM, viewer.next().type());
            machine.vanish();
            harness.clock.stop();
            advance(harness, GONE_MS);
            harness.awaitCount("server.unreachable", 1);
            machine.returnWithNewProcess();
            advance(harness, RELEASE_BOUND_MS - GONE_MS);
            assertEquals(1, viewer.next(MessageType.REL).sessionId());
            assertEquals(1, harness.process.counts().get("server.returned-silent"));
        }
    }
}
