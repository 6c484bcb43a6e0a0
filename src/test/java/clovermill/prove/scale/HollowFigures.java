package clovermill.prove.scale;

import java.util.Map;

/**
 * The resource use of a hollow process since its start, and the policies in force in it.
 *
 * @param processNs CPU time of the process, without its probe and its command thread
 * @param threadNs CPU time of the directors' own threads
 * @param residentKb current resident set
 * @param heapKb heap currently in use
 * @param residentBeforeKb resident set before the directors were started
 * @param heapBeforeKb heap in use after a collection, before they were started
 * @param ticks ticks of the probe
 * @param lateTicks ticks of the probe that were late
 * @param inForce by policy version, the number of directors at which it is or was the only version in force
 * @param lastMs by policy version, when it last took effect at a director, in Unix milliseconds
 */
record HollowFigures(long processNs, long threadNs, long residentKb, long heapKb, long residentBeforeKb,
        long heapBeforeKb, long ticks, long lateTicks, Map<Long, Integer> inForce, Map<Long, Long> lastMs) {}
