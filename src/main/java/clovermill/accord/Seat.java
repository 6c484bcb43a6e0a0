package clovermill.accord;

import io.microraft.RaftEndpoint;

/**
 * A voter's place: the director, and which of its disks. A voter that has lost its disk takes another seat, as it does
 * not know what it promised on the one before; the disks of a new fleet are 0.
 */
public record Seat(int director, long disk) implements RaftEndpoint {

    @Override
    public Object getId() {
        return director + "/" + Long.toHexString(disk);
    }
}
