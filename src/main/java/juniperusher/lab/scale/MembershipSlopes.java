package juniperusher.lab.scale;

import java.io.IOException;
import java.util.List;
import juniperusher.http.EndpointListParser;
import juniperusher.membership.Membership;
import juniperusher.membership.WatchTiming;

/** What the list of endpoints costs, by listed endpoints: as a whole, kept, and at one change. */
final class MembershipSlopes {
    private static final String ENDPOINT = "listed endpoint";
    private static final String SOURCE = "scale";
    private static final EndpointListParser READER =
            new EndpointListParser(List.of(EndpointLists.KIND), List.of(EndpointLists.ZONE));

    private MembershipSlopes() {}

    static List<Slope> all() {
        return List.of(new BytesOfList(), new HeapOfSnapshot(), new TimeOfList(), new TimeOfChange());
    }

    private static Membership told(String list) {
        Membership membership = new Membership(WatchTiming.DEFAULT, List.of(SOURCE), 1);
        membership.sourceUpdated(SOURCE, READER.parse(list), 1);
        return membership;
    }

    /** Bytes that discovery sends to a relay that asks for the full list, as each one does at its start. */
    private static final class BytesOfList extends NamedSlope {
        BytesOfList() {
            super("discovery.bytes.endpoint", "B", ENDPOINT);
        }

        @Override
        public double measure(int size) {
            return EndpointLists.whole(size).toString().length();
        }
    }

    /** Retained heap of the state in force. */
    private static final class HeapOfSnapshot extends NamedSlope {
        HeapOfSnapshot() {
            super("membership.heap.endpoint", "B", ENDPOINT);
        }

        @Override
        public double measure(int size) throws IOException {
            String list = EndpointLists.whole(size).toString();
            return Meter.retainedBytes(() -> told(list));
        }
    }

    /** Time from the text of a full list to the state in force. */
    private static final class TimeOfList extends NamedSlope {
        TimeOfList() {
            super("membership.list.endpoint", "ns", ENDPOINT);
        }

        @Override
        public double measure(int size) throws IOException {
            String list = EndpointLists.whole(size).toString();
            return Meter.nanosPerStep(() -> told(list));
        }
    }

    /** Time from the text of a change of one endpoint to the state in force, by listed endpoints. */
    private static final class TimeOfChange extends NamedSlope {
        TimeOfChange() {
            super("membership.change.endpoint", "ns", ENDPOINT);
        }

        @Override
        public double measure(int size) throws IOException {
            Membership membership = told(EndpointLists.whole(size).toString());
            String drain = EndpointLists.change(2, 0, "draining").toString();
            String back = EndpointLists.change(3, 0, "up").toString();
            return Meter.nanosPerStep(() -> {
                        membership.sourceUpdated(SOURCE, READER.parse(drain), 2);
                        membership.sourceUpdated(SOURCE, READER.parse(back), 2);
                    })
                    / 2;
        }
    }
}
