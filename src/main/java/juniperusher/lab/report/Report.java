package juniperusher.lab.report;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import juniperusher.lab.RunResult;
import juniperusher.lab.Tally;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** One page with all of a result in it, plots too: nothing else has to be at hand to read it. */
public final class Report {
    private static final int WIDE = 760;
    private static final int HIGH = 260;
    private static final String STYLE = "body{font:15px sans-serif;max-width:800px;margin:2em auto}"
            + "table{border-collapse:collapse}td,th{padding:2px 10px;border-bottom:1px solid #ccc}"
            + "td,th{text-align:right}"
            + "td:first-child,th:first-child{text-align:left}.fails{color:#b00}img{max-width:100%}";
    private static final Color[] COLORS = {
        new Color(0x1f77b4),
        new Color(0xd62728),
        new Color(0x2ca02c),
        new Color(0x9467bd),
        new Color(0xff7f0e),
        new Color(0x8c564b)
    };

    private Report() {}

    /** Writes {@code report.html} into the folder. */
    public static void write(Results results, Path folder) throws IOException {
        System.setProperty("java.awt.headless", "true");
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("report.html"), page(results));
    }

    private static String page(Results results) throws IOException {
        StringBuilder out = new StringBuilder("<!doctype html><html lang=\"en\"><head>")
                .append("<meta charset=\"utf-8\">")
                .append("<title>")
                .append(Html.escaped(results.title()))
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body><h1>")
                .append(Html.escaped(results.title()))
                .append("</h1><p>")
                .append(results.runs().size())
                .append(" runs, engine ")
                .append(Html.escaped(results.engine()))
                .append(".</p>");
        if (!results.judged().isEmpty()) {
            out.append("<h2>Expected</h2><ul>");
            results.judged()
                    .forEach(one -> out.append(one.met() ? "<li>holds: " : "<li class=\"fails\">FAILS: ")
                            .append(Html.escaped(one.text()))
                            .append("</li>"));
            out.append("</ul>");
        }
        results.runs().stream().filter(run -> !run.violations().isEmpty()).forEach(run -> {
            out.append("<h2 class=\"fails\">Broken: ")
                    .append(Html.escaped(run.variant()))
                    .append(", seed ")
                    .append(run.seed())
                    .append("</h2><ul>");
            run.violations()
                    .forEach(one -> out.append("<li>").append(Html.escaped(one)).append("</li>"));
            out.append("</ul>");
        });
        figures(results, out);
        out.append("<h2>Latency by percentile</h2>").append(Html.image(latency(results)));
        for (String variant : results.variants()) {
            RunResult run = results.runs().stream()
                    .filter(one -> one.variant().equals(variant))
                    .findFirst()
                    .orElseThrow();
            out.append("<h2>")
                    .append(Html.escaped(variant))
                    .append(", seed ")
                    .append(run.seed())
                    .append("</h2>");
            for (List<String> lines : List.of(
                    List.of("calls, struck", "capacity, struck"),
                    List.of("owed", "turned away"),
                    List.of("storms", "recovering"),
                    List.of("worth asked, struck", "worth won, struck"),
                    List.of("worth asked, sound", "worth won, sound"))) {
                out.append(Html.image(time(run, lines)));
            }
        }
        return out.append("</body></html>\n").toString();
    }

    private static void figures(Results results, StringBuilder out) {
        out.append("<h2>Figures: mean (least to most)</h2><table><tr><th></th>");
        results.variants()
                .forEach(variant ->
                        out.append("<th>").append(Html.escaped(variant)).append("</th>"));
        out.append("</tr>");
        for (String figure : results.figures()) {
            out.append("<tr><td>").append(figure).append("</td>");
            for (String variant : results.variants()) {
                double[] values = results.values(variant, figure);
                out.append(String.format(
                        Locale.ROOT,
                        "<td>%.4f (%.4f to %.4f)</td>",
                        Results.mean(values),
                        Arrays.stream(values).min().orElse(0),
                        Arrays.stream(values).max().orElse(0)));
            }
            out.append("</tr>");
        }
        out.append("</table>");
    }

    private static XYChart chart(String title, String x, String y) {
        XYChart chart = new XYChartBuilder()
                .width(WIDE)
                .height(HIGH)
                .title(title)
                .xAxisTitle(x)
                .yAxisTitle(y)
                .build();
        chart.getStyler()
                .setSeriesColors(COLORS)
                .setLegendPosition(Styler.LegendPosition.OutsideE)
                .setChartBackgroundColor(Color.WHITE);
        chart.getStyler().setPlotBorderVisible(false);
        return chart;
    }

    private static XYChart time(RunResult run, List<String> lines) {
        XYChart chart = chart(String.join(" and ", lines), "s", "a second");
        for (String line : lines) {
            double[] values = run.series().get(line);
            if (values != null && values.length > 0) {
                chart.addSeries(
                                line,
                                IntStream.range(0, values.length)
                                        .asDoubleStream()
                                        .toArray(),
                                values)
                        .setMarker(SeriesMarkers.NONE);
            }
        }
        return chart;
    }

    private static XYChart latency(Results results) {
        XYChart chart = chart("latency from asking to delivery", "percentile", "s");
        double[] at =
                Tally.PERCENTILES.stream().mapToDouble(Double::doubleValue).toArray();
        for (String variant : results.variants()) {
            for (String group : List.of("sound", "struck", Tally.SEQUENCED)) {
                List<double[]> all = results.runs().stream()
                        .filter(run -> run.variant().equals(variant))
                        .map(run -> run.percentiles().get(group))
                        .filter(values ->
                                values != null && Arrays.stream(values).anyMatch(value -> value > 0))
                        .toList();
                if (all.isEmpty()) {
                    continue; // the plan has no such messages
                }
                double[] mean = new double[at.length];
                for (double[] one : all) {
                    for (int i = 0; i < mean.length; i++) {
                        mean[i] += one[i] / all.size();
                    }
                }
                chart.addSeries(group + ", " + variant, at, mean).setMarker(SeriesMarkers.NONE);
            }
        }
        return chart;
    }
}
