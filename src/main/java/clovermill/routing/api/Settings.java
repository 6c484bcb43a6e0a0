package clovermill.routing.api;

import java.util.List;

/**
 * The settings of a deployment as one director sees them. {@code directorsByZone} counts the directors of
 * each zone, {@code hubOf} names the hub zone of each zone, and {@code parentKind} is -1 where there are
 * no parents; {@code linkKbPerS} is the location's link in, 0 where it is not told.
 */
public record Settings(int position, int directors, int zone, List<RequestClass> classes,
        List<Integer> directorsByZone,
        List<Integer> hubOf, int parentKind, int originKind, double paceKbPerS, boolean weighted,
        Siblings siblings,
        Telling telling, ColdRule cold, ColdRule parentCold, long drainGraceUs, long answerSlackUs,
        long purgeNoticeUs, long purgeDoneUs, long dialTimeoutUs, boolean listOnRequest, long mustAskUs,
        double originFallMultiple, long originFallUs, double linkKbPerS, Permissions allowed) {

    /** The directors that serve this one's zone, itself among them. */
    public int directorsHere() {
        return zone < directorsByZone.size() ? directorsByZone.get(zone) : directors;
    }

    /** The same with other classes and permissions. */
    public Settings with(List<RequestClass> otherClasses, Permissions otherwise) {
        return new Settings(position, directors, zone, otherClasses, directorsByZone, hubOf, parentKind,
                originKind, paceKbPerS, weighted, siblings, telling, cold, parentCold, drainGraceUs,
                answerSlackUs, purgeNoticeUs, purgeDoneUs, dialTimeoutUs, listOnRequest, mustAskUs,
                originFallMultiple, originFallUs, linkKbPerS, otherwise);
    }
}
