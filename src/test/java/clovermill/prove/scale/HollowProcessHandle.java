package clovermill.prove.scale;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The driver's handle of a {@link HollowProcess}. Calls that have an answer block until it arrives. */
final class HollowProcessHandle implements AutoCloseable {

    private static final String JAVA = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    private static final long EXIT_TIMEOUT_S = 5;

    private final ObjectMapper json = new ObjectMapper();
    private final HollowProcess.Plan plan;
    private final Process process;
    private final Writer commands;
    private final BufferedReader answers;

    /** Starts a process; its standard error is appended to {@code errors}. */
    HollowProcessHandle(HollowProcess.Plan plan, File errors) throws IOException {
        this.plan = plan;
        // The same collector, compiler and stack size as in deploy/balancer.toml.
        process = new ProcessBuilder(JAVA, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k", "-Xmx192m",
                "-Djava.net.preferIPv4Stack=true", "-cp", System.getProperty("java.class.path"),
                HollowProcess.class.getName(), json.writeValueAsString(plan))
                .redirectError(ProcessBuilder.Redirect.appendTo(errors)).start();
        commands = new OutputStreamWriter(process.getOutputStream(), StandardCharsets.UTF_8);
        answers = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    HollowProcess.Plan plan() {
        return plan;
    }

    boolean contains(int director) {
        return director >= plan.first() && director < plan.first() + plan.count();
    }

    void send(String command) throws IOException {
        synchronized (commands) {
            commands.write(command + "\n");
            commands.flush();
        }
    }

    private synchronized <T> T call(String command, Class<T> type) throws IOException {
        send(command);
        String answer = answers.readLine();
        if (answer == null) {
            throw new IOException("the hollow process has exited");
        }
        return json.readValue(answer, type);
    }

    void open() throws IOException {
        call("open", HollowFigures.class);
    }

    HollowFigures figures(boolean collected) throws IOException {
        return call(collected ? "figures collected" : "figures", HollowFigures.class);
    }

    HollowProcess.Events events(int from, int to) throws IOException {
        return call("events " + from + " " + to, HollowProcess.Events.class);
    }

    HollowProcess.ProposalAnswer propose(int director, long follows, String policy) throws IOException {
        return call("policy " + director + " " + follows + " " + policy, HollowProcess.ProposalAnswer.class);
    }

    @Override
    public void close() throws IOException {
        process.getOutputStream().close();
        try {
            if (!process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException interrupted) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }

    static List<Integer> directors(List<HollowProcessHandle> all) {
        return all.stream().flatMap(each -> java.util.stream.IntStream.range(each.plan.first(), each.plan.first()
                + each.plan.count()).boxed()).toList();
    }
}
