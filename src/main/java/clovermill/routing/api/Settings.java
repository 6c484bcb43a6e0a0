package clovermill.routing.api;

import java.util.List;

/**
 * The settings of a deployment for one director.
 *
 * @param directorIndex the index of this director
 * @param directorsByZone the number of directors that serve each zone
 * @param hubByZone the hub zone of each zone
 * @param parentKind the kind of members that are parents; -1 if there are none
 * @param linkKbPerS the rate of the inbound link of this director's location; 0 if it is not known
 */
public record Settings(int directorIndex, int directorCount, int zone, List<RequestClass> classes,
        List<Integer> directorsByZone,
        List<Integer> hubByZone, int parentKind, int originKind, double paceKbPerS, boolean weighted,
        SiblingScope siblings,
        CacheStatusDetail cacheStatusDetail, SlowStartRule slowStart, SlowStartRule parentSlowStart, long drainGraceUs,
        long answerSlackUs,
        long purgeNoticeUs, long purgeCompletionUs, long dialTimeoutUs, boolean listOnRequest,
        long fetchMembersWithinUs,
        double originOverloadMultiple, long originOverloadWindowUs, double linkKbPerS, HostCapabilities capabilities) {

    /** Returns the number of directors that serve this director's zone, including itself. */
    public int directorsInZone() {
        return zone < directorsByZone.size() ? directorsByZone.get(zone) : directorCount;
    }

    /** Returns these settings with other classes and host capabilities. */
    public Settings with(List<RequestClass> otherClasses, HostCapabilities otherCapabilities) {
        return new Settings(directorIndex, directorCount, zone, otherClasses, directorsByZone, hubByZone, parentKind,
                originKind, paceKbPerS, weighted, siblings, cacheStatusDetail, slowStart, parentSlowStart, drainGraceUs,
                answerSlackUs, purgeNoticeUs, purgeCompletionUs, dialTimeoutUs, listOnRequest, fetchMembersWithinUs,
                originOverloadMultiple, originOverloadWindowUs, linkKbPerS, otherCapabilities);
    }
}
