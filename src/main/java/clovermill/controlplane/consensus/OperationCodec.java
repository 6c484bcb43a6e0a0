package clovermill.controlplane.consensus;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** The byte form of a subsystem's log entries and snapshot chunks. */
public interface OperationCodec {

    /** The kind byte of MicroRaft's own membership changes, which no subsystem may use. */
    int MEMBERSHIP_KIND = 6;

    /**
     * Writes a kind byte other than {@link #MEMBERSHIP_KIND}, then the operation.
     *
     * @throws IOException if the operation is of no known kind
     */
    void write(Object operation, DataOutputStream out) throws IOException;

    /**
     * Reads what follows a kind byte.
     *
     * @throws IOException if the kind is unknown or the bytes end too early
     */
    Object read(int kind, DataInputStream in) throws IOException;
}
