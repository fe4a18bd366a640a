import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * The network in front of a video server. While it is cut, nothing passes: open connections stay open and silent, and
 * what is sent on them waits, as TCP keeps it, until the network is back.
 */
final class Cable {
    private final Record record;
    private final ServerSocket listening = new ServerSocket();
    private final int serverPort;
    private boolean cut;
    private int openedWhileCut;

    Cable(Record record, int serverPort) throws IOException {
        this.record = record;
        this.serverPort = serverPort;
        listening.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        Threads.start(this::accept);
    }

    int port() {
        return listening.getLocalPort();
    }

    synchronized void cut(boolean isCut) {
        record.line(isCut ? "network: the server is cut off" : "network: the server is back");
        cut = isCut;
        notifyAll();
    }

    /** Returns how many connections came up while the network was cut; in a real one, none does. */
    synchronized int openedWhileCut() {
        return openedWhileCut;
    }

    private synchronized void awaitNotCut() throws InterruptedException {
        while (cut) {
            wait();
        }
    }

    private void accept() throws Exception {
        while (true) {
            Socket manager = listening.accept();
            synchronized (this) {
                openedWhileCut += cut ? 1 : 0;
            }
            Threads.start(() -> {
                awaitNotCut();
                Socket server = new Socket(InetAddress.getByName("127.0.0.1"), serverPort);
                server.setTcpNoDelay(true);
                manager.setTcpNoDelay(true);
                Threads.start(() -> pump(manager, server));
                pump(server, manager);
            });
        }
    }

    private void pump(Socket from, Socket to) throws Exception {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[1 << 15];
            int count;
            while ((count = in.read(buffer)) >= 0) {
                awaitNotCut();
                out.write(buffer, 0, count);
                out.flush();
            }
            awaitNotCut();
            to.shutdownOutput();
        } catch (IOException e) {
            awaitNotCut();
            from.close();
            to.close();
        }
    }
}
