package clovermill.ledger;

import java.util.List;
import java.util.UUID;

/**
 * The first frame of each segment. {@code folder} is drawn at random when the folder is created, {@code epoch} is new
 * with every start, {@code number} counts the segments of an epoch from 1. {@code openedMs} is the ledger time at
 * which the segment was opened; all periods that end by {@code throughMs} were closed then, by {@code closings}
 * closings. {@code classes} are the names of the request classes by number. {@code firstSeq} is the sequence number
 * of the first entry.
 */
public record LogHeader(UUID folder, String instance, long epoch, int number, long firstSeq, long openedMs,
        long throughMs, long closings, long periodMs, List<String> classes) {}
