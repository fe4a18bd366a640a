package calicovale.protocols.net;

import java.io.FileInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Program for a child process with a low limit on file descriptors. It connects while descriptors are available,
 * while none is left, and after they have been released.
 */
public final class DescriptorExhaustionMain {

    private DescriptorExhaustionMain() {}

    private static String connect(EventLoop loop, InetSocketAddress address) throws Exception {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        String thrown = loop.call(() -> {
            try {
                loop.connect(address, "test", 1000, new Connection.Handler() {
                    @Override
                    public void onOpen(Connection connection) {
                        outcome.complete("established");
                        connection.close();
                    }

                    @Override
                    public void onBytes(Connection connection, ByteBuffer bytes) {
                        bytes.position(bytes.limit());
                    }

                    @Override
                    public void onClosed(Connection connection, IOException cause) {
                        outcome.complete(
                                cause instanceof ConnectFailedException failed && failed.notAttempted()
                                        ? "not attempted"
                                        : "failed");
                    }
                });
                return null;
            } catch (RuntimeException e) {
                return "thrown";
            }
        });
        return thrown != null ? thrown : outcome.get(10, TimeUnit.SECONDS);
    }

    /** Prints the outcomes of four connects: refused port, open port, no descriptor left, descriptors released. */
    public static void main(String[] args) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                EventLoop loop = new EventLoop("test", Clock.system()).start()) {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
            int unusedPort;
            try (ServerSocket probe = new ServerSocket(0)) {
                unusedPort = probe.getLocalPort();
            }
            // these connects also load all classes needed below, while descriptors are available
            StringBuilder outcomes = new StringBuilder(
                    connect(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), unusedPort)));
            outcomes.append(", ").append(connect(loop, address));
            List<FileInputStream> openFiles = new ArrayList<>();
            try {
                while (true) {
                    openFiles.add(new FileInputStream("/dev/null"));
                }
            } catch (IOException e) {
                outcomes.append(", ").append(connect(loop, address));
            }
            for (FileInputStream file : openFiles) {
                file.close();
            }
            outcomes.append(", ").append(connect(loop, address));
            System.out.println(outcomes);
        }
    }
}
