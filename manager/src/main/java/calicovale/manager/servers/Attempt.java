package calicovale.manager.servers;

import calicovale.manager.sessions.Session;
import calicovale.protocols.net.Timer;

/** Owns what one attempt that is out needs: its link, when it was sent and when it is overdue. */
final class Attempt {
    final Session session;
    final ServerLink link;
    final double sentAtMs;
    Timer timeout;

    Attempt(Session session, ServerLink link, double sentAtMs) {
        this.session = session;
        this.link = link;
        this.sentAtMs = sentAtMs;
    }
}
