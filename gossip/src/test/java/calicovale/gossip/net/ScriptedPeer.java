package calicovale.gossip.net;

import calicovale.gossip.claims.Claim;
import calicovale.gossip.claims.Statement;
import calicovale.gossip.member.Message;
import calicovale.gossip.member.Update;
import calicovale.gossip.member.Update.State;
import calicovale.gossip.wire.Codec;
import calicovale.gossip.wire.Envelopes;
import calicovale.gossip.wire.Roster;
import calicovale.gossip.wire.Signer;
import calicovale.gossip.wire.WireLimits;
import calicovale.protocols.json.InvalidDocumentException;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.List;
import java.util.Set;

/** A scripted peer with a member's key, or one that no roster lists; it sends whatever a test needs. */
final class ScriptedPeer implements AutoCloseable {
    final DatagramSocket socket;
    final Signer signer;
    final Envelopes envelopes;
    private final Codec codec = new Codec(WireLimits.DEFAULT);
    private final String member;

    ScriptedPeer(Group group, String member) throws IOException, InvalidDocumentException {
        this.member = member;
        socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        KeyDocuments.MemberKeyPair pair = KeyDocuments.readKeyPair(group.folder.resolve(member + ".key"));
        Roster roster = new Roster("test", null, 100);
        roster.replaceListed(List.of(), List.of(), Set.of());
        signer = new Signer(roster, System::currentTimeMillis, pair.privateKey(), pair.publicKey(), null);
        envelopes = new Envelopes(roster, signer, WireLimits.DEFAULT, System.currentTimeMillis(), 0);
    }

    /** Returns an update about a member, reported and signed by this peer. */
    Update update(String memberId, String address, long incarnation, State state) {
        Update update = Update.withoutProof(memberId, address, incarnation, state, member);
        return update.withProof(signer.prove(update));
    }

    Statement statement(List<Claim> claims) {
        Statement statement = new Statement(member, System.currentTimeMillis(), claims, new byte[0]);
        return new Statement(member, statement.version(), claims, signer.prove(statement));
    }

    byte[] sealed(String to, Message message) {
        return envelopes.seal(System.currentTimeMillis(), to, codec.encode(message), false);
    }

    void send(int port, byte[] bytes, int length) throws IOException {
        socket.send(new DatagramPacket(bytes, length, InetAddress.getLoopbackAddress(), port));
    }

    void send(Group.Instance to, Message message) throws IOException {
        byte[] bytes = sealed("127.0.0.1:" + to.boundAddress.getPort(), message);
        send(to.boundAddress.getPort(), bytes, bytes.length);
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    @Override
    public void close() {
        socket.close();
    }
}
