package calicovale.manager.bus;

import calicovale.host.InvalidValueException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses addresses. Only numeric IPv4 is accepted, so that no address causes a name look-up on the event loop. */
public final class Addresses {
    private static final Pattern IPV4_AND_PORT =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

    private Addresses() {}

    /** Parses {@code a.b.c.d:port}. Throws {@link InvalidValueException} if the text has another form. */
    public static InetSocketAddress parse(String text) throws InvalidValueException {
        Matcher matcher = IPV4_AND_PORT.matcher(text);
        byte[] host = new byte[4];
        boolean valid = matcher.matches();
        for (int i = 0; valid && i < 4; i++) {
            int part = Integer.parseInt(matcher.group(i + 1));
            valid = part <= 255;
            host[i] = (byte) part;
        }
        int port = valid ? Integer.parseInt(matcher.group(5)) : 0;
        if (!valid || port < 1 || port > 65535) {
            throw new InvalidValueException("'" + text + "' is not an IPv4 address with a port, such as 10.0.0.4:3868");
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }
}
