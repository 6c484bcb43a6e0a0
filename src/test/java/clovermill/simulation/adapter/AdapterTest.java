package clovermill.simulation.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Events and actions of the protocol, and malformed input. */
class AdapterTest {

    private static final String HELLO = "HELLO 3 77 family-info.attached-to=0,0 family-info.class-fresh-us=0"
            + " family-info.goes-through=false family-info.root-kind=2 family-info.upper-kind=1"
            + " family-info.pace-kb-per-s=1000.0 family-info.shares-fills=true family-info.says=all"
            + " family-info.peers-fill=location family-info.purge-done-us=6000000 policy-limits.max-attempts=6"
            + " request-classes.count=1 request-classes.0.aim-us=400000 request-classes.0.deadline-us=6000000"
            + " request-classes.0.effect=idempotent weight-source=rough zone=1 a-key-of-tomorrow=x\n";
    private static final String START = "BEGIN_BATCH 1000000\n" + HELLO
            + "DIRECTORY 0 3\nNODE 10.0.0.1:1 1 0 0 healthy 4 -\nNODE 10.0.0.2:1 0 1 9 healthy 20 -\n"
            + "NODE 10.0.0.3:1 0 2 8 healthy 1 -\nROSTER_CHANGE 3 cached 41 0\nEOB\n";
    private static final String CALL = "CALL 3 17bce6615d3a91c4 0 0 91f03b7c55d20a64 6000000 100 11 3 1";

    private static String reply(String input) throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        new Adapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), output).run();
        return output.toString(StandardCharsets.UTF_8);
    }

    @Test
    void sendsRequestToCacheWithParentAsSource() throws IOException {
        assertEquals("YIELD\nSERVE_VIA 3 17bce6615d3a91c4 10.0.0.1:1 6000000 10.0.0.2:1 2 0 1\nYIELD\nYIELD\n",
                reply(START + "BEGIN_BATCH 1002000\n" + CALL + "\nEOB\nBEGIN_BATCH 1102000\n"
                        + "REPORT_BACK 3 17bce6615d3a91c4 0 10.0.0.1:1 200 100000 1 2 9400 -\nEOB\n"));
    }

    @Test
    void readsEveryEvent() throws IOException {
        String events = "PURGED 3 - 85000 11\nPURGED 3 0000007c55d20a01 85000 11\nCLIENT_GONE 3 45d12b590e6f2b19\n"
                + "TICK_DUE 3 9\nACCEPTED 3 17bce6615d3a91c4 9 10.0.0.1:1 0\nPEER_DATA 3 1 aGkgNw==\n"
                + "CHECK_RESULT 3 900 10.0.0.1:1 200 concurrent:3,load_share:0.5,x1:0.2\n"
                + "ROSTER_CHANGE 3 failed 42\nSHUTDOWN 3\n";
        assertEquals("YIELD\nYIELD\n", reply(START + "BEGIN_BATCH 1002000\n" + events + "EOB\n"));
    }

    @Test
    void resolvesListInOrderOfEvents() throws IOException {
        String again = "DIRECTORY 0 1\nNODE 10.0.0.9:1 1 0 0 healthy 4 -\nROSTER_CHANGE 3 full 42 0\n"
                + "DIRECTORY 0 1\nNODE 10.0.0.8:1 1 0 0 healthy 4 -\n";
        assertTrue(reply(START + "BEGIN_BATCH 1002000\n" + again + CALL + "\nEOB\n").contains(" 10.0.0.9:1 "));
    }

    @Test
    void readsLargeBatch() throws IOException {
        String many = "CLIENT_GONE 3 45d12b590e6f2b19\n".repeat(100_000);
        assertEquals("YIELD\nYIELD\n", reply(START + "BEGIN_BATCH 1002000\n" + many + "EOB\n"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"HULLO\n", "BEGIN_BATCH x\n", "BEGIN_BATCH 1\nCALL 3\nEOB\n", "BEGIN_BATCH 1\n",
        "BEGIN_BATCH 1\nEOB", "BEGIN_BATCH 1\nTICK_DUE 9 1\nEOB\n", "BEGIN_BATCH 1\nDIRECTORY 0 1\nEOB\n"})
    void malformedInputIsReportedWithItsLine(String input) {
        String message = assertThrows(MalformedInput.class, () -> reply(input)).getMessage();
        assertTrue(message.startsWith("line "), message);
    }

    @ParameterizedTest
    @ValueSource(strings = {"NEWS 3", "ROSTER_CHANGE 3 cached 1 7", "CALL 3 17bc 0 0 zz 1 1 1 1 1",
        "REPORT_BACK 3 17bc 0 10.0.0.1:1 201 1 1 0 0 -"})
    void malformedEventOfKnownInstanceIsReportedWithItsLine(String event) {
        String input = START + "BEGIN_BATCH 1002000\n" + event + "\nEOB\n";
        String message = assertThrows(MalformedInput.class, () -> reply(input)).getMessage();
        assertTrue(message.startsWith("line 10: "), message);
    }
}
