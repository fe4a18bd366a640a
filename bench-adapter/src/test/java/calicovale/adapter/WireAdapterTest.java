package calicovale.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests the translation in both directions and the messages for malformed lines. */
class WireAdapterTest {
    private static final String STARTED_INSTANCE = "ROUND tMs=1000.5\n"
            + "NEW_INSTANCE who=3 rngSeed=5 az=0 profiles.count=1 profiles.0.aimMs=800 profiles.0.deadlineMs=4000"
            + " profiles.0.effect=pure profiles.0.gain=2 limits.cancelling=true limits.retryAfter=true"
            + " limits.maxRetryAfterMs=900 limits.sendCap=3 me=0 replicasOfMe=1 something.new=7"
            + " rules.warmAfterMs=1000 rules.coldFrom=0.5 rules.tipMultiple=2 rules.fallMs=1000"
            + " specifics.levelKb=100,200 specifics.ladderWorth=0.5,1 specifics.linkUnitKb=5000"
            + " specifics.kindStreams=20 specifics.positions=3 specifics.racks=0 report.how=piggyback\n"
            + "INVENTORY page=0 nodesList=1\n"
            + "ROW availability=Ready hw=0 place=0 server=4294967295 regionPart=0 share=1 colour=red\n"
            + "PEERS_KNOWN who=3 scope=SAVED generation=1 page=0\n";
    private static final String DEMAND =
            "DEMAND who=3 tid=r1 band=0 object=v item=t dropDeadMs=5000.5 fromCell=0" + " span=3 top=1 mood=fine\n";

    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private String reply(String input) throws IOException {
        StringBuilder out = new StringBuilder();
        new WireAdapter(
                        new BufferedReader(new StringReader(input)),
                        out,
                        new PrintStream(errors, true, StandardCharsets.UTF_8))
                .run();
        return out.toString();
    }

    private String errorText() {
        return errors.toString(StandardCharsets.UTF_8);
    }

    @Test
    void answersAnEmptyBatchWithAnEmptyReply() throws IOException {
        assertEquals("EOR\n", reply("ROUND tMs=1.0\nGO\n"));
    }

    @Test
    void setsTheRungBeforeHandingOffASession() throws IOException {
        String out = reply(STARTED_INSTANCE + DEMAND + "GO\n");
        int rungPosition = out.indexOf("SET_RUNG who=3 tid=r1 grade=1\n");
        int handOffPosition = out.indexOf("HAND_OFF who=3 tid=r1 server=4294967295 allowForMs=");
        assertTrue(rungPosition >= 0 && handOffPosition > rungPosition && out.endsWith("EOR\n"), out);
        assertEquals("", errorText());
    }

    @Test
    void acceptsEveryEvent() throws IOException {
        reply(STARTED_INSTANCE + DEMAND
                + "ACCEPTED who=3 tid=r1 hop=0 server=4294967295 elapsedMs=20\n"
                + "CHANGE who=3 tid=r1 hop=0 server=4294967295 what=1 x=0.9\n"
                + "CHANGE who=3 tid=r1 hop=0 server=4294967295 what=9 x=0.9\n"
                + "WAKE who=3 name=tick\nWHISPER who=3 src=1 raw=00ff\n"
                + "SAMPLED who=3 server=4294967295 elapsedMs=1 result=200 usage=util:0.5,x1:1.2\n"
                + "SETTLED who=3 tid=r1 hop=0 server=4294967295 result=200 elapsedMs=9 settled=1 usage=util:0.5\n"
                + "TIMED_OUT_CLIENT who=3 tid=r1\n"
                + "RESUMED who=3 tid=r2 band=0 object=v item=t dropDeadMs=9 fromCell=0 span=3 top=1 server=4294967295\n"
                + "PEERS_KNOWN who=3 scope=FAILED\nTEARDOWN who=3\nGO\n");
        assertEquals("", errorText());
    }

    @Test
    void reportsEachMalformedLineOnceAndTakesNoAction() throws IOException {
        String[] malformedLines = {
            "DEMAND who=3 band=0",
            "DEMAND who=3 tid=x band=minus dropDeadMs=1",
            "HELLO who=3",
            "DEMAND who=8 tid=x band=0",
            "SETTLED who=3 tid=x hop=0 server=1 result=999",
            "WAKE who=3 name",
            "DEMAND who=3 tid=x band=5 dropDeadMs=9000",
            "PEERS_KNOWN who=3 scope=FULL page=7",
            "WHISPER who=3 src=0 raw=zz",
            "CHANGE who=3 tid=x server=1 what=1 x=NaN"
        };
        String replyWithoutTheLine = reply(STARTED_INSTANCE + "GO\n");
        for (String line : malformedLines) {
            errors.reset();
            assertEquals(replyWithoutTheLine, reply(STARTED_INSTANCE + line + "\nGO\n"), line);
            assertEquals(1, errorText().lines().count(), line);
            assertTrue(errorText().contains('"' + line + '"'), errorText());
        }
    }

    @Test
    void removesAnInstanceOnTeardown() throws IOException {
        String out =
                reply(STARTED_INSTANCE + DEMAND + "TEARDOWN who=3\nGO\nROUND tMs=1010\nWAKE who=3 name=tick\nGO\n");
        assertTrue(errorText().contains("instance 3 is not running"), errorText());
        assertFalse(out.substring(out.indexOf("EOR")).contains("who=3"));
    }
}
