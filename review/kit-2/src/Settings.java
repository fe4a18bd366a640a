/** The settings of small deployments, with figures of the users' site files. */
final class Settings {
    private Settings() {}

    /** Alder Creek: every box holds every lecture. */
    static final String ALDER_CREEK = "{\"me\":0,\"replicasOfMe\":2,\"az\":0,\"dcs\":[\"ops-center\"],"
            + "\"kinds\":[\"two-core\"],\"discovery\":\"push\",\"clientHabits\":{\"marksRetry\":true},\n"
            + "  \"profiles\":["
            + "{\"name\":\"talk-video\",\"aimMs\":800,\"deadlineMs\":4000,\"effect\":\"pure\",\"gain\":1.0,\"stream\":true},"
            + "{\"name\":\"contractor-course\",\"aimMs\":800,\"deadlineMs\":5000,\"effect\":\"pure\",\"gain\":3.0,"
            + "\"stream\":true},"
            + "{\"name\":\"talk-audio\",\"aimMs\":1500,\"deadlineMs\":4000,\"effect\":\"pure\",\"gain\":1.0,"
            + "\"stream\":true}],\n"
            + "  \"limits\":{\"sendCap\":4,\"retryAfter\":true,\"maxRetryAfterMs\":2000,\"cancelling\":true,"
            + "\"probes\":false,\"mayTell\":false,\"parallelTries\":false,\"connectTimeoutMs\":250,\"connIdleMs\":30000,"
            + "\"mostHeld\":1020164,\"streamsPerConn\":1048576},\n"
            + "  \"report\":{\"how\":\"piggyback\",\"fields\":[\"util\",\"x1\"]},\n"
            + "  \"rules\":{\"answerSlackMs\":40,\"askEveryMs\":10000,\"coldFrom\":0.4,\"warmAfterMs\":12000,"
            + "\"tipMultiple\":4,\"fallMs\":1000,\"drainGraceMs\":2000},\n"
            + "  \"scoringMix\":{\"whole\":0.6,\"worstClass\":0.2,\"worstTenant\":0.0,\"worstWindow\":0.2},\n"
            + "  \"costs\":{\"moves\":0.2,\"lateFail\":0.05},\"weights\":\"rough\",\"stage\":0,\"tiers\":[\"media-fleet\"],\n"
            + "  \"specifics\":{\"levelKb\":[172,264,405,621,954,1464],\"ladderWorth\":[0.27,0.44,0.59,0.73,0.87,1.0],"
            + "\"positions\":12,\"racks\":2,\"linkUnitKb\":2144,\"linksKb\":38697,\"rackLinkKb\":13660,\"kindStreams\":[23],"
            + "\"lowestRung\":[0,1,0],\"highestRung\":[5,5,5],\"scaleByClass\":[1.0,1.4,1.0],"
            + "\"classLive\":[false,false,false],\"seats\":[0,0,0],\"join\":1,\"fullFrom\":1,\"seeMs\":481.856,"
            + "\"tellMs\":3250,\"shortfallCost\":6.0,\"switchS\":0.437}}";

    /** The merchants' lessons: each lesson lies on some nodes only. */
    static final String MERCHANT = "{\"me\":0,\"replicasOfMe\":2,\"az\":0,\"dcs\":[\"dc-one\"],"
            + "\"kinds\":[\"std-2core\"],\"discovery\":\"push\",\"clientHabits\":{\"marksRetry\":true},\n"
            + "  \"profiles\":["
            + "{\"name\":\"onboarding\",\"aimMs\":1500,\"deadlineMs\":4000,\"effect\":\"pure\",\"gain\":3.0,\"stream\":true},"
            + "{\"name\":\"help-clip\",\"aimMs\":1000,\"deadlineMs\":5000,\"effect\":\"pure\",\"gain\":1.0,\"stream\":true}],\n"
            + "  \"limits\":{\"sendCap\":5,\"retryAfter\":true,\"maxRetryAfterMs\":2000,\"cancelling\":true,"
            + "\"probes\":true,\"mayTell\":true,\"parallelTries\":false,\"connectTimeoutMs\":250,\"connIdleMs\":30000,"
            + "\"mostHeld\":1020164,\"streamsPerConn\":1048576},\n"
            + "  \"report\":{\"how\":\"piggyback\",\"fields\":[\"util\"]},\n"
            + "  \"rules\":{\"answerSlackMs\":40,\"askEveryMs\":10000,\"coldFrom\":0.4,\"warmAfterMs\":10000,"
            + "\"tipMultiple\":2,\"fallMs\":1000,\"drainGraceMs\":250},\n"
            + "  \"scoringMix\":{\"whole\":0.6,\"worstClass\":0.2,\"worstTenant\":0.0,\"worstWindow\":0.2},\n"
            + "  \"costs\":{\"moves\":0.2,\"lateFail\":0.08,\"probe\":0.01,\"peer\":0.01},\"weights\":\"rough\",\"stage\":0,"
            + "\"tiers\":[\"media-fleet\"],\n"
            + "  \"specifics\":{\"levelKb\":[172,264,405,621,954,1464],\"ladderWorth\":[0.22,0.44,0.59,0.73,0.87,1.0],"
            + "\"positions\":12,\"racks\":2,\"linkUnitKb\":2144,\"linksKb\":38697,\"rackLinkKb\":30000,\"kindStreams\":[23],"
            + "\"lowestRung\":[1,0],\"highestRung\":[5,3],\"scaleByClass\":[1.2,0.7],"
            + "\"classLive\":[false,false],\"seats\":[0,0],\"join\":1,\"fullFrom\":1,\"seeMs\":481.856,"
            + "\"tellMs\":3250,\"shortfallCost\":8.0,\"switchS\":0.437}}";
}
