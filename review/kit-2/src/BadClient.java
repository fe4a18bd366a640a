import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;

/** A bad client: it sends many requests at once, at full speed, and reads what it is sent. */
final class BadClient {
    private final Record record;
    private final Socket socket;
    private final int number;
    private final int requests;
    private final int descriptionBytes;

    BadClient(Record record, int port, int number, int requests, int descriptionBytes) throws IOException {
        this.record = record;
        this.number = number;
        this.requests = requests;
        this.descriptionBytes = descriptionBytes;
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        Threads.start(this::read);
    }

    private void read() throws IOException {
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[1 << 16];
        long read = 0;
        try {
            int count;
            while ((count = in.read(buffer)) >= 0) {
                read += count;
            }
        } finally {
            record.line("bad client " + number + ": connection has ended after " + read + " bytes of answers");
        }
    }

    void send() throws IOException {
        OutputStream out = socket.getOutputStream();
        byte[] description = new byte[descriptionBytes];
        int sent = 0;
        try {
            for (; sent < requests; sent++) {
                out.write(new Wire(Wire.SET_UP, 0x7000000000000000L + number * 100_000L + sent)
                        .with(Wire.CLASS, "talk-audio")
                        .with(Wire.WAIT, "4000")
                        .with(Wire.TITLE, "7f3a9c21e0b4d655")
                        .with(Wire.EXTRAS, "home:0;copies:12;top:2;viewer:00000000000000b1")
                        .with(Wire.DESCRIPTION, description)
                        .encode());
            }
        } finally {
            record.line("bad client " + number + ": has sent " + sent + " requests");
        }
    }
}
