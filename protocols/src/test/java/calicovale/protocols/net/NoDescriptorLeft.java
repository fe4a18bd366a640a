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

/** A process of its own, granted few descriptors: what becomes of a connect while none is left, and behind that. */
public final class NoDescriptorLeft {

    private NoDescriptorLeft() {}

    private static String connect(EventLoop loop, InetSocketAddress at) throws Exception {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        String thrown = loop.call(() -> {
            try {
                loop.connect(at, "test", 1000, new Connection.Handler() {
                    @Override
                    public void onOpen(Connection c) {
                        outcome.complete("stands");
                        c.close();
                    }

                    @Override
                    public void onBytes(Connection c, ByteBuffer bytes) {
                        bytes.position(bytes.limit());
                    }

                    @Override
                    public void onClosed(Connection c, IOException cause) {
                        outcome.complete(
                                cause instanceof ConnectFailedException failed && failed.local()
                                        ? "never tried"
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

    /** Prints the three outcomes. */
    public static void main(String[] args) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                EventLoop loop = new EventLoop("test", Clock.system()).start()) {
            InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
            int free;
            try (ServerSocket any = new ServerSocket(0)) {
                free = any.getLocalPort();
            }
            // all classes that are needed below are loaded here
            StringBuilder outcomes =
                    new StringBuilder(connect(loop, new InetSocketAddress(InetAddress.getLoopbackAddress(), free)));
            outcomes.append(", ").append(connect(loop, at));
            List<FileInputStream> all = new ArrayList<>();
            try {
                while (true) {
                    all.add(new FileInputStream("/dev/null"));
                }
            } catch (IOException e) {
                outcomes.append(", ").append(connect(loop, at));
            }
            for (FileInputStream one : all) {
                one.close();
            }
            outcomes.append(", ").append(connect(loop, at));
            System.out.println(outcomes);
        }
    }
}
