package calicovale.protocols.net;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;

/**
 * A UDP socket of an event loop. Datagrams that the system does not accept at once are dropped and counted rather than
 * queued, because the network may drop datagrams anyway. All methods must be called on the loop's thread.
 */
public final class UdpSocket {

    /** Receiver of datagrams. */
    public interface Handler {
        /** Called for each datagram received; the buffer belongs to the loop and is valid only during the call. */
        void onDatagram(InetSocketAddress from, ByteBuffer bytes);
    }

    private final EventLoop loop;
    private final DatagramChannel channel;
    private final Handler handler;
    SelectionKey key;

    UdpSocket(EventLoop loop, DatagramChannel channel, Handler handler) {
        this.loop = loop;
        this.channel = channel;
        this.handler = handler;
    }

    /** Returns the local address that the socket is bound to. */
    public InetSocketAddress address() {
        try {
            return (InetSocketAddress) channel.getLocalAddress();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends one datagram; returns false if it was dropped locally. */
    public boolean send(InetSocketAddress to, ByteBuffer bytes) {
        try {
            if (channel.send(bytes, to) > 0) {
                loop.counters().datagramsSent++;
                return true;
            }
        } catch (IOException e) {
            // for example an ICMP port-unreachable error that the system reports for an earlier datagram
            loop.counters().datagramErrors++;
            return false;
        }
        loop.counters().datagramsDropped++;
        return false;
    }

    /** Receives a limited number of datagrams in one turn, so that a flood does not starve the loop's other work. */
    void handleReadable(ByteBuffer buffer) {
        for (int i = 0; i < loop.limits().datagramsPerTurn() && channel.isOpen(); i++) {
            buffer.clear();
            InetSocketAddress from;
            try {
                from = (InetSocketAddress) channel.receive(buffer);
            } catch (IOException e) {
                loop.counters().datagramErrors++;
                continue;
            }
            if (from == null) {
                return;
            }
            loop.counters().datagramsReceived++;
            handler.onDatagram(from, buffer.flip());
        }
    }

    /** Closes the socket. */
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            loop.counters().closeErrors++;
        }
    }
}
