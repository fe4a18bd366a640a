import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * The machine of a video server, with its address. When it vanishes, open connections stay open and silent, and new
 * ones never come up: the listening socket takes no more connections, and its short queue is filled. When it is back, a
 * new process runs on it, which knows nothing of the old connections.
 */
final class Machine {
    private static final int FILLERS = 8;
    private static final int FILL_TIMEOUT_MS = 150;

    private final Record record;
    private final String name;
    private final int port;
    private ServerSocket listening;
    private int serverPort;
    private int generation;
    private boolean gone;
    private final List<Socket> fillers = new ArrayList<>();

    Machine(Record record, String name, int serverPort) throws IOException {
        this.record = record;
        this.name = name;
        this.serverPort = serverPort;
        listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1);
        listening.setSoTimeout(10);
        port = listening.getLocalPort();
        Threads.start(this::accept);
    }

    int port() {
        return port;
    }

    private synchronized boolean isGone() {
        return gone;
    }

    private synchronized boolean isOf(int aGeneration) {
        return !gone && generation == aGeneration;
    }

    private void accept() throws Exception {
        while (true) {
            if (isGone()) {
                Thread.sleep(5);
                continue;
            }
            Socket manager;
            try {
                manager = listening.accept();
            } catch (java.net.SocketTimeoutException e) {
                continue;
            }
            int ownGeneration;
            int ownPort;
            synchronized (this) {
                ownGeneration = generation;
                ownPort = serverPort;
                if (fillers.stream().anyMatch(f -> f.getLocalPort() == manager.getPort())) {
                    manager.close();
                    continue;
                }
            }
            Socket server = new Socket(InetAddress.getByName("127.0.0.1"), ownPort);
            server.setTcpNoDelay(true);
            manager.setTcpNoDelay(true);
            Threads.start(() -> pump(manager, server, ownGeneration));
            Threads.start(() -> pump(server, manager, ownGeneration));
        }
    }

    private void pump(Socket from, Socket to, int ownGeneration) throws Exception {
        byte[] buffer = new byte[1 << 15];
        int count = 0;
        try {
            while ((count = from.getInputStream().read(buffer)) >= 0 && isOf(ownGeneration)) {
                to.getOutputStream().write(buffer, 0, count);
            }
        } catch (IOException e) {
            count = -1;
        }
        boolean silent;
        synchronized (this) {
            silent = gone;
        }
        if (isOf(ownGeneration)) {
            from.close();
            to.close();
        } else if (!silent && count >= 0 && from.getPort() != serverPort) {
            // the new process answers what comes on a connection of the old one with a reset
            from.setSoLinger(true, 0);
            from.close();
        }
    }

    /** Vanishes. Returns whether new connections no longer come up. */
    boolean vanish() throws IOException {
        synchronized (this) {
            gone = true;
        }
        for (int i = 0; i < FILLERS; i++) {
            Socket filler = new Socket();
            try {
                filler.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), FILL_TIMEOUT_MS);
                synchronized (this) {
                    fillers.add(filler);
                }
            } catch (java.net.SocketTimeoutException e) {
                filler.close();
                record.line("network: the machine of " + name + " has vanished");
                return true;
            }
        }
        return false;
    }

    /** Is back, with a new process that listens at another port behind it. */
    synchronized void isBack(int newServerPort) throws IOException {
        record.line("network: the machine of " + name + " is back with a new process");
        serverPort = newServerPort;
        generation++;
        gone = false;
        for (Socket filler : fillers) {
            filler.close();
        }
    }
}
