package juniperusher.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What happened, as text: one column a node, one line a moment. */
public final class Timeline {
    private final List<String> nodes;
    private final List<Moment> moments = new ArrayList<>();

    private record Moment(double at, String node, String what) {}

    /** A timeline with a column for each of the nodes, in that order. */
    public Timeline(List<String> nodes) {
        this.nodes = List.copyOf(nodes);
    }

    /**
     * Something happened at a node.
     *
     * @throws IllegalArgumentException if there is no column for it, or it has a line's end in it
     */
    public void add(double at, String node, String what) {
        if (!nodes.contains(node) || what.contains("\n")) {
            throw new IllegalArgumentException("no place in the timeline for " + node + ": " + what);
        }
        moments.add(new Moment(at, node, what));
    }

    /** What happened at a node, in its order. */
    public List<String> at(String node) {
        return moments.stream()
                .filter(one -> one.node().equals(node))
                .map(Moment::what)
                .toList();
    }

    /** The drawing: times in seconds, each column as wide as its widest word; lines end without blanks. */
    public String draw() {
        int[] width = new int[nodes.size()];
        for (int i = 0; i < width.length; i++) {
            String node = nodes.get(i);
            width[i] = Math.max(
                    node.length(),
                    at(node).stream().mapToInt(String::length).max().orElse(0));
        }
        StringBuilder out = new StringBuilder();
        line(out, "s", width, nodes);
        for (Moment moment : moments) {
            List<String> cells = nodes.stream()
                    .map(node -> node.equals(moment.node()) ? moment.what() : "|")
                    .toList();
            line(out, String.format(Locale.ROOT, "%.2f", moment.at()), width, cells);
        }
        return out.toString();
    }

    private static void line(StringBuilder out, String time, int[] width, List<String> cells) {
        StringBuilder line = new StringBuilder(" ".repeat(Math.max(0, 8 - time.length()))).append(time);
        for (int i = 0; i < width.length; i++) {
            line.append("  ")
                    .append(cells.get(i))
                    .append(" ".repeat(width[i] - cells.get(i).length()));
        }
        out.append(line.toString().stripTrailing()).append('\n');
    }
}
