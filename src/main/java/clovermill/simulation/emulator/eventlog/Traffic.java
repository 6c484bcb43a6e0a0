package clovermill.simulation.emulator.eventlog;

/** Bytes, including IP and UDP headers, and datagrams that a machine has sent and received. */
public record Traffic(long bytesOut, long bytesIn, long datagramsOut, long datagramsIn) {

    Traffic out(int bytes) {
        return new Traffic(bytesOut + bytes, bytesIn, datagramsOut + 1, datagramsIn);
    }

    Traffic in(int bytes) {
        return new Traffic(bytesOut, bytesIn + bytes, datagramsOut, datagramsIn + 1);
    }

    /** Returns the difference from an earlier measurement. */
    public Traffic since(Traffic earlier) {
        return new Traffic(bytesOut - earlier.bytesOut, bytesIn - earlier.bytesIn,
                datagramsOut - earlier.datagramsOut, datagramsIn - earlier.datagramsIn);
    }
}
