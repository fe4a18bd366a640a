package calicovale.adapter;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/** Runs the adapter on standard input and output until the input ends. */
public final class Main {
    /** Size of the input and output buffers, in characters. */
    private static final int BUFFER_CHARS = 1 << 16;

    private Main() {}

    /** Runs the adapter; {@code args} are ignored. */
    public static void main(String[] args) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), BUFFER_CHARS);
        BufferedWriter out = new BufferedWriter(
                new OutputStreamWriter(new FileOutputStream(FileDescriptor.out), StandardCharsets.UTF_8), BUFFER_CHARS);
        new WireAdapter(in, out, System.err).run();
        out.flush();
    }
}
