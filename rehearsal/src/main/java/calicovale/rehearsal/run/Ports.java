package calicovale.rehearsal.run;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Owns the choice of ports that a process can come back to: below the range from which systems give local ports to outgoing
 * connections, or such a connection could take the port while its process is down.
 */
final class Ports {
    private static final int FIRST = 20_000;
    private static final int COUNT = 12_000;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 601 % COUNT));

    /** A datagram socket of the same number claims each port given for the life of this process: others pass it over. */
    private static final List<DatagramSocket> CLAIMS = new CopyOnWriteArrayList<>();

    private Ports() {}

    /** A loopback address whose port is free now. */
    static InetSocketAddress free() {
        for (int i = 0; i < COUNT; i++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            DatagramSocket claim;
            try {
                claim = new DatagramSocket(port, InetAddress.getLoopbackAddress());
            } catch (IOException e) {
                // another process has it, and may be about to listen
                continue;
            }
            CLAIMS.add(claim);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return new InetSocketAddress("127.0.0.1", probe.getLocalPort());
            } catch (IOException e) {
                continue;
            }
        }
        throw new IllegalStateException("no free port between " + FIRST + " and " + (FIRST + COUNT));
    }
}
