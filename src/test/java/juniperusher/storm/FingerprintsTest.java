package juniperusher.storm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class FingerprintsTest {
    private final Fingerprints prints = new Fingerprints();

    @Test
    void eachRefusalMatchesOneResubmission() {
        assertFalse(prints.takeRefusal(7, 1));
        prints.recordRefusal(7, 1);
        prints.recordRefusal(7, 2);
        assertTrue(prints.takeRefusal(7, 3));
        assertTrue(prints.takeRefusal(7, 3));
        assertFalse(prints.takeRefusal(7, 3), "more messages than refusals of this content");
    }

    @Test
    void oldRefusalsAreForgotten() {
        prints.recordRefusal(7, 1);
        assertFalse(prints.takeRefusal(7, 32));
        prints.recordRefusal(8, 1);
        prints.recordRefusal(9, 40);
        assertEquals(1, prints.size(), "the expired entry is removed");
    }

    @Test
    void boundedInSizeAndDropsTheOldest() {
        for (int i = 0; i < 10_000; i++) {
            prints.recordRefusal(i, i * 0.001);
        }
        assertEquals(4096, prints.size());
        assertFalse(prints.takeRefusal(10_000 - 4097, 10));
        assertTrue(prints.takeRefusal(10_000 - 4096, 10));
    }
}
