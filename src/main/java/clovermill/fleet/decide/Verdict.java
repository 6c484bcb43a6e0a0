package clovermill.fleet.decide;

/**
 * What was said of something, for all directors: {@code on} binds it (a cache is out, a key is revoked), off undoes
 * that. Of two verdicts on one subject the later version holds; of two that crossed, the one that binds, then the
 * origin with the higher number, so that all directors come to the same one in whatever order they hear of them.
 */
public record Verdict(String subject, boolean on, long version, int origin) {

    /** Whether this one holds against another on the same subject; null is none. */
    boolean beats(Verdict other) {
        return other == null || version != other.version ? other == null || version > other.version
                : on != other.on ? on : origin > other.origin;
    }

    /** A number that stands for it in a digest. */
    long mark() {
        long mark = subject.chars().asLongStream().reduce(on ? 7 : 11, (sum, c) -> mix(sum ^ c));
        return mix(mark ^ mix(version) + origin);
    }

    private static long mix(long value) {
        long z = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }
}
