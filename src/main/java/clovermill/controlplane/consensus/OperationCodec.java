package clovermill.controlplane.consensus;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** A codec of a subsystem's log entries and snapshot chunks. */
public interface OperationCodec {

    /** The kind byte of MicroRaft's own membership changes, reserved in every subsystem. */
    int MEMBERSHIP_KIND = 6;

    /**
     * Writes a kind byte other than {@link #MEMBERSHIP_KIND}, then the operation.
     *
     * @throws IOException if the kind of the operation is unknown
     */
    void write(Object operation, DataOutputStream out) throws IOException;

    /**
     * Reads an operation after its kind byte.
     *
     * @throws IOException if the kind is unknown or the bytes are truncated
     */
    Object read(int kind, DataInputStream in) throws IOException;
}
