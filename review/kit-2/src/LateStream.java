import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.LinkedBlockingQueue;

/** What is written comes late, always by the same time. */
final class LateStream extends OutputStream {
    private final OutputStream out;
    private final long lateNanos;
    private final LinkedBlockingQueue<Late> queue = new LinkedBlockingQueue<>();
    private volatile boolean broken;

    private static final class Late {
        final long dueNanos;
        final byte[] bytes;

        Late(long dueNanos, byte[] bytes) {
            this.dueNanos = dueNanos;
            this.bytes = bytes;
        }
    }

    LateStream(OutputStream out, long lateMs) {
        this.out = out;
        this.lateNanos = lateMs * 1_000_000;
        Threads.start(this::pass);
    }

    private void pass() throws Exception {
        try {
            while (true) {
                Late next = queue.take();
                long leftMs = (next.dueNanos - System.nanoTime()) / 1_000_000;
                if (leftMs > 0) {
                    Thread.sleep(leftMs);
                }
                out.write(next.bytes);
                out.flush();
            }
        } finally {
            broken = true;
        }
    }

    @Override
    public void write(int b) throws IOException {
        write(new byte[] {(byte) b});
    }

    @Override
    public void write(byte[] bytes, int from, int length) throws IOException {
        if (broken) {
            throw new IOException("the connection has ended");
        }
        queue.add(new Late(System.nanoTime() + lateNanos, java.util.Arrays.copyOfRange(bytes, from, from + length)));
    }
}
