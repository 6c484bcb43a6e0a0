package clovermill.simulation.emulator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The plan of an emulation; read from JSON, where a field that is left out has its value in {@link #standard}.
 *
 * @param directors how many directors serve the one location
 * @param caches how many caches it has at first; half of them are about twice as large as the others
 * @param perDirector requests a second that a director gets on average
 * @param load what clients ask for, over what all caches can send; the caches are sized by it
 * @param skew how many times the others' share the first director gets
 * @param seconds how long it lasts, and {@code settle} how many of them are not judged
 * @param objects how many objects there are, asked for with popularity 1/rank^{@code zipf}
 * @param keeps objects that one cache can hold
 * @param workMs mean time of sending one object at full pace
 * @param link capacity of the location's inbound link, relative to that of all caches
 * @param choice the router: {@code module} (the real one), {@code guess} (the same without load reports), {@code least}
 *     (the least loaded cache by reports) or {@code two} (the less loaded of two at random)
 * @param reports how load reports come
 * @param faults what goes wrong
 */
public record Plan(int directors, int caches, double perDirector, double load, double skew, int seconds, int settle,
        int objects, double zipf, int keeps, double workMs, double link, String choice, Reports reports,
        List<Fault> faults) {

    /** Each cache makes a report every period, which answers carry after a delay, with noise; some come without. */
    public record Reports(int periodMs, int delayMs, double noise, double loss) {}

    /**
     * Something that goes wrong at a time, in seconds, for so long. Kinds: {@code freeze} (reports stay as they are),
     * {@code mute} (a cache's answers bring none), {@code slow} (a cache sends at {@code factor} of its pace and
     * reports as if nothing were), {@code join} (a new cache, cold), {@code leave} (a cache drains and goes for good),
     * {@code kill} (a director ends and starts anew after the time). {@code which} counts from 0.
     */
    public record Fault(String kind, double at, double lasts, int which, double factor) {}

    /** A plan that cannot be played; the message names the field and the reason. */
    public static final class InvalidPlanException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidPlanException(String message) {
            super(message);
        }
    }

    private static final List<String> CHOICES = List.of("module", "guess", "least", "two");
    private static final List<String> FAULTS = List.of("freeze", "mute", "slow", "join", "leave", "kill");
    /** Bounds of a run: what one machine plays in minutes within its memory. */
    private static final int MAX_DIRECTORS = 2000;
    private static final int MAX_CACHES = 500;
    private static final double MAX_REQUESTS = 5e6;

    /** So many directors with a thousand requests a second together, or one each where that is more. */
    public static Plan standard(int directors) {
        return new Plan(directors, 20, Math.max(1, 1000.0 / directors), 0.55, 1, 60, 15, 4000, 0.9, 600, 150, 0.5,
                "module", new Reports(500, 150, 0.1, 0.05), List.of());
    }

    /** Reads a file; what it leaves out is as in the standard plan for its number of directors. */
    public static Plan read(Path file) throws IOException, InvalidPlanException {
        ObjectMapper mapper = new ObjectMapper();
        try {
            if (!(mapper.readTree(Files.readString(file)) instanceof ObjectNode given)) {
                throw new InvalidPlanException("/: an object was expected");
            }
            ObjectNode all = mapper.valueToTree(standard(given.path("directors").asInt(100)));
            all.setAll(given);
            Plan plan = mapper.treeToValue(all, Plan.class);
            plan.check();
            return plan;
        } catch (JsonMappingException wrong) {
            String at = wrong.getPath().stream().map(each -> each.getFieldName() == null ? "" + each.getIndex()
                    : each.getFieldName()).collect(Collectors.joining("/"));
            throw new InvalidPlanException("/" + at + ": " + wrong.getOriginalMessage());
        } catch (JsonProcessingException wrong) {
            throw new InvalidPlanException("not JSON: " + wrong.getOriginalMessage());
        }
    }

    /** Throws {@link InvalidPlanException} for a field that is out of range. */
    void check() throws InvalidPlanException {
        checkRange("directors", directors, 1, MAX_DIRECTORS);
        checkRange("caches", caches, 2, MAX_CACHES);
        checkRange("perDirector", perDirector, 0.01, 10_000);
        checkRange("load", load, 0.01, 3);
        checkRange("skew", skew, 1, 1000);
        checkRange("seconds", seconds, 2, 3600);
        checkRange("settle", settle, 0, seconds - 1);
        checkRange("objects", objects, 1, 1_000_000);
        checkRange("zipf", zipf, 0, 2);
        checkRange("keeps", keeps, 1, 1_000_000);
        checkRange("workMs", workMs, 1, 10_000);
        checkRange("link", link, 0.01, 100);
        checkRange("seconds x directors x perDirector", seconds * directors * perDirector, 0, MAX_REQUESTS);
        checkChoice("choice", choice, CHOICES);
        if (reports == null || faults == null) {
            throw new InvalidPlanException("/reports, /faults: may be left out, not null");
        }
        checkRange("reports/periodMs", reports.periodMs(), 1, 60_000);
        checkRange("reports/delayMs", reports.delayMs(), 0, 60_000);
        checkRange("reports/noise", reports.noise(), 0, 1);
        checkRange("reports/loss", reports.loss(), 0, 1);
        for (int i = 0; i < faults.size(); i++) {
            checkFault(i, faults.get(i));
        }
    }

    private void checkFault(int i, Fault fault) throws InvalidPlanException {
        checkChoice("faults/" + i + "/kind", fault.kind(), FAULTS);
        checkRange("faults/" + i + "/at", fault.at(), 0, seconds);
        checkRange("faults/" + i + "/lasts", fault.lasts(), 0, seconds);
        checkRange("faults/" + i + "/which", fault.which(), 0, (fault.kind().equals("kill") ? directors : caches) - 1);
        if (fault.kind().equals("slow")) {
            checkRange("faults/" + i + "/factor", fault.factor(), 0.01, 1);
        }
    }

    private static void checkRange(String field, double value, double min, double max) throws InvalidPlanException {
        if (!(value >= min && value <= max)) {
            throw new InvalidPlanException("/" + field + ": " + value + " is not between " + min + " and " + max);
        }
    }

    private static void checkChoice(String field, String word, List<String> words) throws InvalidPlanException {
        if (!words.contains(word)) {
            throw new InvalidPlanException("/" + field + ": " + word + " is none of " + words);
        }
    }

    /** The same with another choice, for comparison. */
    public Plan choosing(String other) {
        return new Plan(directors, caches, perDirector, load, skew, seconds, settle, objects, zipf, keeps, workMs, link,
                other, reports, faults);
    }

    /** The same with one more fault. */
    public Plan with(Fault fault) {
        List<Fault> more = new ArrayList<>(faults);
        more.add(fault);
        return new Plan(directors, caches, perDirector, load, skew, seconds, settle, objects, zipf, keeps, workMs, link,
                choice, reports, List.copyOf(more));
    }

    /** The same with the first director's share so many times the others'. */
    public Plan skewed(double times) {
        return new Plan(directors, caches, perDirector, load, times, seconds, settle, objects, zipf, keeps, workMs,
                link, choice, reports, faults);
    }
}
