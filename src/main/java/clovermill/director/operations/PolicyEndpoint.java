package clovermill.director.operations;

import clovermill.controlplane.admin.decide.AdminResponse;
import clovermill.controlplane.admin.decide.AdminService;
import clovermill.controlplane.policystore.PolicyStore;
import clovermill.controlplane.policystore.PolicyView;
import clovermill.controlplane.policystore.decide.PolicyDocument;
import clovermill.controlplane.policystore.decide.PolicyRegister.Taken;
import clovermill.runtime.net.Clock;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Operators' calls about the one policy: what holds, a change, taking a change back. On the loop's thread. */
public final class PolicyEndpoint implements AdminService.Policies {

    private static final JsonMapper JSON = JsonMapper.builder().enable(JsonWriteFeature.ESCAPE_NON_ASCII).build();

    private final PolicyStore accord;
    private final Clock clock;
    private final Executor loop;
    private PolicyView view = PolicyView.NONE;

    /** Answers come on {@code loop}. */
    public PolicyEndpoint(PolicyStore accord, Clock clock, Executor loop) {
        this.accord = accord;
        this.clock = clock;
        this.loop = loop;
    }

    /** What holds from now on. */
    public void holds(PolicyView now) {
        view = now;
    }

    @Override
    public AdminResponse show() {
        if (view.step() == null) {
            return new AdminResponse(503, "this director has not learned of the policy yet");
        }
        try {
            ObjectNode answer = JSON.createObjectNode().put("version", view.step().version())
                    .put("step", view.step().number()).put("lease_ms", Math.max(0,
                            (view.untilUs() - clock.micros()) / 1000));
            answer.set("policy", JSON.readTree(view.policy().text()));
            if (view.step().both()) {
                answer.put("next", view.step().next()).put("at_the_latest_ms", view.leftUs() / 1000);
                answer.set("waits_for", JSON.valueToTree(view.missing()));
                answer.set("next_policy", JSON.readTree(view.next().text()));
            }
            if (view.lastReason() != null) {
                answer.put("last_taken_back", view.lastReason());
            }
            return new AdminResponse(200, JSON.writeValueAsString(answer));
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    @Override
    public void propose(String body, Consumer<AdminResponse> reply) {
        JsonNode call;
        try {
            call = JSON.readTree(body);
        } catch (JsonProcessingException bad) {
            reply.accept(new AdminResponse(400, "body: " + bad.getOriginalMessage()));
            return;
        }
        if (call == null || !call.path("follows").isIntegralNumber() || !call.path("policy").isObject()) {
            reply.accept(new AdminResponse(400, "body: {\"follows\": VERSION, \"policy\": {...}} is wanted"));
            return;
        }
        accord.want(call.get("follows").asLong(),
                PolicyDocument.of(call.get("policy").toString().chars().allMatch(c -> c < 128)
                        ? call.get("policy").toString() : ascii(call.get("policy"))),
                (taken, version) -> loop.execute(() -> reply.accept(answer(taken, version))));
    }

    private static String ascii(JsonNode policy) {
        try {
            return JSON.writeValueAsString(policy);
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private static AdminResponse answer(Taken taken, long version) {
        return taken == null ? new AdminResponse(503, "too many calls wait for the voters")
                : taken == Taken.CONFLICT ? new AdminResponse(409, "another change came first: version " + version)
                : new AdminResponse(202, "{\"version\":" + version + "}");
    }

    @Override
    public void withdraw(Consumer<AdminResponse> reply) {
        if (view.step() == null || !view.step().both()) {
            reply.accept(new AdminResponse(409, "no change is under way"));
            return;
        }
        accord.want(view.step().next(), null, (taken, version) -> loop.execute(() -> reply.accept(answer(taken,
                version))));
    }
}
