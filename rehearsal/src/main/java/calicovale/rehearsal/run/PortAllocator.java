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
 * Allocates ports on which a process can listen again after a restart. They lie below the ephemeral port range,
 * because an outgoing connection could otherwise take the port while its process is down.
 */
final class PortAllocator {
    /** Lowest port that is allocated. */
    private static final int FIRST_PORT = 20_000;
    /** Number of ports that may be allocated, from {@link #FIRST_PORT} on. */
    private static final int PORT_COUNT = 12_000;
    /**
     * Offset at which the search continues. Its first value depends on the process id, so that processes start at
     * different ports.
     */
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 601 % PORT_COUNT));

    /**
     * A UDP socket for each allocated port, bound to the port's number for the life of this process. Other processes
     * skip a port whose UDP socket they cannot bind.
     */
    private static final List<DatagramSocket> RESERVATIONS = new CopyOnWriteArrayList<>();

    private PortAllocator() {}

    /**
     * Returns a loopback address whose port is free and was not allocated before.
     *
     * @throws IllegalStateException if no port of the range is free
     */
    static InetSocketAddress allocate() {
        for (int i = 0; i < PORT_COUNT; i++) {
            int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORT_COUNT);
            DatagramSocket reservation;
            try {
                reservation = new DatagramSocket(port, InetAddress.getLoopbackAddress());
            } catch (IOException e) {
                // another process has reserved the port, even if it does not listen yet
                continue;
            }
            RESERVATIONS.add(reservation);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return new InetSocketAddress("127.0.0.1", probe.getLocalPort());
            } catch (IOException e) {
                continue;
            }
        }
        throw new IllegalStateException(
                "no free loopback port between " + FIRST_PORT + " and " + (FIRST_PORT + PORT_COUNT));
    }
}
