package juniperusher.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import juniperusher.membership.EndpointEntry;
import org.testng.annotations.Test;

/** Entries whose names the settings do not list, or that lack a key. */
public class EndpointListParserTest {
    private static final List<String> ZONES = List.of("piso-3", "piso-4");

    private static EndpointEntry entry(String id, String zoneMember) {
        String text = "{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"" + id + "\",\"addr\":\"127.0.0.1:80\","
                + zoneMember + "\"kind\":\"k\",\"cell\":7,\"state\":\"up\",\"weight\":1.0,\"started_ms\":0}]}";
        return new EndpointListParser(List.of("k"), ZONES).parse(text).entries().get(0);
    }

    private static int zone(String name) {
        return entry("s-" + name, "\"zone\":\"" + name + "\",").zone();
    }

    // Guards against a zone that the settings do not list being taken for the first listed one, whose endpoints drop
    // other repeats.
    @Test
    public void unlistedZonesAreApartFromListedOnesAndFromEachOther() {
        assertEquals(zone("piso-3"), 0);
        assertEquals(zone("piso-4"), 1);
        assertTrue(zone("piso-5") >= ZONES.size(), "zone " + zone("piso-5"));
        assertNotEquals(zone("piso-5"), zone("piso-6"));
        assertEquals(zone("piso-5"), zone("piso-5"), "a later process reads another zone");
    }

    @Test
    public void endpointsWithoutAZoneShareNone() {
        assertTrue(entry("s-1", "").zone() >= ZONES.size());
        assertNotEquals(entry("s-1", "").zone(), entry("s-2", "").zone());
    }
}
