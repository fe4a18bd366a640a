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
    private static final int BUFFER = 1 << 16;

    private Main() {}

    /** Takes no arguments. */
    public static void main(String[] args) throws IOException {
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), BUFFER);
        BufferedWriter out = new BufferedWriter(
                new OutputStreamWriter(new FileOutputStream(FileDescriptor.out), StandardCharsets.UTF_8), BUFFER);
        new WireAdapter(in, out, System.err).run();
        out.flush();
    }
}
