package juniperusher.faults;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** The endpoint of a destination; {@code behaviour} decides the treatment of each call by the ids of its messages. */
final class EndpointStandIn extends HttpStandIn {
    private static final int MAX_BODY_BYTES = 64 * 1024; // of any request, in the protocol
    private static final int NESTED_BRACKETS = 1_000; // as many as the parser of the relay takes
    private static final long HANG_MILLIS = 120_000; // longer than any test

    private final MessageLedger ledger;
    private volatile Function<List<String>, Treatment> behaviour;

    /** How an endpoint treats a call. The names appear in the printed schedule. */
    enum TreatmentKind {
        DELIVER,
        FAIL,
        TURN_AWAY,
        /** 503 without a delay: the call has not run. */
        REFUSE,
        HANG,
        CUT_ANSWER,
        /** 200 to a shared call, with brackets that nest deep in place of the results; a delivery to any other. */
        NESTED_ANSWER,
        RESET
    }

    /** A treatment and the delay before it in milliseconds. */
    record Treatment(TreatmentKind kind, long afterMillis) {}

    EndpointStandIn(MessageLedger ledger, Function<List<String>, Treatment> behaviour) throws IOException {
        this.ledger = ledger;
        this.behaviour = behaviour;
    }

    void setBehaviour(Function<List<String>, Treatment> next) {
        behaviour = next;
    }

    @Override
    boolean handle(Request request, Connection connection) throws IOException {
        if (request.method().equals("GET")) {
            answer(connection, "200 OK", "", "");
            return true;
        }
        boolean shared = request.path().equals("/receive-many");
        if (request.body().length > MAX_BODY_BYTES) {
            ledger.addViolation("a call with a body of " + request.body().length + " bytes");
        }
        List<String> ids = ids(request, shared);
        TcpConnections.EndPorts call = connection.endPorts();
        ids.forEach(id -> ledger.callStarted(id, call));
        Treatment treatment = behaviour.apply(ids);
        boolean closedByPeer = connection.closedByPeerWithin(
                treatment.kind() == TreatmentKind.HANG ? HANG_MILLIS : treatment.afterMillis());
        if (closedByPeer || treatment.kind() == TreatmentKind.HANG) {
            ids.forEach(id -> ledger.callEnded(id, call, true, "ended without an answer"));
            return false;
        }
        return treat(treatment.kind(), ids, shared, call, connection);
    }

    private boolean treat(
            TreatmentKind kind, List<String> ids, boolean shared, TcpConnections.EndPorts call, Connection connection)
            throws IOException {
        switch (kind) {
            case FAIL -> {
                ids.forEach(id -> ledger.callEnded(id, call, true, "failed"));
                answer(connection, "500 Failed", "", "");
            }
            case TURN_AWAY -> {
                ids.forEach(id -> ledger.callEnded(id, call, false, "turned away"));
                answer(connection, "429 Later", "Retry-After: 0.2\r\n", "");
            }
            case REFUSE -> {
                ids.forEach(id -> ledger.callEnded(id, call, false, "refused"));
                answer(connection, "503 Busy", "", "");
            }
            case CUT_ANSWER -> {
                ids.forEach(id -> ledger.callEnded(id, call, true, "answered in part"));
                String whole = Connection.response("500 Failed", "", "a body that ends early");
                connection.write(whole.substring(0, whole.length() / 2));
                return false;
            }
            case NESTED_ANSWER -> {
                if (!shared) {
                    return treat(TreatmentKind.DELIVER, ids, false, call, connection);
                }
                ids.forEach(id -> ledger.callEnded(id, call, true, "answered with nested brackets"));
                answer(connection, "200 OK", "", "[".repeat(NESTED_BRACKETS));
            }
            case RESET -> {
                ids.forEach(id -> ledger.callEnded(id, call, true, "reset"));
                connection.reset();
                return false;
            }
            default -> {
                ids.forEach(id -> ledger.delivered(id, call));
                boolean readable = !connection.hasStrayBytes();
                readable &= answer(connection, "200 OK", "", shared ? deliveredStates(ids) : "");
                if (readable) {
                    ids.forEach(id -> ledger.deliveryAnswered(id, call));
                }
            }
        }
        return true;
    }

    private static List<String> ids(Request request, boolean shared) {
        if (!shared) {
            return List.of(request.headers().get("x-call-id"));
        }
        List<String> ids = new ArrayList<>();
        for (JsonValue value : Json.parse(request.text()).asArray()) {
            ids.add(value.asObject().getString("id", ""));
        }
        return ids;
    }

    private static String deliveredStates(List<String> ids) {
        JsonArray states = new JsonArray();
        ids.forEach(id -> states.add(new JsonObject().add("id", id).add("state", "delivered")));
        return states.toString();
    }
}
