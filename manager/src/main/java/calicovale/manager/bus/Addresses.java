package calicovale.manager.bus;

import calicovale.host.InvalidValueException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Owns the reading of addresses: IPv4 in numbers only, so that none can cause a look-up of a name on the loop. */
public final class Addresses {
    private static final Pattern FORM = Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

    private Addresses() {}

    /** Reads {@code a.b.c.d:port}. */
    public static InetSocketAddress read(String text) throws InvalidValueException {
        Matcher m = FORM.matcher(text);
        byte[] host = new byte[4];
        boolean fits = m.matches();
        for (int i = 0; fits && i < 4; i++) {
            int part = Integer.parseInt(m.group(i + 1));
            fits = part <= 255;
            host[i] = (byte) part;
        }
        int port = fits ? Integer.parseInt(m.group(5)) : 0;
        if (!fits || port < 1 || port > 65535) {
            throw new InvalidValueException("'" + text + "' is not an address, such as 10.0.0.4:3868");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }
}
